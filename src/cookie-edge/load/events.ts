/** Log events of load reports (2300–2399). */
import { defineEvents } from '../../observability/event.js';

export const LOAD_EVENTS = defineEvents({
  pageRead: {
    number: 2300,
    level: 'debug',
    message: 'Call counts of a page of back ends read',
    action: 'none',
  },
  readingFailed: {
    number: 2301,
    level: 'warn',
    message: 'Reading call counts of back ends failed; placement uses own flows alone',
    action: 'none when it is rare; otherwise see the error',
  },
});
