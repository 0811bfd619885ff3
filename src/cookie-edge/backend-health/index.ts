/**
 * Health of back ends as this daemon observes it: which ones are ejected, suspect, slow to answer or dead. Owns the
 * observations of each back end and the probes. Relies on forwarding to report answers, failures and placements, on
 * gossip for other daemons' ejections, and on routing for the records.
 *
 * Each rule has a module of its own: `passive-ejection.ts`, `ejection-report.ts`, `slow-handshake.ts`,
 * `dead-verdict.ts` and `address-reuse.ts`. `local-backend-state.ts` combines their decisions for one back end.
 * `local-backend-states.ts`, `dead-backends.ts` and `superseded-backends.ts` apply the decisions and log them.
 */
export type { ConnectProbe, ProbeOutcome } from './backend-prober.js';
export type { LocalBackendState, Liveness } from './local-backend-state.js';
export { LocalBackendStates } from './local-backend-states.js';
export { DeadBackends } from './dead-backends.js';
export { FlowResetter } from './flow-resetter.js';
export { SupersededBackends } from './superseded-backends.js';
export { PendingOpenings } from './pending-openings.js';
