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
import { MAX_OWN_FLOWS_PER_CANDIDATE, MAX_TIED_CANDIDATES } from './constants.js';

/** A candidate with its rank in the order of the flow; the highest goes first. */
interface RankedCandidate {
  readonly state: LocalBackendState;
  readonly rank: number;
}

/** Level of a back end that is not known to be busy. */
const NOT_BUSY = 1;

/** Number of equals to look at: more than one only while load reports are known and own flows are few. */
export function countTiedToCompare(
  states: readonly LocalBackendState[],
  reports: LoadLevels | undefined,
  nowMs: number,
): number {
  if (!reports?.isKnown(nowMs)) return 1;
  const ownFlows = states.reduce((sum, { openFlows }) => sum + openFlows, 0);
  return ownFlows < states.length * MAX_OWN_FLOWS_PER_CANDIDATE ? MAX_TIED_CANDIDATES : 1;
}

/** The candidates with the least load that rank highest for a flow, at most `count`, in descending order. */
export function findLeastLoaded(
  states: readonly LocalBackendState[],
  flowHash: number,
  maxCount: number,
  loadOf: (state: LocalBackendState) => number,
): readonly RankedCandidate[] {
  let leastLoaded: RankedCandidate[] = [];
  let leastLoad = Number.POSITIVE_INFINITY;
  for (const state of states) {
    const load = loadOf(state);
    if (load > leastLoad) continue;
    if (load < leastLoad) leastLoaded = [];
    leastLoad = load;
    insertByRank(leastLoaded, { state, rank: combine32(flowHash, state.idHash) }, maxCount);
  }
  return leastLoaded;
}

/** Index of the first of the equals that is not busy, or of the least busy where all are; -1 where there are none. */
export function findLeastBusyIndex(
  tied: readonly RankedCandidate[],
  reports: LoadLevels | undefined,
  nowMs: number,
): number {
  let leastBusyIndex = -1;
  let leastLevel = Number.POSITIVE_INFINITY;
  for (let index = 0; index < tied.length; index += 1) {
    const { state } = tied[index] as RankedCandidate;
    const level = reports?.levelOf(state.idHash, nowMs) ?? NOT_BUSY;
    if (level >= leastLevel) continue;
    leastBusyIndex = index;
    leastLevel = level;
  }
  return leastBusyIndex;
}

/** Adds an entry to the `count` highest ranks, which stand in descending order. */
function insertByRank(ranked: RankedCandidate[], candidate: RankedCandidate, maxCount: number): void {
  const insertAt = ranked.findIndex(({ rank }) => rank < candidate.rank);
  if (insertAt < 0 && ranked.length >= maxCount) return;
  ranked.splice(insertAt < 0 ? ranked.length : insertAt, 0, candidate);
  ranked.length = Math.min(ranked.length, maxCount);
}
