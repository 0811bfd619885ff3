/** Times and sizes of gossip between daemons. */

/** Revision of a topic, or of the table of routes, of which nothing is known. */
export const NOTHING_KNOWN = -1;

/** Interval at which overdue confirmations, the reader role and peers are checked, in ms. */
export const TICK_MS = 200;

/** Daemons that watch the source at the same time. One would do; the second covers the loss of the first. */
export const TARGET_READERS = 2;

/** Longest delay in ms before a daemon becomes a reader: with no reader left, and while one remains (nothing is overdue then). */
export const VOLUNTEER_ALONE_MS = 400;
export const VOLUNTEER_SECOND_MS = 3_000;

/** Longest such delay just after a start, in ms: when all daemons start together, the first readers must be heard of. */
export const VOLUNTEER_AT_START_MS = 1_600;

/**
 * Daemons without a confirmation ask the source one after the other: this many within the first spread, and this many in each
 * second afterwards. With 32 askers, one of them reaches a source that refuses nine of ten daemons with a probability of 0.97.
 */
export const FIRST_READS = 32;
export const READS_PER_SECOND = 8;

/** A daemon without a message from any peer for this long, in ms, acts as if it were the only one. */
export const ALONE_AFTER_MS = 1_500;

/** Shortest time between two rounds of pulls, in ms. */
export const PULL_INTERVAL_MS = 250;

/**
 * Fan-out of a push: peers of the own zone, and of other zones. Three in all reach 95% of 60 simulated daemons within 0.4 s; only
 * one of them costs bytes between zones (docs/PLATFORM-DEPLOYMENT.md).
 */
export const FANOUT_IN_ZONE = 2;
export const FANOUT_ELSEWHERE = 1;

/** Peers that get a pull at once: the second covers one that is gone. */
export const PULL_FANOUT = 2;

/** A confirmation is passed on when it is at least this much newer than the last one, in ms. */
export const CONFIRMATION_STEP_MS = 400;

/** Confirmations are collected this long before they are sent, in ms; changes are sent at once. */
export const CONFIRMATION_GATHER_MS = 50;

/** After a change confirmations are sent again this much later, in ms, for the few daemons that the first push missed. */
export const REPEAT_CONFIRMATION_MS = 200;

/** Changes that arrive within this many ms after the last push are sent together. */
export const CHANGE_GATHER_MS = 100;

/** Time-out of a pull for missing changes, in ms; then another peer is asked. */
export const RESPONSE_TIMEOUT_MS = 100;

/** Added to the age of received data for the network delay, in ms: above the one-way delay within a region. */
export const TRANSIT_MS = 5;

/** Largest datagram, below the MTU of Ethernet; larger updates are fetched over a connection. */
export const MAX_DATAGRAM_BYTES = 1_400;

/**
 * Time in ms between two pushes for suspicions of back ends: the first one goes out at once, those of a lost zone together. Without it
 * each of them would be pushed within `CONFIRMATION_GATHER_MS`, 20 times a second.
 */
export const EJECTION_GATHER_MS = 200;

/** An ejection is gossiped this long, in ms: as long as other daemons act on it (`SHARED_SUSPECT_MS` in flow/cookie). */
export const EJECTION_GOSSIP_MS = 2_000;

/** Suspected back ends told about in one message. */
export const EJECTIONS_PER_MESSAGE = 8;

/** Bad answers told about in one message: about 200 bytes. */
export const BAD_ANSWERS_PER_MESSAGE = 8;

/** Pushes, to three peers each, in which a daemon tells of a bad answer that is new to it: with six, one in 400 daemons misses it. */
export const BAD_ANSWER_PUSHES = 2;

/**
 * Bad answers are collected this long before they are sent on, in ms. A report then crosses a fleet of 30 in about 0.4 s; sooner
 * would cost more messages, each with one report.
 */
export const BAD_ANSWER_GATHER_MS = 150;

/** A bad answer is told on for this long, in ms: others count it while it is younger than `REPORT_VALID_MS` in outliers. */
export const BAD_ANSWER_GOSSIP_MS = 2_000;

/** Load reports in one message: one of `MAX_REPORTED` back ends takes about half of a datagram. */
export const LOADS_PER_MESSAGE = 1;

/** Peers told about in one message. */
export const PEERS_PER_MESSAGE = 4;

/** Readers told about in one message, besides the sender. */
export const READERS_PER_MESSAGE = 3;

/** Peers that are remembered at once; beyond, random ones make room. */
export const MAX_PEERS = 128;

/**
 * Daemons with the smallest hashes that every daemon remembers, to estimate the fleet's size by them. The relative standard
 * error of such an estimate is 1 / sqrt(count - 2): 18% for 32.
 */
export const SIZE_SAMPLE = 32;

/** They are remembered longer than other peers: each is mentioned in one of 32 messages only, two or three come a second. */
export const SIZE_SAMPLE_FORGET_MS = 30_000;

/** A peer of which nobody heard for this long is forgotten. */
export const PEER_FORGET_MS = 15_000;

/** Changes kept for daemons that lag; a daemon that lags by more fetches the whole state. */
export const MAX_LOGGED_UPDATES = 64;

/**
 * A fetch from a peer of another zone waits this long, and a random part of the spread more, for one from the own zone:
 * bytes between zones are dear. A daemon that knows nothing yet waits only the first part, since it cannot serve.
 */
export const FAR_FETCH_WAIT_MS = 60;
export const FAR_FETCH_SPREAD_MS = 240;

/** A fetch from a peer must end within this time, and is not repeated within the second. */
export const FETCH_TIMEOUT_MS = 800;
export const FETCH_INTERVAL_MS = 300;

/** Seeds are greeted this often while fewer peers than seeds are known, and this often afterwards. */
export const GREETING_MIN_MS = 400;
export const GREETING_MAX_MS = 10_000;
export const GREETING_JITTER = 0.3;
