/**
 * Belief of this balancer about one back end, before the rules of its service (cap on ejections, panic) apply.
 *
 * Owns the state that `backend-belief-rules.ts` judges: ejections, conflict, slow start. Relies on its owner to call
 * `evaluate` when a vote or an opening changes something, and while `isMoving`. Open flows are never touched.
 */
import { jitter, type RandomSource } from '../../common/random.js';
import type { EffectiveBackend, HealthPolicy } from '../../settings/types.js';
import {
  answersHere,
  conflictWarmup,
  ejectionLengthMs,
  fadedShare,
  isFailing,
  isUsable,
  judgeCondition,
  judgeConflict,
  rememberedEjections,
  slowStartElapsedMs,
  slowStartShare,
} from './backend-belief-rules.js';
import { EJECTION_JITTER } from './constants.js';
import { PassiveTracker } from './passive-tracker.js';
import { commonVerdict, type ProbeState } from './probe-verdict-rule.js';
import type { BackendCondition } from './types.js';
import type { Vote } from './votes.js';

/** What an evaluation takes in. */
interface BeliefInput {
  /** Votes that count, see `countingVotes`. */
  readonly votes: readonly Vote[];
  /** Openings without an answer that other members saw. */
  readonly remoteFailures: number;
  readonly nowMs: number;
}

/** The belief about one back end; changed by `evaluate` only. */
export class BackendBelief {
  readonly passive = new PassiveTracker();
  condition: BackendCondition = 'unknown';
  /** May get new flows as far as this back end alone is concerned. */
  usable = true;
  warmup = 1;
  probeState: ProbeState = 'unknown';
  /** Monotonic ms until which it is ejected, and when that began. */
  ejectedUntilMs = -Infinity;
  ejectedSinceMs = -Infinity;
  conflictSinceMs: number | undefined;
  private ejections = 0;
  private warmStartedAtMs = -Infinity;

  constructor(
    public backend: EffectiveBackend,
    public policy: HealthPolicy,
    private readonly random: RandomSource,
  ) {}

  /** Begins slow start: for a back end that was just added. */
  beginSlowStart(nowMs: number): void {
    this.warmStartedAtMs = nowMs;
  }

  /** True while the belief changes with time alone. */
  isMoving(nowMs: number): boolean {
    const warming = this.warmup < 1;
    const failing = this.passive.isPending(nowMs);
    return warming || failing || this.conflictSinceMs !== undefined || this.condition === 'ejected';
  }

  /** Forms the belief anew. */
  evaluate(input: BeliefInput): void {
    const { nowMs } = input;
    const wasUsable = this.usable;
    const previousWarmup = this.warmup;
    this.probeState = commonVerdict(input.votes, this.probeState);
    this.updateEjection(input);
    const wasInConflict = this.conflictSinceMs !== undefined;
    this.updateConflict(nowMs);
    this.condition = judgeCondition({
      draining: this.backend.draining,
      probeState: this.probeState,
      ejected: nowMs < this.ejectedUntilMs,
    });
    this.usable = isUsable(this.condition, this.conflictSinceMs !== undefined);
    if (this.usable && !wasUsable) this.warmStartedAtMs = nowMs;
    else if (wasInConflict && this.condition === 'healthy') this.resumeWarmup(nowMs, previousWarmup);
    this.warmup = this.currentWarmup(nowMs, previousWarmup);
  }

  private updateEjection(input: BeliefInput): void {
    const { nowMs } = input;
    if (this.condition === 'ejected' && nowMs >= this.ejectedUntilMs) this.passive.reset();
    if (nowMs < this.ejectedUntilMs || !this.isFailing(input)) return;
    this.ejections = rememberedEjections(this.ejections, nowMs - this.ejectedUntilMs) + 1;
    const plannedMs = ejectionLengthMs(this.ejections);
    this.ejectedSinceMs = nowMs;
    this.ejectedUntilMs = nowMs + jitter(plannedMs, EJECTION_JITTER, this.random);
  }

  private isFailing({ nowMs, remoteFailures }: BeliefInput): boolean {
    return isFailing({
      ownFailures: this.passive.failures(nowMs),
      remoteFailures,
      answersHere: answersHere(this.passive.lastAnsweredAtMs, nowMs),
    });
  }

  private updateConflict(nowMs: number): void {
    const { probeState, usable } = this;
    const verdict = judgeConflict({
      probeState,
      answersHere: answersHere(this.passive.lastAnsweredAtMs, nowMs),
      usable,
    });
    if (verdict === 'none') this.conflictSinceMs = undefined;
    else if (verdict === 'conflict') this.conflictSinceMs ??= nowMs;
  }

  private currentWarmup(nowMs: number, previous: number): number {
    if (this.conflictSinceMs !== undefined) {
      const faded = fadedShare(nowMs - this.conflictSinceMs);
      if (faded <= 0) this.endConflict();
      return conflictWarmup(faded, previous);
    }
    return slowStartShare(nowMs - this.warmStartedAtMs, this.policy.slowStartMs);
  }

  /** Begins slow start at the share that new flows had faded to. */
  private resumeWarmup(nowMs: number, warmup: number): void {
    this.warmStartedAtMs = nowMs - slowStartElapsedMs(warmup, this.policy.slowStartMs);
  }

  private endConflict(): void {
    this.conflictSinceMs = undefined;
    this.usable = false;
  }
}
