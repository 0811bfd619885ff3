/** Numbered events of health (1900–1999). */
import { defineEvents } from '../../observability/event.js';

export const HEALTH_EVENTS = defineEvents({
  backendUnhealthy: {
    number: 1900,
    level: 'warn',
    message: 'The probers of a back end agree that it is unhealthy; it gets no new flow, open flows stay',
    action: 'Look at the back end; `sailquay status` shows the evidence',
  },
  backendHealthy: {
    number: 1901,
    level: 'info',
    message: 'A back end is healthy again and takes new flows with slow start',
    action: 'none',
  },
  backendEjected: {
    number: 1902,
    level: 'warn',
    message:
      'A back end answers no opening although its probes may say healthy; it gets no new flow for a while',
    action: 'Look at the back end: it accepts probes but not the service',
  },
  ejectionCapped: {
    number: 1903,
    level: 'warn',
    message:
      'A back end that answers no opening stays in use, because the largest share of ejected ones is reached',
    action: 'Many back ends of one service fail at once: look for a common cause, also on this balancer',
  },
  panicStarted: {
    number: 1904,
    level: 'error',
    message: 'Too few back ends of a service are healthy; all of them take new flows',
    action: 'Look at the back ends and at what probes them',
  },
  panicEnded: {
    number: 1905,
    level: 'info',
    message: 'Enough back ends of a service are healthy again',
    action: 'none',
  },
  conflictingEvidence: {
    number: 1906,
    level: 'warn',
    message: 'Probes of a back end fail while it answers openings; it loses new flows gradually',
    action: 'Look at the health endpoint of the back end',
  },
  loadDistrusted: {
    number: 1907,
    level: 'warn',
    message:
      'The load that a back end reports contradicts the flows that this balancer keeps there; it is not used',
    action: 'Look at the load endpoint of the back end',
  },
  badMessage: {
    number: 1908,
    level: 'warn',
    message: 'A health message could not be read and was dropped',
    action: 'Compare the releases of the two balancers',
  },
});
