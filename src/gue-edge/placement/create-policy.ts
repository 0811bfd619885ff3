/**
 * Creates a policy by its mode, counts its decisions and logs a service without an eligible back end. Decides
 * nothing itself.
 */
import { BaselinePolicy } from './baseline-policies.js';
import { BoundedLoadPolicy } from './bounded-load-policy.js';
import { UnknownPlacementModeError } from './errors.js';
import { PLACEMENT_EVENTS } from './events.js';
import type { PlacementOptions } from './policy-options.js';
import type { PlacementDecision, PlacementMode, PlacementPolicy, PlacementRequest } from './types.js';

/** Every placement mode. */
export const PLACEMENT_MODES: readonly PlacementMode[] = [
  'bounded-load',
  'rendezvous',
  'local-table',
  'random',
  'least-reported-load',
];

/** Totals of one policy since it was made. */
export interface PlacementStatistics {
  readonly mode: PlacementMode;
  readonly placed: number;
  readonly firstChoices: number;
  readonly exceptions: number;
  /** Exceptions over placements, 0–1; 0 before the first placement. */
  readonly exceptionShare: number;
  readonly refusedNoEligibleBackend: number;
}

/** A policy that counts its decisions. */
export interface CountingPolicy extends PlacementPolicy {
  statistics(): PlacementStatistics;
}

/** Makes the policy of `mode`. Throws `UnknownPlacementModeError` for a mode that is not in `PLACEMENT_MODES`. */
export function createPlacementPolicy(mode: PlacementMode, options: PlacementOptions): CountingPolicy {
  if (!PLACEMENT_MODES.includes(mode)) throw new UnknownPlacementModeError(mode, PLACEMENT_MODES);
  const policy = mode === 'bounded-load' ? new BoundedLoadPolicy(options) : new BaselinePolicy(mode, options);
  return new StatisticsPolicy(policy, options);
}

class StatisticsPolicy implements CountingPolicy {
  readonly name: PlacementMode;
  private firstChoices = 0;
  private exceptions = 0;
  private refused = 0;
  /** Services whose last opening was refused; an event is written only when this changes. */
  private readonly refusing = new Set<number>();

  constructor(
    private readonly policy: PlacementPolicy,
    private readonly options: PlacementOptions,
  ) {
    this.name = policy.name;
  }

  choose(request: PlacementRequest): PlacementDecision {
    const decision = this.policy.choose(request);
    this.count(decision);
    this.report(request, decision);
    return decision;
  }

  statistics(): PlacementStatistics {
    const placed = this.firstChoices + this.exceptions;
    return {
      mode: this.name,
      placed,
      firstChoices: this.firstChoices,
      exceptions: this.exceptions,
      exceptionShare: placed === 0 ? 0 : this.exceptions / placed,
      refusedNoEligibleBackend: this.refused,
    };
  }

  private count(decision: PlacementDecision): void {
    if (decision.outcome === 'refuse') this.refused += 1;
    else if (decision.firstChoice) this.firstChoices += 1;
    else this.exceptions += 1;
  }

  private report(request: PlacementRequest, decision: PlacementDecision): void {
    // A refusal of a retry or while exceptions wait says nothing about the service as a whole.
    if (!request.exceptionsAllowed || request.exclude?.size) return;
    const { id, name } = request.service;
    if (decision.outcome === 'refuse' && !this.refusing.has(id)) {
      this.refusing.add(id);
      this.options.events?.emit(PLACEMENT_EVENTS.noEligibleBackend, { service: name });
    } else if (decision.outcome === 'place' && this.refusing.delete(id)) {
      this.options.events?.emit(PLACEMENT_EVENTS.backendAvailableAgain, { service: name });
    }
  }
}
