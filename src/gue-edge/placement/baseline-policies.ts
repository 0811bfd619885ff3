/** Baseline policies, which bounded load is compared with; each chooses among the same candidates. */
import { pick } from '../../common/random.js';
import { firstOnly } from './bounded-load-policy.js';
import { listCandidates, type Candidate } from './candidates.js';
import type { PlacementOptions } from './policy-options.js';
import type { PlacementDecision, PlacementMode, PlacementPolicy, PlacementRequest } from './types.js';
import { firstChoice } from './weighted-rendezvous.js';

/** Chooses one of the candidates; the list is not empty. */
type Selector = (
  request: PlacementRequest,
  candidates: readonly Candidate[],
  options: PlacementOptions,
) => Candidate;

interface Baseline {
  readonly select: Selector;
  /** False when the mode shares nothing between balancers, so an exception needs no replica. */
  readonly replicates: boolean;
}

type BaselineMode = Exclude<PlacementMode, 'bounded-load'>;

const BASELINES: Readonly<Record<BaselineMode, Baseline>> = {
  rendezvous: { select: selectByHash, replicates: false },
  'local-table': { select: selectLeastOwn, replicates: false },
  random: { select: (_request, candidates, options) => pick(candidates, options.random), replicates: true },
  'least-reported-load': { select: selectLeastReported, replicates: true },
};

/** A baseline by its mode. */
export class BaselinePolicy implements PlacementPolicy {
  constructor(
    readonly name: BaselineMode,
    private readonly options: PlacementOptions,
  ) {}

  choose(request: PlacementRequest): PlacementDecision {
    const baseline = BASELINES[this.name];
    const candidates = listCandidates(request, this.options.capacityShare?.() ?? 1);
    const first = firstChoice(request.fingerprint, request.baseBackends);
    if (baseline.replicates && !request.exceptionsAllowed) return firstOnly(candidates, first?.id);
    if (candidates.length === 0) return { outcome: 'refuse', reason: 'no-eligible-backend' };
    const chosen = baseline.select(request, candidates, this.options);
    return { outcome: 'place', backend: chosen.backend, firstChoice: chosen.id === first?.id };
  }
}

/** Weighted rendezvous over the eligible set as it is now; balancers that see different sets disagree. */
function selectByHash(request: PlacementRequest, candidates: readonly Candidate[]): Candidate {
  return firstChoice(request.fingerprint, candidates) ?? candidates[0]!;
}

function selectLeastOwn(
  _request: PlacementRequest,
  candidates: readonly Candidate[],
  options: PlacementOptions,
): Candidate {
  return selectLeast(candidates, options, (candidate) => candidate.ownFlows / candidate.weight);
}

/** Least load as the back ends report it, believed as it is; own count where nothing is reported. */
function selectLeastReported(
  _request: PlacementRequest,
  candidates: readonly Candidate[],
  options: PlacementOptions,
): Candidate {
  return selectLeast(
    candidates,
    options,
    ({ health, ownFlows, backend }) => health.reportedLoad ?? ownFlows / backend.maxConnections,
  );
}

/** The candidate of least cost; ties are broken at random. */
function selectLeast(
  candidates: readonly Candidate[],
  options: PlacementOptions,
  cost: (candidate: Candidate) => number,
): Candidate {
  const costs = candidates.map(cost);
  const least = Math.min(...costs);
  return pick(
    candidates.filter((_candidate, index) => costs[index] === least),
    options.random,
  );
}
