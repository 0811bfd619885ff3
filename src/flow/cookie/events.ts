/** Log events of cookie forwarding (1250–1299). */
import { defineEvents } from '../../observability/event.js';

export const COOKIE_FLOW_EVENTS = defineEvents({
  opened: { number: 1250, level: 'info', message: 'A flow was placed on a back end', action: 'none' },
  refused: {
    number: 1251,
    level: 'warn',
    message: 'An opening was refused with a reset',
    action: 'no-route: check the routes; no-backend: check the back ends of the service',
  },
  placedAnew: {
    number: 1252,
    level: 'warn',
    message: 'A copy of a SYN was placed on another back end, since the first one gives no sign of life',
    action: 'Check the back end that did not answer',
  },
  takenOver: {
    number: 1253,
    level: 'info',
    message: 'A flow that another balancer placed, or this one before its start, goes on by its cookie',
    action: 'none',
  },
  unknownCookie: {
    number: 1254,
    level: 'warn',
    message: 'A packet was dropped because its cookie names no known back end',
    action: 'Check whether this balancer knows all back ends; see the age of its knowledge',
  },
  oldOpening: {
    number: 1255,
    level: 'warn',
    message: 'A SYN was dropped that may have waited while this process stood still',
    action: 'Check the load of the machine',
  },
  backendEjected: {
    number: 1256,
    level: 'warn',
    message: 'A back end gives no sign of life and gets no new flows',
    action: 'Check the back end and the network to it',
  },
  backendRevived: {
    number: 1257,
    level: 'info',
    message: 'A back end that was ejected or suspected gives signs of life',
    action: 'none',
  },
  paused: {
    number: 1258,
    level: 'warn',
    message: 'This process stood still',
    action: 'Check the load of the machine',
  },
});
