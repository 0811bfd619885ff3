/** Times and sizes of cookie forwarding. */

/** Housekeeping: pending openings, pauses and expiry are looked at this often. */
export const TICK_MS = 150;

/**
 * A record that may only have lapsed serves as a last resort this long after it was missed, in ms: back ends that live are recorded
 * again about 2 s after the source's return, as the platform promises, and gossip takes a moment.
 */
export const LAPSED_RECORD_MS = 2_500;

/** Largest share of a service's back ends that may be ejected at once: with more, the balancer's own network is suspect. Our choice. */
export const MAX_EJECTED_SHARE = 0.6;

/** Data repeated earlier than this, in ms, is a duplicate of the network: callers repeat after 200 ms at the earliest. */
export const REPETITION_MIN_MS = 150;

/** A flow is kept this long, in ms, after its caller closed it, for the last packets. */
export const CLOSING_MS = 3_000;

/** Time in ms between two sweeps of the flow cache for expired flows. */
export const EXPIRY_INTERVAL_MS = 1_000;

/**
 * Back ends of equal load among which one that is not busy elsewhere is looked for. By simulation (164 back ends, 726 flows, 195
 * balancers) busiest/mean is 2.4 with one, 2.0 with two, 1.66 with four and 1.65 with eight.
 */
export const LOAD_CHOICES = 4;

/**
 * Reports of load are used while this balancer's own flows are fewer than this part of the back ends that it chooses among. With
 * more its own counts tell busy from idle better than a report that is seconds old: with 26 flows for 35 back ends, at 75% load,
 * reports raised the late requests of a run of 34 s from 18 to 69.
 */
export const LOAD_MAX_OWN_SHARE = 0.25;

/**
 * Share of its capacity that a back end in slow start counts with. Without it a day with releases has 24 late requests more (mean of
 * three seeds on four days with 13 back ends). Not measured against other shares.
 */
export const COLD_CAPACITY_SHARE = 0.5;

/**
 * Balancers that a cold back end gets its new flows from. The second one covers the loss of the first, which the others notice
 * only after seconds; more would make each one's part of a low rate too small to use.
 */
export const COLD_OWNERS = 2;

/** Differing views of the fleet, and so sets of owners, that must stay within a cold back end's limit at once: two sides of a cut. */
export const COLD_VIEWS = 2;
