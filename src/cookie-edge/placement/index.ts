/**
 * Placement: which back end a new flow gets, or why it gets none. Each rule is a module of its own that does no input
 * or output; `new-flow-rule.ts` applies them in order. Owns the credits of traffic splits and the times of the last
 * flows to cold back ends. Relies on `routing` for routes, records and cordons, on `backend-health` and `outliers` for
 * the health of each back end, and on `load` for the load reports.
 */
export { BackendEligibility } from './backend-eligibility.js';
export { ColdAdmission, type ColdAdmissionOptions } from './cold-admission.js';
export { NewFlowRule, type NewFlowOutcome } from './new-flow-rule.js';
export { OpeningPlacement, type Placement, type PlacementRequest } from './opening-placement.js';
export { TrafficSplitter } from './traffic-splitter.js';
