/**
 * Rule: which of the candidates with the least load gets a new flow.
 *
 * Prevents hot spots that do not show in the few flows of one balancer: back ends that are busy according to load
 * reports are passed over. Does no input or output.
 *
 * Order: candidates of equal load are ranked by a hash of the flow and the back end, so that balancers with the same
 * knowledge make the same choice and retransmissions of a SYN reach the same back end. Candidates with the same hash
 * keep their order. Load reports are used only while they are more accurate than the balancer's own flow counts
 * (`MAX_OWN_FLOWS_PER_CANDIDATE`). A back end without a report counts as not busy.
 */
import { combine32 } from '../../common/hash.js';
import type { LocalBackendState } from '../backend-health/index.js';
import type { LoadLevels } from '../load/index.js';
import { MAX_OWN_FLOWS_PER_CANDIDATE, MAX_TIED_CANDIDATES } from './constants.js';

/** A candidate with its rank for a flow; the highest rank is preferred. */
interface RankedCandidate {
  readonly state: LocalBackendState;
  readonly rank: number;
}

/** Load level of a back end without a report that it is busy. */
const NOT_BUSY_LEVEL = 1;

/**
 * Returns how many candidates of equal load are compared by their load reports: more than one only while a report is
 * valid and this balancer has few flows of its own.
 */
export function tiedCandidateLimit(
  states: readonly LocalBackendState[],
  loadLevels: LoadLevels | undefined,
  nowMs: number,
): number {
  if (!loadLevels?.hasValidReport(nowMs)) return 1;
  const ownFlows = states.reduce((sum, { openFlows }) => sum + openFlows, 0);
  return ownFlows < states.length * MAX_OWN_FLOWS_PER_CANDIDATE ? MAX_TIED_CANDIDATES : 1;
}

/**
 * Returns up to `maxCount` of the candidates with the least load: those with the highest ranks, in descending order.
 */
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

/**
 * Returns the index of the first tied candidate that is not busy, or of the least busy one if all are busy; -1 without
 * any candidate.
 */
export function findLeastBusyIndex(
  tied: readonly RankedCandidate[],
  loadLevels: LoadLevels | undefined,
  nowMs: number,
): number {
  let leastBusyIndex = -1;
  let leastLevel = Number.POSITIVE_INFINITY;
  for (let index = 0; index < tied.length; index += 1) {
    const { state } = tied[index] as RankedCandidate;
    const level = loadLevels?.levelOf(state.idHash, nowMs) ?? NOT_BUSY_LEVEL;
    if (level >= leastLevel) continue;
    leastBusyIndex = index;
    leastLevel = level;
  }
  return leastBusyIndex;
}

/** Inserts a candidate into a list in descending order of rank, and keeps the `maxCount` highest ranks. */
function insertByRank(ranked: RankedCandidate[], candidate: RankedCandidate, maxCount: number): void {
  const insertAt = ranked.findIndex(({ rank }) => rank < candidate.rank);
  if (insertAt < 0 && ranked.length >= maxCount) return;
  ranked.splice(insertAt < 0 ? ranked.length : insertAt, 0, candidate);
  ranked.length = Math.min(ranked.length, maxCount);
}
