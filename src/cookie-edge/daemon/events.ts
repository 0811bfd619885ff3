/** Log events of the life cycle of a daemon on a cookie edge (2100–2199). */
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
    message: 'Drain timed out while packets still arrived',
    action: 'Check that routers stop sending packets to a balancer that is not ready',
  },
  stopped: { number: 2105, level: 'info', message: 'Daemon stopped', action: 'none' },
  configReread: {
    number: 2106,
    level: 'info',
    message: 'Configuration reloaded',
    action: 'Restart the daemon to apply the fields in needsRestart',
  },
  configRejected: {
    number: 2107,
    level: 'error',
    message:
      'Configuration reload rejected: the file is unreadable or invalid; the previous configuration stays in force',
    action: 'Correct the file or the fields that the error names',
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
    action: 'Report the error with the preceding log lines',
  },
});
