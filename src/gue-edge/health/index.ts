/**
 * Health: what is believed of each back end, from probes shared out over a few balancers, the data path and
 * reported loads.
 *
 * Owns the votes of all members on all back ends, and the belief formed from them; nothing is stored. Relies on
 * membership for the probers and the witnesses, on control for gossip, and on the flow keeper for what the data
 * path saw and for its own count of flows.
 *
 * ```ts
 * const monitor = new HealthMonitor({ clock, random, events, settings, membership, control, load, probe: httpProbe });
 * monitor.start(signal);
 * monitor.recordPassive(backend.id, 'open-timeout');
 * if (monitor.health(backend.id).eligible) place(backend);
 * ```
 */
export { HealthMonitor, type HealthStatistics } from './health-monitor.js';
export { httpProbe, type Probe } from './probe.js';
