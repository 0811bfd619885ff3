/** Log events of outlier detection (2400–2499). */
import { defineEvents } from '../../observability/event.js';

export const OUTLIER_EVENTS = defineEvents({
  avoided: {
    number: 2400,
    level: 'warn',
    message: 'Back end is an outlier and gets no new flows: its answers are late, missing or unusually short',
    action: 'Check the log, the load and the dependencies of the back end',
  },
  trial: {
    number: 2401,
    level: 'info',
    message: 'Outlier trial started: the back end gets a few new flows',
    action: 'none',
  },
  normal: {
    number: 2402,
    level: 'info',
    message: 'Outlier trial ended without a bad answer: the back end gets new flows as usual',
    action: 'none',
  },
  tooMany: {
    number: 2403,
    level: 'warn',
    message: 'Back end is an outlier but still gets new flows: too many of its service are avoided already',
    action: 'Check the load of the service as a whole',
  },
});
