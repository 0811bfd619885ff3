/**
 * Weighted rendezvous hashing: every balancer ranks the same back ends in the same order for a flow, a back end is
 * first for a share of the flows proportional to its weight, and a change of one back end moves only flows from or
 * to it.
 */
import { combine32 } from '../../common/hash.js';
import type { FlowFingerprint } from './types.js';

const TWO_POW_32 = 0x1_0000_0000;

/** What the ranking needs of a back end: 32-bit id and weight > 0. */
interface RankedBackend {
  readonly id: number;
  readonly weight: number;
}

/** Score of one back end for a flow, > 0; the highest wins. Source: the logarithmic method, -weight / ln(u). */
export function rendezvousScore(fingerprint: FlowFingerprint, id: number, weight: number): number {
  const hash = combine32(combine32(fingerprint.high, fingerprint.low), id);
  return -weight / Math.log((hash + 0.5) / TWO_POW_32);
}

/** The back end ranked first; undefined for an empty list. Ties go to the lower id. */
export function firstChoice<T extends RankedBackend>(
  fingerprint: FlowFingerprint,
  backends: readonly T[],
): T | undefined {
  const flowHash = combine32(fingerprint.high, fingerprint.low);
  let best: T | undefined;
  let bestScore = -1;
  for (const backend of backends) {
    const uniform = (combine32(flowHash, backend.id) + 0.5) / TWO_POW_32;
    const score = -backend.weight / Math.log(uniform);
    if (score < bestScore) continue;
    if (score === bestScore && best && best.id < backend.id) continue;
    best = backend;
    bestScore = score;
  }
  return best;
}

/** The `count` back ends ranked highest, best first; fewer when the list is shorter. */
export function weightedRendezvous<T extends RankedBackend>(
  fingerprint: FlowFingerprint,
  backends: readonly T[],
  count: number,
): T[] {
  if (count === 1) {
    const best = firstChoice(fingerprint, backends);
    return best ? [best] : [];
  }
  const ranked = backends.map((backend) => ({
    backend,
    score: rendezvousScore(fingerprint, backend.id, backend.weight),
  }));
  ranked.sort((left, right) => right.score - left.score || left.backend.id - right.backend.id);
  return ranked.slice(0, count).map((entry) => entry.backend);
}
