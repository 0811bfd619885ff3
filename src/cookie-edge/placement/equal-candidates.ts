/**
 * Rule: which of the least loaded candidates gets a new flow.
 *
 * Prevents hot spots that one balancer's few flows do not show: back ends that are busy according to load reports are
 * passed over. Does no input or output.
 *
 * Ties: equal loads are ordered by a hash of flow and back end, so that balancers with the same knowledge choose
 * equally and retransmissions of a SYN meet one back end; equal hashes keep the order of the candidates. Load reports
 * are used only while they say more than the balancer's own flows (`LOAD_MAX_OWN_SHARE`). A back end without a report
 * counts as not busy.
 */
import { combine32 } from '../../common/hash.js';
import type { LocalBackendState } from '../backend-health/index.js';
import type { LoadLevels } from '../load/index.js';
import { LOAD_CHOICES, LOAD_MAX_OWN_SHARE } from './constants.js';

/** A candidate with its rank in the order of the flow; the highest goes first. */
interface RankedState {
  readonly state: LocalBackendState;
  readonly rank: number;
}

/** Level of a back end that is not known to be busy. */
const NOT_BUSY = 1;

/** Number of equals to look at: more than one only while load reports are known and own flows are few. */
export function countEqualsToWeigh(
  states: readonly LocalBackendState[],
  reports: LoadLevels | undefined,
  nowMs: number,
): number {
  if (!reports?.isKnown(nowMs)) return 1;
  const ownFlows = states.reduce((sum, { openFlows }) => sum + openFlows, 0);
  return ownFlows < states.length * LOAD_MAX_OWN_SHARE ? LOAD_CHOICES : 1;
}

/** The candidates with the least load that rank highest for a flow, at most `count`, in descending order. */
export function findLeastLoaded(
  states: readonly LocalBackendState[],
  flowHash: number,
  count: number,
  loadOf: (state: LocalBackendState) => number,
): readonly RankedState[] {
  let leastLoaded: RankedState[] = [];
  let leastLoad = Number.POSITIVE_INFINITY;
  for (const state of states) {
    const load = loadOf(state);
    if (load > leastLoad) continue;
    if (load < leastLoad) leastLoaded = [];
    leastLoad = load;
    insertByRank(leastLoaded, { state, rank: combine32(flowHash, state.idHash) }, count);
  }
  return leastLoaded;
}

/** Index of the first of the equals that is not busy, or of the least busy where all are; -1 where there are none. */
export function findLeastBusy(
  equals: readonly RankedState[],
  reports: LoadLevels | undefined,
  nowMs: number,
): number {
  let leastBusy = -1;
  let leastLevel = Number.POSITIVE_INFINITY;
  for (let index = 0; index < equals.length; index += 1) {
    const { state } = equals[index] as RankedState;
    const level = reports?.levelOf(state.idHash, nowMs) ?? NOT_BUSY;
    if (level >= leastLevel) continue;
    leastBusy = index;
    leastLevel = level;
  }
  return leastBusy;
}

/** Adds an entry to the `count` highest ranks, which stand in descending order. */
function insertByRank(highest: RankedState[], entry: RankedState, count: number): void {
  const lower = highest.findIndex(({ rank }) => rank < entry.rank);
  if (lower < 0 && highest.length >= count) return;
  highest.splice(lower < 0 ? highest.length : lower, 0, entry);
  highest.length = Math.min(highest.length, count);
}
