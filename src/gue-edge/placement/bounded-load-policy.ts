/**
 * The product's policy, bounded load over weighted rendezvous: lists the back ends that may be used, weighs them,
 * applies `bounded-load-rule.ts` and learns from the outcome.
 *
 * Owns the balance of each service. Relies on health for eligibility and reported loads, and on the flow keeper for the
 * count of open flows.
 */
import { chooseBoundedLoad } from './bounded-load-rule.js';
import { listCandidates, type Candidate } from './candidates.js';
import { EXCEPTION_ALARM_FACTOR, EXCEPTION_ALARM_LEAST_TARGET, TARGET_EXCEPTION_SHARE } from './constants.js';
import { PLACEMENT_EVENTS } from './events.js';
import type { PlacementOptions } from './policy-options.js';
import { ServiceBalance } from './service-balance.js';
import type { PlacementDecision, PlacementPolicy, PlacementRequest } from './types.js';
import { firstChoice } from './weighted-rendezvous.js';

const NO_BACKEND: PlacementDecision = { outcome: 'refuse', reason: 'no-eligible-backend' };

/** Takes the first choice of the shard's base unless it may not be used or holds clearly more flows than its share. */
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
    const { candidate: chosen } = chooseBoundedLoad({
      fingerprint: request.fingerprint,
      weighed: candidates,
      firstId: first?.id,
      zone: request.zone,
      zonePreference: request.service.zonePreference,
      biasFlows: balance.biasFlows,
      toleratedExcess: (candidate) => balance.toleratedExcess(candidate),
    });
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
