/** Events of the life of a daemon on a cookie edge (2100–2199). */
import { defineEvents } from '../observability/event.js';

export const COOKIE_DAEMON_EVENTS = defineEvents({
  started: { number: 2100, level: 'info', message: 'Daemon started; its sockets are bound', action: 'none' },
  ready: { number: 2101, level: 'info', message: 'Daemon is ready for new flows', action: 'none' },
  notReady: {
    number: 2102,
    level: 'warn',
    message: 'Daemon is not ready for new flows',
    action: 'See the reasons',
  },
  stopping: {
    number: 2103,
    level: 'info',
    message: 'Stop requested: not ready any more, packets are forwarded until none arrive',
    action: 'none',
  },
  drainTimedOut: {
    number: 2104,
    level: 'warn',
    message: 'Packets still arrived at the end of the longest drain time',
    action: 'Check that the routers turn away from a balancer that is not ready',
  },
  stopped: { number: 2105, level: 'info', message: 'Daemon stopped', action: 'none' },
  configReread: {
    number: 2106,
    level: 'info',
    message: 'The configuration was read again',
    action: 'Restart the daemon for the fields under needsRestart',
  },
  configRejected: {
    number: 2107,
    level: 'error',
    message: 'The configuration that was read again is wrong; the old one stays in force',
    action: 'Correct the named fields',
  },
  heldPacketsDelivered: {
    number: 2109,
    level: 'info',
    message: 'What came before routes and back ends were known was handled',
    action: 'none',
  },
  uncaughtError: {
    number: 2108,
    level: 'error',
    message: 'An error that nobody handled ended the daemon',
    action: 'Report it with the lines before',
  },
});
