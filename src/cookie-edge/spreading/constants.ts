/** Durations, sizes and counts of the gossip between daemons. */

/** Revision of an unknown topic or an unknown route table. Valid revisions start at 0. */
export const NOTHING_KNOWN = -1;

/**
 * Interval in ms at which a daemon checks for overdue confirmations, decides on its reader role and prunes peers. With
 * the default freshness bound it is about a tenth of the age at which a confirmation is overdue.
 */
export const GOSSIP_TICK_MS = 200;

/** Number of daemons that read the source at the same time. One is enough; the second covers its loss. */
export const TARGET_READERS = 2;

/**
 * Longest delays in ms before a daemon becomes a reader: while there is no reader, and while there is one. Without a
 * reader, a daemon must start reading before confirmations are overdue. A single reader keeps them from becoming
 * overdue, so the second one may start later.
 */
export const VOLUNTEER_NO_READER_MS = 400;
export const VOLUNTEER_ONE_READER_MS = 3_000;

/**
 * Longest delay in ms before a daemon that has seen no reader since its start becomes one. When all daemons start
 * together, the first readers need time to become known. This delay and the delays by rank together reduce the calls of
 * 60 daemons within 4 s of their start from 316 to 196.
 */
export const VOLUNTEER_AT_START_MS = 1_600;

/**
 * Daemons without a confirmation read the source one after the other: `FIRST_READS` of them within the first
 * `readSpreadMs`, `READS_PER_SECOND` of them in each second afterwards. If the source refuses 90% of the daemons, at
 * least one of 32 gets a response with a probability of 1 - 0.9^32 = 0.97.
 */
export const FIRST_READS = 32;
export const READS_PER_SECOND = 8;

/**
 * A daemon that has received no message from a peer for this long, in ms, assumes a fleet size of 1. Below the age at
 * which a confirmation is overdue, which is 1,800 ms with the default freshness bound.
 */
export const ISOLATED_AFTER_MS = 1_500;

/** Minimum interval between two rounds of pulls, in ms. It leaves time for responses to arrive. */
export const PULL_INTERVAL_MS = 250;

/**
 * Fan-out of a push: number of peers in the same zone, and in other zones. A fan-out of three reaches 95% of 60 daemons
 * within 0.4 s, and only one of the three messages crosses zones, where traffic is expensive.
 */
export const FANOUT_SAME_ZONE = 2;
export const FANOUT_OTHER_ZONES = 1;

/** Number of peers asked in each round of pulls. The second is asked in case the first is gone. */
export const PULL_FANOUT = 2;

/** A peer that has not answered a pull after this long, in ms, counts as unreachable until it answers. */
export const PULL_ANSWER_TIMEOUT_MS = 200;

/** Pulls of the last so many ms are the sample from which the reachable share of the fleet is estimated. */
export const PULL_SAMPLE_MS = 2_000;

/**
 * A received confirmation is forwarded when it is at least this much newer than the previous one, in ms. With a smaller
 * value, each of several nearly equal confirmations would cause a push.
 */
export const MIN_CONFIRMATION_ADVANCE_MS = 400;

/**
 * Batching delay before a push of confirmations, in ms; changes are sent at once. It combines confirmations that
 * several peers send at nearly the same time.
 */
export const CONFIRMATION_BATCH_MS = 50;

/** Confirmations are sent again this long after a change, in ms, for the few daemons that the first push missed. */
export const REPEAT_CONFIRMATION_MS = 200;

/** Changes within this many ms after the last push of changes are batched into one push. */
export const CHANGE_BATCH_MS = 100;

/** Timeout of a pull request, in ms; then another peer is asked. It is above the round-trip time within a region. */
export const RESPONSE_TIMEOUT_MS = 100;

/** Assumed network delay in ms, added to the age of received data. It is above the one-way delay within a region. */
export const ASSUMED_NETWORK_DELAY_MS = 5;

/** Maximum datagram size in bytes, below the Ethernet MTU of 1,500. Larger updates are fetched over a connection. */
export const MAX_DATAGRAM_BYTES = 1_400;

/**
 * Minimum interval in ms between two pushes of ejections. With `CONFIRMATION_BATCH_MS` alone there could be 20 pushes a
 * second: a daemon that detects 100 dead back ends within 2 s would send 96 additional messages instead of at most 33.
 */
export const EJECTION_BATCH_MS = 200;

/** An ejection is gossiped for this long, in ms: the time for which receivers act on it (`SHARED_SUSPECT_MS`). */
export const EJECTION_GOSSIP_MS = 2_000;

/** Maximum number of ejections in a message. Every message carries recent ejections, except pushes of bad answers. */
export const EJECTIONS_PER_MESSAGE = 8;

/** Maximum number of bad answers in a message: about 200 bytes. A daemon may send several such messages a second. */
export const BAD_ANSWERS_PER_MESSAGE = 8;

/**
 * Number of pushes, to three peers each, in which a daemon gossips a bad answer that is new to it. With two pushes,
 * six messages in all, one in 400 daemons misses the report (e^-6).
 */
export const BAD_ANSWER_PUSHES = 2;

/**
 * Batching delay before a push of bad answers, in ms. A report then reaches a fleet of 30 daemons in about 0.4 s; a
 * shorter delay would cause more messages with a single report each.
 */
export const BAD_ANSWER_BATCH_MS = 150;

/**
 * A bad answer is gossiped for this long, in ms. Receivers count it while it is younger than `REPORT_VALID_MS` of the
 * outlier detection.
 */
export const BAD_ANSWER_GOSSIP_MS = 2_000;

/**
 * Maximum number of load reports in a message: one report of `MAX_BUSY_BACKENDS_PER_REPORT` back ends fills about half
 * a datagram.
 */
export const LOADS_PER_MESSAGE = 1;

/** Number of random peers advertised in a message. Keeps messages small. */
export const PEERS_PER_MESSAGE = 4;

/** Maximum number of readers in a message, besides the sender. Above `TARGET_READERS`. */
export const READERS_PER_MESSAGE = 3;

/** Maximum number of remembered peers; beyond it a random one is evicted. Bounds memory in a large fleet. */
export const MAX_PEERS = 128;

/**
 * Number of daemons in the sketch that estimates the fleet size. The sketch holds those with the smallest hashes. The
 * relative standard error of the estimate is 1 / sqrt(size - 2), 18% for 32.
 */
export const SKETCH_SIZE = 32;

/**
 * TTL in ms of a daemon in the sketch. Longer than for other peers: each message advertises only one of the 32 sketch
 * entries and two or three messages arrive a second, so that 11 to 16 s pass between two mentions of a daemon.
 */
export const SKETCH_ENTRY_TTL_MS = 30_000;

/** TTL in ms of a peer that no message mentions. A live peer is mentioned many times within it. */
export const PEER_TTL_MS = 15_000;

/** Maximum number of logged changes per topic; a daemon that lags further fetches the complete topic. Bounds memory. */
export const MAX_LOGGED_UPDATES = 64;

/**
 * Delay in ms before a fetch from a peer of another zone, and the maximum random addition to it. Meanwhile a peer of
 * the same zone may supply the data, since traffic between zones is expensive. A daemon that knows nothing of a topic
 * waits only the fixed part, since it cannot serve yet. Without the delay, 478,677 of the 1,489,211 bytes that 30
 * daemons fetch for a large change cross zones; with it, at most 8/30 of the bytes do.
 */
export const CROSS_ZONE_FETCH_DELAY_MS = 60;
export const CROSS_ZONE_FETCH_JITTER_MS = 240;

/** Timeout of a fetch, and minimum interval between the starts of two, in ms. Both fit into the freshness bound. */
export const FETCH_TIMEOUT_MS = 800;
export const FETCH_INTERVAL_MS = 300;

/**
 * Maximum number of complete lists of back ends fetched after a start to obtain the departed ones. The second fetch
 * covers the case that the first peer had just started as well.
 */
export const MAX_COMPLETE_LIST_FETCHES = 2;

/** Time in ms after a start in which a daemon fetches the back ends that departed before its start. */
export const DEPARTED_FETCH_WINDOW_MS = 10_000;

/**
 * Interval in ms of pulls from seeds while fewer peers than seeds are known, the interval afterwards, and the jitter of
 * both as a fraction. A starting daemon needs data soon; a fleet that was partitioned reunites after a single pull.
 */
export const SEED_PULL_MIN_MS = 400;
export const SEED_PULL_MAX_MS = 10_000;
export const SEED_PULL_JITTER = 0.3;

/**
 * Time after its start in ms within which a daemon that knows no peer expects to find one. Seeds answer within a
 * round-trip time; without an answer for this long, the daemon acts as if it were alone.
 */
export const PEER_SEARCH_MS = 1_000;
