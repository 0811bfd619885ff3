/** The size to design for, what one daemon gets of it, and the budget of one daemon's control. */

import {
  PROBE_JITTER,
  PROBERS_PER_BACKEND,
  PROBERS_PER_REMOTE_BACKEND,
  REMOTE_PROBE_INTERVAL_FACTOR,
} from '../../gue-edge/health/constants.js';
import { fieldNamed } from '../../settings/index.js';

/** The whole fleet. */
const DESIGN_SIZE = {
  daemons: 1_100,
  regions: 3,
  zones: 11,
  backends: 6_300,
  addresses: 4_300,
  openFlows: 28_000_000,
  openingsPerSecond: 93_000,
  changesPerDay: 2_800,
  replacementsPerDay: 1_200,
  secondsToEverywhere: 4,
} as const;

const SECONDS_PER_DAY = 86_400;
/** Probe interval unless a service sets another. */
const PROBE_INTERVAL_SECONDS = Number(fieldNamed('health.probeIntervalMs')?.fallback) / 1_000;

/**
 * Probes a second of one daemon: a region's back ends have PROBERS_PER_BACKEND probers in it, those of the other regions
 * fewer and at a longer interval. Intervals are jittered downwards. Reads of loads are rare at this size.
 */
function probesPerDaemon(): number {
  const { daemons, regions, backends } = DESIGN_SIZE;
  const own = PROBERS_PER_BACKEND / regions;
  const remote = ((1 - 1 / regions) * PROBERS_PER_REMOTE_BACKEND) / REMOTE_PROBE_INTERVAL_FACTOR;
  const rate = 1 / (PROBE_INTERVAL_SECONDS * (1 - PROBE_JITTER));
  return (backends * (own + remote) * rate * regions) / daemons;
}

/** Share of one daemon; a region's daemons share the region's flows and probe every back end of the tree. */
export const DAEMON_SHARE = {
  membersPerRegion: Math.ceil(DESIGN_SIZE.daemons / DESIGN_SIZE.regions),
  backends: DESIGN_SIZE.backends,
  flows: Math.round(DESIGN_SIZE.openFlows / DESIGN_SIZE.daemons),
  openingsPerSecond: DESIGN_SIZE.openingsPerSecond / DESIGN_SIZE.daemons,
  changesPerSecond: DESIGN_SIZE.changesPerDay / SECONDS_PER_DAY,
  probesPerSecond: probesPerDaemon(),
} as const;

/** What a daemon may spend on control. */
export const DAEMON_BUDGET = { bytesPerSecond: 28_000, cpuFraction: 0.024, megabytes: 64 } as const;
