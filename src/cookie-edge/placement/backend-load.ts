/**
 * Rule: the load of a candidate, the quantity that placement minimizes.
 *
 * Prevents uneven load: equal load means equal shares of the capacity in use. Does no input or output.
 *
 * Unit: flows of this balancer for each unit of capacity, counting the new one. Flows that were just closed count as
 * well; otherwise a back end without long flows would get every short one, because each has ended before the next
 * comes. A back end in slow start counts with `COLD_CAPACITY_SHARE` of its capacity. A back end of another zone needs
 * `zoneMargin` flows less for each unit of capacity, and its load counts `zoneLoadFactor` times, which bounds how much
 * more the own zone gets.
 */
import type { MechanismCheck } from '../../common/mechanisms.js';
import type { LocalBackendState } from '../backend-health/index.js';
import { COLD_CAPACITY_SHARE } from './constants.js';

/** How zones and mechanisms count. */
export interface LoadOptions {
  /** Zone of this balancer. */
  readonly zone: string;
  /** Flows for each unit of capacity that a back end of another zone must have less. */
  readonly zoneMargin: number;
  /** Factor of the load of back ends of other zones, 1 or more. */
  readonly zoneLoadFactor: number;
  readonly isOn: MechanismCheck;
}

/** Load of a back end as it would be with one flow more. */
export function loadWithNewFlow(state: LocalBackendState, nowMs: number, options: LoadOptions): number {
  const { record, coldUntilMs } = state.backend;
  const capacityShare = nowMs < coldUntilMs && options.isOn('cold-share') ? COLD_CAPACITY_SHARE : 1;
  const flows = options.isOn('closed-flows') ? state.flowsAt(nowMs) : state.openFlows;
  const load = (flows + 1) / (Math.max(1, record.capacity) * capacityShare);
  if (record.zone === options.zone) return load;
  return load * options.zoneLoadFactor + options.zoneMargin;
}
