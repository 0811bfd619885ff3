/** Numbered events of placement (1300–1399). */
import { defineEvents } from '../../observability/event.js';

export const PLACEMENT_EVENTS = defineEvents({
  noEligibleBackend: {
    number: 1300,
    level: 'warn',
    message: 'Openings of a service are refused because no back end may take one',
    action: 'Look at the back ends of the service in `sailquay status`: drained, unhealthy or full',
  },
  backendAvailableAgain: {
    number: 1301,
    level: 'info',
    message: 'A service whose openings were refused has an eligible back end again',
    action: 'none',
  },
  exceptionsOverTarget: {
    number: 1302,
    level: 'warn',
    message: 'More openings than planned are placed beside their first choice',
    action: 'Expected while back ends join, leave or fail; else look for back ends that stay ineligible',
  },
});
