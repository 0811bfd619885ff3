/** Times and sizes of spreading knowledge between daemons. */

/** Revision of a topic, or of the table of routes, of which nothing is known. */
export const NOTHING_KNOWN = -1;

/** Overdue knowledge, roles and peers are looked at this often. */
export const TICK_MS = 200;

/** Daemons that read the source at the same time. One would do; the second bridges the loss of the first. */
export const TARGET_READERS = 2;

/** A daemon that misses a reader volunteers after a wait of up to this, longer while there is another reader. */
export const VOLUNTEER_ALONE_MS = 400;
export const VOLUNTEER_SECOND_MS = 3_000;

/** Just after its start a daemon waits up to this long: where all start together, the first volunteers must be heard of. */
export const VOLUNTEER_AT_START_MS = 1_600;

/**
 * Daemons that lack a proof all ask the source, one after the other: this many within the spread of their turns, and this
 * many in each second afterwards. Thirty-two find a source that refuses nine of ten daemons with a probability of 0.97.
 */
export const FIRST_ASKERS = 32;
export const ASKS_A_SECOND = 8;

/** A daemon to which no peer said anything for this long counts itself as alone. */
export const ALONE_AFTER_MS = 1_500;

/** Least time between two rounds of asking. */
export const PULL_INTERVAL_MS = 250;

/** Peers that get news: in the own zone, and anywhere. */
export const FANOUT_IN_ZONE = 2;
export const FANOUT_ELSEWHERE = 1;

/** Peers that are asked at once. */
export const PULL_FANOUT = 2;

/** A proof is passed on when it is at least this much newer than the one known before. */
export const PROOF_STEP_MS = 400;

/** Proofs gather this long before they are sent; changes are sent at once. */
export const PROOF_GATHER_MS = 50;

/** After a change proofs are sent once more this much later, so that hardly anybody has to wait for the next proof. */
export const LAST_WAVE_MS = 200;

/** Changes that come within this time after the last ones were sent go out together. */
export const CHANGE_GATHER_MS = 100;

/** An answer to a question for missing changes is waited for this long before another peer is asked. */
export const ANSWER_WAIT_MS = 100;

/** Added to the age of what arrives, for its way. */
export const TRANSIT_MS = 5;

/** Largest datagram, below the MTU of Ethernet; larger updates are fetched over a connection. */
export const MAX_DATAGRAM_BYTES = 1_400;

/** The word of an ejected back end is passed on this long: as long as it counts with those who place flows. */
export const TELL_SUSPICION_MS = 2_000;

/** Suspected back ends told about in one message. */
export const SUSPICIONS_A_MESSAGE = 8;

/** Load reports in one message: those of two pages of 500 back ends leave room in a datagram. */
export const LOADS_A_MESSAGE = 1;

/** Peers told about in one message. */
export const PEERS_A_MESSAGE = 4;

/** Readers told about in one message, besides the sender. */
export const READERS_A_MESSAGE = 3;

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

/** Changes kept for daemons that lag. */
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
