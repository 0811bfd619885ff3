/** Durations, sizes and counts of gossip between daemons. */

/** Revision of a topic, or of the table of routes, of which nothing is known. Below 0, the lowest revision. */
export const NOTHING_KNOWN = -1;

/**
 * Interval in ms at which overdue confirmations, the reader role and peers are checked. It is a tenth of the age at
 * which a confirmation is overdue by the default bound.
 */
export const GOSSIP_TICK_MS = 200;

/**
 * Daemons that read the source at the same time. One would do; the second covers the loss of the first. Derived from
 * prices: two instead of one cost 0.001 of worth.
 */
export const TARGET_READERS = 2;

/**
 * Longest delays in ms before a daemon becomes a reader: with no reader left, and while one remains (nothing is overdue
 * then). The first one must end before confirmations are overdue.
 */
export const VOLUNTEER_ALONE_MS = 400;
export const VOLUNTEER_SECOND_MS = 3_000;

/**
 * Longest such delay in ms just after a start. When all daemons start together, the first readers need time to become
 * known. Measured together with waiting by rank: 60 simulated daemons made 316 calls until 4 s after their start
 * without these waits and 196 with them.
 */
export const VOLUNTEER_AT_START_MS = 1_600;

/**
 * Daemons without a confirmation read the source one after the other: this many within the first spread, and this many
 * in each second afterwards. Of 32 daemons one at least reaches a source that refuses nine of ten with a probability of
 * 1 - 0.9^32 = 0.97.
 */
export const FIRST_READS = 32;
export const READS_PER_SECOND = 8;

/**
 * A daemon without a message from any peer for this long, in ms, acts as if it were the only one. It is below the age
 * at which a confirmation is overdue, 1,800 ms by the default bound.
 */
export const ALONE_AFTER_MS = 1_500;

/** Shortest time between two rounds of pulls, in ms. A response must have time to arrive. */
export const PULL_INTERVAL_MS = 250;

/**
 * Fan-out of a push: peers of the own zone, and of other zones. Three in all reach 95% of 60 simulated daemons within
 * 0.4 s; only one of them costs bytes between zones (docs/PLATFORM-DEPLOYMENT.md).
 */
export const FANOUT_IN_ZONE = 2;
export const FANOUT_ELSEWHERE = 1;

/** Peers that get a pull at once. The second covers one that is gone. */
export const PULL_FANOUT = 2;

/**
 * A received confirmation is passed on when it is at least this much newer than the last one, in ms. Smaller steps
 * would cause a push for each of several nearly equal confirmations.
 */
export const CONFIRMATION_STEP_MS = 400;

/**
 * Gather time of confirmations before a push, in ms; changes are sent at once. It joins what several peers send at
 * nearly the same time.
 */
export const CONFIRMATION_GATHER_MS = 50;

/**
 * Confirmations are sent again this long after a change, in ms, for the few daemons that the first push missed.
 */
export const REPEAT_CONFIRMATION_MS = 200;

/**
 * Changes within this many ms after the last push of changes are sent together.
 */
export const CHANGE_GATHER_MS = 100;

/** Time-out of a pull for missing changes, in ms; then the request goes to another peer. A round trip takes less. */
export const RESPONSE_TIMEOUT_MS = 100;

/** Added to the age of received data for the network delay, in ms. It is above the one-way delay within a region. */
export const TRANSIT_MS = 5;

/** Largest datagram in bytes; larger updates are fetched over a connection. Below the MTU of Ethernet of 1,500. */
export const MAX_DATAGRAM_BYTES = 1_400;

/**
 * Gather time in ms of ejections that follow a push; the first one goes out at once. Without it each would be pushed
 * within `CONFIRMATION_GATHER_MS`, 20 times a second. Measured: a simulated daemon that finds 100 back ends dead
 * within 2 s sends 96 messages more than in a calm time without it, and at most 33 more with it.
 */
export const EJECTION_GATHER_MS = 200;

/** An ejection is gossiped this long, in ms. As long as other daemons act on it (`SHARED_SUSPECT_MS`). */
export const EJECTION_GOSSIP_MS = 2_000;

/** Ejections in one message. Every message carries them beside changes. */
export const EJECTIONS_PER_MESSAGE = 8;

/** Bad answers in one message: about 200 bytes. Several such messages may be sent a second. */
export const BAD_ANSWERS_PER_MESSAGE = 8;

/**
 * Pushes, to three peers each, in which a daemon gossips a bad answer that is new to it. With two pushes of 3 peers,
 * six in all, one in 400 daemons misses it (e^-6).
 */
export const BAD_ANSWER_PUSHES = 2;

/**
 * Gather time of bad answers before a push, in ms. A report then crosses a fleet of 30 in about 0.4 s; a shorter time
 * would cost more messages, each with one report.
 */
export const BAD_ANSWER_GATHER_MS = 150;

/**
 * A bad answer is gossiped this long, in ms. Others count it while it is younger than `REPORT_VALID_MS`
 * in outliers.
 */
export const BAD_ANSWER_GOSSIP_MS = 2_000;

/** Load reports in one message. One, because a report of `MAX_REPORTED` back ends takes about half of a datagram. */
export const LOADS_PER_MESSAGE = 1;

/** Random peers introduced in one message. A message stays small. */
export const PEERS_PER_MESSAGE = 4;

/** Readers named in one message, besides the sender. It is more than `TARGET_READERS`. */
export const READERS_PER_MESSAGE = 3;

/** Peers that are remembered at once; beyond, random ones make room. It bounds memory in a large fleet. */
export const MAX_PEERS = 128;

/**
 * Daemons with the smallest hashes that every daemon remembers, to estimate the fleet's size by them. The relative
 * standard error of such an estimate is 1 / sqrt(count - 2), 18% for 32.
 */
export const SIZE_SAMPLE = 32;

/**
 * Time in ms after which a daemon of that sample is forgotten. Longer than for other peers, since each is mentioned
 * in one of 32 messages only, of which two or three come a second: 11 to 16 s between two mentions.
 */
export const SIZE_SAMPLE_FORGET_MS = 30_000;

/** Lifetime in ms of a peer that no message mentions. A live peer is mentioned many times within it. */
export const PEER_FORGET_MS = 15_000;

/** Changes kept of each topic; a daemon that lags by more fetches the whole state. It bounds memory. */
export const MAX_LOGGED_UPDATES = 64;

/**
 * A fetch from a peer of another zone waits this long, in ms, and a random part of the spread more, for a peer of the
 * own zone: bytes between zones are the expensive ones. A daemon that knows nothing yet waits only the first part,
 * since it cannot serve. Measured: of a large change at 30 simulated daemons 478,677 of 1,489,211 fetched bytes
 * crossed zones without the wait, and at most 8 of 30 parts with it.
 */
export const FAR_FETCH_WAIT_MS = 60;
export const FAR_FETCH_SPREAD_MS = 240;

/** Time-out of a fetch, and shortest time between the starts of two, in ms. Both fit into the bound. */
export const FETCH_TIMEOUT_MS = 800;
export const FETCH_INTERVAL_MS = 300;

/**
 * Whole lists of back ends fetched after a start for what only peers know. The second one serves when the first came
 * from a peer that had just started as well.
 */
export const MAX_WHOLE_LISTS = 2;

/** Time in ms after a start in which a daemon learns from peers what was before it. */
export const LEARNING_MS = 10_000;

/**
 * Interval in ms at which seeds get a pull while fewer peers than seeds are known, the interval afterwards, and the
 * random part of both. A newcomer must learn soon, and a fleet that split needs one greeting to heal.
 */
export const GREETING_MIN_MS = 400;
export const GREETING_MAX_MS = 10_000;
export const GREETING_JITTER = 0.3;
