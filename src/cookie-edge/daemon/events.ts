/** Events of the life of a daemon on a cookie edge (2100–2199). */
import { defineEvents } from '../../observability/event.js';

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
    message: 'Stop requested: reporting not ready, forwarding until no packets arrive',
    action: 'none',
  },
  drainTimedOut: {
    number: 2104,
    level: 'warn',
    message: 'Drain time-out: packets still arrived',
    action: 'Check that the routers remove a balancer that is not ready',
  },
  stopped: { number: 2105, level: 'info', message: 'Daemon stopped', action: 'none' },
  configReread: {
    number: 2106,
    level: 'info',
    message: 'Configuration reloaded',
    action: 'Restart the daemon for the fields under needsRestart',
  },
  configRejected: {
    number: 2107,
    level: 'error',
    message: 'Configuration reload rejected: invalid; the old one stays in force',
    action: 'Correct the named fields',
  },
  heldPacketsDelivered: {
    number: 2109,
    level: 'info',
    message: 'Packets held during start-up were delivered',
    action: 'none',
  },
  uncaughtError: {
    number: 2108,
    level: 'error',
    message: 'Uncaught error; the daemon exits',
    action: 'Report it with the preceding log lines',
  },
});
