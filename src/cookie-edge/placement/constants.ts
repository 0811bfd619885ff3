/** Shares, counts and durations of placement. */

/**
 * Lifetime in ms of a lapsed record as the last resort of its service, from when it was missed. The platform states
 * that live back ends are recorded again about 2,000 ms after the source's return; 500 ms for gossip were added without
 * a measurement.
 */
export const LAPSED_RECORD_MS = 2_500;

/**
 * Panic threshold: share of a service's recorded candidates above which ejections are ignored, because then this
 * balancer's own network is the likelier cause. A majority with some margin must be reachable for ejections to count.
 */
export const MAX_EJECTED_SHARE = 0.6;

/**
 * Back ends of equal load among which one that is not busy elsewhere is looked for. More gain
 * nothing.
 */
export const MAX_TIED_CANDIDATES = 4;

/**
 * Own flows for each candidate below which load reports are used. Above it the balancer's own counts tell busy from
 * idle better than a report that is seconds old.
 */
export const MAX_OWN_FLOWS_PER_CANDIDATE = 0.25;

/**
 * Share of its capacity that a back end in slow start counts with. It works slower until
 * it is warm.
 */
export const COLD_CAPACITY_SHARE = 0.5;

/**
 * Balancers that may send new flows to one cold back end. The second covers the loss of the first, which the others
 * notice only after seconds, and more would make each one's part of a low rate too small to use.
 */
export const COLD_BACKEND_OWNERS = 2;

/**
 * Differing views of the fleet, each with its own owners, that must stay within a cold back end's limit together. The
 * two sides of a network partition.
 */
export const MAX_MEMBERSHIP_VIEWS = 2;
