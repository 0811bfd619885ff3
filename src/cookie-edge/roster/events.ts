/** Log events of the roster (2500–2599). */
import { defineEvents } from '../../observability/event.js';

export const ROSTER_EVENTS = defineEvents({
  read: {
    number: 2500,
    level: 'info',
    message: 'Roster read during start-up; back ends missing from the list are remembered',
    action: 'none',
  },
  written: { number: 2501, level: 'info', message: 'Roster page written', action: 'none' },
  writeConflict: {
    number: 2502,
    level: 'info',
    message: 'Roster page was changed by another daemon in the meantime; the roster will be read again',
    action: 'none if rare; otherwise check which daemons act as the leading reader',
  },
  callFailed: {
    number: 2503,
    level: 'warn',
    message: 'Roster request to the store failed; it will be retried',
    action: 'none if rare; otherwise see the error',
  },
  unreadable: {
    number: 2504,
    level: 'warn',
    message: 'Roster page is unreadable; it is skipped, and the next writer replaces it',
    action: 'Find out which other program writes to this object',
  },
  tooLarge: {
    number: 2505,
    level: 'warn',
    message: 'Roster page exceeds the maximum object size; it was not written',
    action: 'Split the service, or raise the size limit of the store',
  },
  leading: {
    number: 2506,
    level: 'info',
    message: 'This daemon is now the writer of the roster',
    action: 'none',
  },
});
