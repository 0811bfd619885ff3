/**
 * Health: what is believed of each back end, from probes shared out over a few balancers, the data path and reported loads.
 *
 * ```ts
 * const monitor = new HealthMonitor({ clock, random, events, settings, membership, control, load, probe: httpProbe });
 * monitor.start(signal);
 * monitor.recordPassive(backend.id, 'open-timeout');
 * if (monitor.health(backend.id).eligible) place(backend);
 * ```
 */
export * from './types.js';
export { HealthMonitor, type HealthStatistics } from './health-monitor.js';
export { httpProbe, type Probe, type ProbeResponse } from './probe.js';
export type { ProberStatistics } from './prober.js';
export type { GossipStatistics } from './gossip.js';
export { proberCandidates, ProberRanking, type ProberCandidate } from './prober-assignment.js';
export { HealthMessageError, ProbeError } from './errors.js';
export { HEALTH_EVENTS } from './events.js';
