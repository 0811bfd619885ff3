/**
 * Placement: which back end a new flow gets, or why none. Each rule stands in a module of its own that does no input or
 * output; `new-flow-rule.ts` applies them in their order. Owns the credits of splits and the spacing of flows to cold
 * back ends. Relies on `routing` for routes, records and cordons, on `backend-health` and `outliers` for what is known
 * of each back end, and on `load` for reports of other balancers.
 */
export { BackendEligibility } from './backend-eligibility.js';
export { ColdAdmission, type ColdAdmissionOptions } from './cold-admission.js';
export { NewFlowRule, type NewFlowOutcome } from './new-flow-rule.js';
export { OpeningPlacement, type Placement, type PlacementRequest } from './opening-placement.js';
export { TrafficSplitter } from './traffic-splitter.js';
