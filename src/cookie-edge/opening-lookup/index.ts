/**
 * Finds out from peers where an opening was placed, so that the copies of a SYN that reach different daemons go to one
 * back end. Owns the running lookups and the openings left to peers; relies on `spreading` for the messages.
 */
export type { FlowAddresses, OpeningAnswer, OpeningPeers, OpeningQuery } from './types.js';
export { MAX_ASKED_PEERS } from './constants.js';
export { OpeningLookup, type LookupOutcome } from './opening-lookup.js';
export { YieldedOpenings } from './yielded-openings.js';
