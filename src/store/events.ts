/** Log events of the store client. */
import { defineEvents } from '../observability/event.js';

export const STORE_EVENTS = defineEvents({
  circuitOpened: {
    number: 1700,
    level: 'warn',
    message: 'The platform does not answer; calls fail at once until a trial succeeds',
    action: 'Check the platform and the network to it; flows and settings in force are not affected.',
  },
  circuitClosed: {
    number: 1701,
    level: 'info',
    message: 'The platform answers again',
    action: 'none',
  },
  watchReopened: {
    number: 1702,
    level: 'info',
    message: 'A watch ended and is opened again from the last version seen',
    action: 'none',
  },
  badAnswer: {
    number: 1703,
    level: 'error',
    message: 'The platform sent an answer that cannot be understood',
    action: 'Check that the platform address in the settings file names the object API.',
  },
  unknownOutcome: {
    number: 1704,
    level: 'warn',
    message: 'The answer to a write was lost; it may have taken effect',
    action: 'Read the object back before writing again.',
  },
});
