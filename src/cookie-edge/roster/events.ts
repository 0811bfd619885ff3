/** Log events of the roster (2500–2599). */
import { defineEvents } from '../../observability/event.js';

export const ROSTER_EVENTS = defineEvents({
  read: {
    number: 2500,
    level: 'info',
    message: 'Roster read at the start; back ends that are not listed are remembered',
    action: 'none',
  },
  written: { number: 2501, level: 'info', message: 'Page of the roster written', action: 'none' },
  writeConflict: {
    number: 2502,
    level: 'info',
    message: 'Page of the roster was written by another daemon meanwhile; reading it again',
    action: 'none when it is rare; otherwise check which daemons lead',
  },
  callFailed: {
    number: 2503,
    level: 'warn',
    message: 'Call about the roster failed; it will be retried',
    action: 'none when it is rare; otherwise see the error',
  },
  unreadable: {
    number: 2504,
    level: 'warn',
    message: 'Page of the roster cannot be read; left out, and replaced by the next writer',
    action: 'Find out who else writes there',
  },
  tooLarge: {
    number: 2505,
    level: 'warn',
    message: 'Page of the roster would exceed the size of an object; not written',
    action: 'Split the service, or raise the limit of the store',
  },
  leading: {
    number: 2506,
    level: 'info',
    message: 'This daemon writes the roster from now on',
    action: 'none',
  },
});
