/** Log events of load reports (2300–2399). */
import { defineEvents } from '../../observability/event.js';

export const LOAD_EVENTS = defineEvents({
  pageRead: {
    number: 2300,
    level: 'debug',
    message: 'Read one page of back-end call counts',
    action: 'none',
  },
  readingFailed: {
    number: 2301,
    level: 'warn',
    message: 'Reading back-end call counts failed; placement considers only the flows of this daemon',
    action: 'None if this is rare; otherwise check the logged error',
  },
});
