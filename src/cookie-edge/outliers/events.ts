/** Log events of outlier detection (2400–2499). */
import { defineEvents } from '../../observability/event.js';

export const OUTLIER_EVENTS = defineEvents({
  avoided: {
    number: 2400,
    level: 'warn',
    message: 'Back end answers unusually late, not at all, or with unusually short answers; no new flows',
    action: 'Check the log, the load and the dependencies of the back end',
  },
  trial: {
    number: 2401,
    level: 'info',
    message: 'Back end gets a few new flows, to see whether it answers as others do',
    action: 'none',
  },
  normal: {
    number: 2402,
    level: 'info',
    message: 'Back end answers as others do; new flows as usual',
    action: 'none',
  },
  tooMany: {
    number: 2403,
    level: 'warn',
    message: 'Back end answers unusually late or short, but too many of its service are avoided already',
    action: 'Check the load of the service as a whole',
  },
});
