/**
 * Finds out from peers where an opening was placed, so that the copies of a SYN that reach different daemons go to one
 * back end, and where its handshake was completed, so that the flow stays there if its daemon is lost. Owns the running
 * lookups, the openings left to peers and the handshake records; relies on `spreading` for the messages.
 */
export type { FlowAddresses, HandshakeRecord, OpeningAnswer, OpeningPeers, OpeningQuery } from './types.js';
export { LOOKUP_TIMEOUT_MS, MAX_ASKED_PEERS } from './constants.js';
export { HandshakeRecords } from './handshake-records.js';
export { HandshakeReplicator } from './handshake-replicator.js';
export { OpeningLookup, type LookupOutcome } from './opening-lookup.js';
export { YieldedOpenings } from './yielded-openings.js';
