/**
 * The daemon: configuration, wiring and life of one balancer.
 *
 * Owns the process: sockets, signals, limits on memory and flows, readiness, and the order of start and stop.
 * Relies on every other folder of the GUE edge, on the store's client and on observability; nothing imports it but
 * the command line and the experiments.
 *
 * ```ts
 * const config = loadDaemonConfig('balancer-1.yaml', { zone: 'halle-nord' });
 * const daemon = await Daemon.start(config, { clock, random, events });
 * console.log(daemon.readyLine());
 * await daemon.stop(); // hands every flow over first
 * ```
 *
 * `createControlPlane` makes a balancer's control plane over any control channel, so that it can be tested without
 * a data path.
 */
export { Daemon, type ReadyLine } from './daemon.js';
export {
  changedFields,
  daemonConfigSchema,
  loadDaemonConfig,
  parseDaemonConfig,
  type ConfigOverrides,
  type DaemonConfig,
  type DaemonConfigInput,
} from './config.js';
export type { Components, DaemonEnvironment } from './components.js';
export { createControlPlane, type BalancerIdentity, type ControlPlane } from './control-plane.js';
export { DaemonError, type ConfigFault } from './errors.js';
export { DAEMON_EVENTS } from './events.js';
export { FaultInjection } from './fault-injection.js';
export type * from './status.js';
