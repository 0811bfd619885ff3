/** The size to design for, what one daemon gets of it, and the budget of one daemon's control. */

/** The whole fleet. */
export const DESIGN_SIZE = {
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
const PROBERS_PER_BACKEND = 3;

/** Share of one daemon; a region's daemons share the region's flows and probe every back end of the tree. */
export const DAEMON_SHARE = {
  membersPerRegion: Math.ceil(DESIGN_SIZE.daemons / DESIGN_SIZE.regions),
  backends: DESIGN_SIZE.backends,
  flows: Math.round(DESIGN_SIZE.openFlows / DESIGN_SIZE.daemons),
  openingsPerSecond: DESIGN_SIZE.openingsPerSecond / DESIGN_SIZE.daemons,
  changesPerSecond: DESIGN_SIZE.changesPerDay / SECONDS_PER_DAY,
  probedBackends: (PROBERS_PER_BACKEND * DESIGN_SIZE.backends * DESIGN_SIZE.regions) / DESIGN_SIZE.daemons,
} as const;

/** What a daemon may spend on control. */
export const DAEMON_BUDGET = { bytesPerSecond: 28_000, cpuFraction: 0.024, megabytes: 64 } as const;
