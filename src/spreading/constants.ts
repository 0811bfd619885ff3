/** Times and sizes of spreading knowledge between daemons. */

/** Overdue knowledge, roles and peers are looked at this often. */
export const TICK_MS = 200;

/** Daemons that read the source at the same time. One would do; the second bridges the loss of the first. */
export const TARGET_READERS = 2;

/** A daemon stands down only for readers that proved something within this time; a watch proves something every 1.5 s. */
export const READER_FRESH_MS = 2_500;

/**
 * A reader is missed this long after its last proof. Not each of its proofs travels far, because another reader's may just
 * have done so; and nothing hangs on it, since daemons without any proof read for themselves much earlier.
 */
export const READER_MISSED_MS = 6_000;

/** A daemon that misses a reader volunteers after a random wait of up to this, longer while there is another reader. */
export const VOLUNTEER_ALONE_MS = 400;
export const VOLUNTEER_SECOND_MS = 3_000;

/** Without a proof for this long a daemon asks peers. */
export const PULL_AFTER_MS = 1_900;

/** Least time between two rounds of asking. */
export const PULL_INTERVAL_MS = 250;

/**
 * Without a proof for this long, and a random part of the spread more, it reads the source itself. The sum stays well
 * below the 3 s in which a change must be in force; whoever succeeds first saves the others their calls.
 */
export const READ_AFTER_MS = 2_000;
export const READ_SPREAD_MS = 500;

/** Peers that get news: in the own zone, and anywhere. */
export const FANOUT_IN_ZONE = 2;
export const FANOUT_ELSEWHERE = 1;

/** Peers that are asked at once. */
export const PULL_FANOUT = 2;

/** A proof is passed on when it is at least this much newer than the one known before. */
export const PROOF_STEP_MS = 400;

/** Proofs gather this long before they are sent; changes are sent at once. */
export const PROOF_GATHER_MS = 50;

/** Changes that come within this time after the last ones were sent go out together. */
export const CHANGE_GATHER_MS = 100;

/** Who still lacks something this soon after it asked fetches everything: what it lacks does not fit into an answer. */
export const ASK_AGAIN_MS = 200;

/** Added to the age of what arrives, for its way. */
export const TRANSIT_MS = 5;

/** Largest datagram, below the MTU of Ethernet; larger updates are fetched over a connection. */
export const MAX_DATAGRAM_BYTES = 1_400;

/** Peers told about in one message. */
export const PEERS_A_MESSAGE = 4;

/** Readers told about in one message, besides the sender. */
export const READERS_A_MESSAGE = 3;

/** Peers that are remembered at once; beyond, random ones make room. */
export const MAX_PEERS = 128;

/** A peer of which nobody heard for this long is forgotten. */
export const PEER_FORGET_MS = 15_000;

/** Changes kept for daemons that lag. */
export const MAX_LOGGED_UPDATES = 64;

/** A fetch from a peer must end within this time, and is not repeated within the second. */
export const FETCH_TIMEOUT_MS = 800;
export const FETCH_INTERVAL_MS = 300;

/** Seeds are greeted this often while fewer peers than seeds are known, and this often afterwards. */
export const GREETING_MIN_MS = 400;
export const GREETING_MAX_MS = 10_000;
export const GREETING_JITTER = 0.3;
