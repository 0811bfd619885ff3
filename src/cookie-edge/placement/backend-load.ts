/**
 * Rule: the load of a candidate. Placement minimizes this quantity.
 *
 * Prevents uneven load: with equal loads, every back end has the same share of its capacity in use. Does no input or
 * output.
 *
 * Unit: flows of this balancer per unit of capacity, including the new flow. Flows that were closed recently count as
 * well. Otherwise a back end without long flows would get every short flow, because each one ends before the next one
 * arrives. For a back end in slow start, `COLD_CAPACITY_SHARE` of its capacity is assumed. For a back end of another
 * zone, the load is multiplied by `zoneLoadFactor` and increased by `zoneMargin`: the margin keeps flows in the
 * balancer's zone while loads are similar, and the factor bounds how much more load that zone gets.
 */
import type { MechanismCheck } from '../../common/mechanisms.js';
import type { LocalBackendState } from '../backend-health/index.js';
import { COLD_CAPACITY_SHARE } from './constants.js';

/** Parameters of the load. */
export interface LoadOptions {
  /** Zone of this balancer. */
  readonly zone: string;
  /** Flows per unit of capacity that are added to the load of back ends of other zones. */
  readonly zoneMargin: number;
  /** Factor by which the load of back ends of other zones is multiplied, 1 or more. */
  readonly zoneLoadFactor: number;
  readonly isOn: MechanismCheck;
}

/** Returns the load that a back end would have with one more flow. */
export function loadWithNewFlow(state: LocalBackendState, nowMs: number, options: LoadOptions): number {
  const { record, coldUntilMs } = state.backend;
  const capacityShare = nowMs < coldUntilMs && options.isOn('cold-share') ? COLD_CAPACITY_SHARE : 1;
  const flows = options.isOn('closed-flows') ? state.recentFlowsAt(nowMs) : state.openFlows;
  const load = (flows + 1) / (Math.max(1, record.capacity) * capacityShare);
  if (record.zone === options.zone) return load;
  return load * options.zoneLoadFactor + options.zoneMargin;
}
