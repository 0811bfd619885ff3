/**
 * The product's policy. The first choice of the shard's base set is taken unless it may not be used or holds clearly more
 * flows than its share; then the least loaded of a few candidates is taken, as an exception.
 */
import { listCandidates, type Candidate } from './candidates.js';
import {
  EXCEPTION_ALARM_FACTOR,
  EXCEPTION_ALARM_LEAST_TARGET,
  EXCEPTION_CANDIDATES,
  TARGET_EXCEPTION_SHARE,
} from './constants.js';
import { PLACEMENT_EVENTS } from './events.js';
import type { PlacementOptions } from './policy-options.js';
import { ServiceBalance } from './service-balance.js';
import type { PlacementDecision, PlacementPolicy, PlacementRequest } from './types.js';
import { firstChoice, weightedRendezvous } from './weighted-rendezvous.js';

const NO_BACKEND: PlacementDecision = { outcome: 'refuse', reason: 'no-eligible-backend' };

/** Bounded load over weighted rendezvous; see docs/DESIGN.md. */
export class BoundedLoadPolicy implements PlacementPolicy {
  readonly name = 'bounded-load';
  private readonly balances = new Map<number, ServiceBalance>();
  /** Services whose share of exceptions is reported as too large. */
  private readonly overTarget = new Set<number>();

  constructor(private readonly options: PlacementOptions) {}

  choose(request: PlacementRequest): PlacementDecision {
    const candidates = listCandidates(request, this.options.capacityShare?.() ?? 1);
    const first = firstChoice(request.fingerprint, request.baseBackends);
    if (!request.exceptionsAllowed) return firstOnly(candidates, first?.id);
    if (candidates.length === 0) return NO_BACKEND;
    const balance = this.balance(request.service.id);
    balance.weigh(candidates, this.options.clock.now());
    const chosen = chooseWeighed(request, balance, candidates, first?.id);
    const isFirst = chosen.id === first?.id;
    const target = this.options.targetExceptionShare?.() ?? TARGET_EXCEPTION_SHARE;
    balance.record(!isFirst, target);
    this.watchExceptions(request, balance.exceptionShare, target);
    return { outcome: 'place', backend: chosen.backend, firstChoice: isFirst };
  }

  /** Writes an event once when a service needs clearly more exceptions than planned. */
  private watchExceptions(request: PlacementRequest, share: number, target: number): void {
    const { id, name } = request.service;
    const planned = Math.max(target, EXCEPTION_ALARM_LEAST_TARGET);
    if (share <= planned) this.overTarget.delete(id);
    if (share <= planned * EXCEPTION_ALARM_FACTOR || this.overTarget.has(id)) return;
    this.overTarget.add(id);
    this.options.events?.emit(PLACEMENT_EVENTS.exceptionsOverTarget, { service: name, share, target });
  }

  /** Balance of a service by its id, for status and tests. */
  balance(serviceId: number): ServiceBalance {
    let balance = this.balances.get(serviceId);
    if (!balance) {
      balance = new ServiceBalance();
      this.balances.set(serviceId, balance);
    }
    return balance;
  }
}

/** Places on the first choice or refuses: used while an exception could not be replicated. */
export function firstOnly(candidates: readonly Candidate[], firstId: number | undefined): PlacementDecision {
  const candidate = candidates.find((entry) => entry.id === firstId);
  if (!candidate) return NO_BACKEND;
  return { outcome: 'place', backend: candidate.backend, firstChoice: true };
}

function chooseWeighed(
  request: PlacementRequest,
  balance: ServiceBalance,
  weighed: readonly Candidate[],
  firstId: number | undefined,
): Candidate {
  const first = weighed.find((entry) => entry.id === firstId);
  const others = weighed.filter((entry) => entry !== first);
  const alternative = leastLoaded(request, balance, others);
  if (!first) return alternative ?? weighed[0]!;
  if (!alternative) return first;
  const tolerated = toleratedExcess(request, balance, first, alternative);
  if (first.excess < tolerated) return first;
  return alternative.excess < first.excess - 1 ? alternative : first;
}

/**
 * A candidate of the balancer's own zone may take the opening a little earlier; only one below its share, from a first choice
 * above its share, so that the preference never worsens the balance.
 */
function toleratedExcess(
  request: PlacementRequest,
  balance: ServiceBalance,
  first: Candidate,
  alternative: Candidate,
): number {
  const tolerated = balance.toleratedExcess(first);
  const leavesZone = first.backend.zone !== request.zone && alternative.backend.zone === request.zone;
  if (!leavesZone || alternative.excess >= 0) return tolerated;
  return Math.max(0.5, tolerated * (1 - request.service.zonePreference));
}

/**
 * The least loaded of a few candidates that the flow's hash picks: balancers that learn of one idle back end at the same
 * time send it only the openings whose hash picks it, not all of them.
 */
function leastLoaded(
  request: PlacementRequest,
  balance: ServiceBalance,
  others: readonly Candidate[],
): Candidate | undefined {
  const picked = weightedRendezvous(request.fingerprint, others, EXCEPTION_CANDIDATES);
  const preference = request.service.zonePreference * balance.biasFlows;
  let best: Candidate | undefined;
  let bestCost = Infinity;
  for (const candidate of picked) {
    const sameZone = candidate.backend.zone === request.zone;
    const cost = candidate.excess - (sameZone && candidate.excess < 0 ? preference : 0);
    if (cost >= bestCost) continue;
    best = candidate;
    bestCost = cost;
  }
  return best;
}
