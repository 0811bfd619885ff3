/** Shares, counts and durations of placement. */

/**
 * Time in ms for which a back end with a lapsed record serves as a last resort, from its departure. The platform states
 * that live back ends are recorded again about 2,000 ms after the source's return; another 500 ms are for gossip.
 */
export const LAPSED_RECORD_TTL_MS = 2_500;

/**
 * Panic threshold: share of a service's recorded candidates above which ejections are ignored, because this balancer's
 * own network is then the more likely cause. The value lies above one half by some margin.
 */
export const MAX_EJECTED_SHARE = 0.6;

/** Candidates of equal load that are compared by their load reports. A higher number gives no better balance. */
export const MAX_TIED_CANDIDATES = 4;

/**
 * Mean number of own open flows per candidate below which load reports are used. With more flows, the balancer's own
 * flow counts distinguish busy from idle back ends better than a report that is seconds old.
 */
export const MAX_OWN_FLOWS_PER_CANDIDATE = 0.25;

/** Share of its capacity that is assumed for a back end in slow start, because it is slower until it is warm. */
export const COLD_CAPACITY_SHARE = 0.5;

/**
 * Balancers that may send new flows to one cold back end. The second one covers the loss of the first, which other
 * balancers detect only after seconds. With more than two, each one's share of a low rate would be too small to use.
 */
export const COLD_BACKEND_OWNERS = 2;

/**
 * Diverging membership views whose owners must stay within a cold back end's limit together: the two sides of a network
 * partition each select their own owners.
 */
export const MAX_MEMBERSHIP_VIEWS = 2;
