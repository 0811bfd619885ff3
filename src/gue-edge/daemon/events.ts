/** Events of the daemon's life. */
import { defineEvents } from '../../observability/event.js';

export const DAEMON_EVENTS = defineEvents({
  started: { number: 1000, level: 'info', message: 'Daemon started; sockets are bound', action: 'none' },
  activated: { number: 1001, level: 'info', message: 'Daemon is active and takes shards', action: 'none' },
  stopping: {
    number: 1002,
    level: 'info',
    message: 'Stop requested: the daemon leaves and hands its flows over',
    action: 'none',
  },
  handedOver: { number: 1003, level: 'info', message: 'All shards were handed over', action: 'none' },
  handoverIncomplete: {
    number: 1004,
    level: 'error',
    message: 'The hand-over did not finish in time',
    action:
      'Check that other balancers of the region are active; flows may be reconstructed from the backups',
  },
  drainTimedOut: {
    number: 1005,
    level: 'warn',
    message: 'Packets still arrived at the end of the longest drain time',
    action: 'Check that the fabric has taken this balancer out before it is stopped',
  },
  stopped: { number: 1006, level: 'info', message: 'Daemon stopped', action: 'none' },
  stopForced: {
    number: 1007,
    level: 'warn',
    message: 'A second stop signal ended the daemon at once',
    action: 'Wait for the first stop to finish unless the machine is lost anyway',
  },
  configReread: {
    number: 1008,
    level: 'info',
    message: 'Configuration was read again',
    action: 'Restart the daemon when fields are named under needsRestart',
  },
  configRejected: {
    number: 1009,
    level: 'error',
    message: 'The configuration that was read again is not valid and was not applied',
    action: 'Correct the named fields and send SIGHUP again',
  },
  uncaughtError: {
    number: 1010,
    level: 'error',
    message: 'An unexpected error ended the daemon',
    action: 'Report the error with its stack; the balancer can be started again',
  },
  memoryLimit: {
    number: 1011,
    level: 'error',
    message: 'Resident memory is above its limit: openings are refused',
    action: 'Raise limits.maxMemoryMegabytes or add balancers',
  },
  memoryRecovered: {
    number: 1012,
    level: 'info',
    message: 'Resident memory is below its limit again: openings are accepted',
    action: 'none',
  },
  flowLimit: {
    number: 1016,
    level: 'error',
    message: 'Open flows have reached their limit: openings are refused, open flows stay',
    action: 'Raise limits.maxFlows or add balancers',
  },
  flowsRecovered: {
    number: 1017,
    level: 'info',
    message: 'Open flows are below 90% of their limit again',
    action: 'none',
  },
  notReady: {
    number: 1013,
    level: 'warn',
    message: 'The daemon is not ready for new flows',
    action: 'See the reasons; readiness returns by itself once they are gone',
  },
  ready: { number: 1014, level: 'info', message: 'The daemon is ready for new flows', action: 'none' },
  noHeir: {
    number: 1015,
    level: 'warn',
    message: 'No other balancer of the region can take the flows over',
    action: 'Start another balancer before this one is stopped; its open flows break',
  },
});
