/**
 * Belief of this balancer about one back end, before the rules of its service (cap on ejections, panic) apply.
 *
 * Rule for conflicting evidence: probes decide, unless openings contradict them. Probes good but openings unanswered: ejected.
 * Probes bad but openings answered: new flows fade over `CONFLICT_FADE_MS`, then stop. Open flows are never touched.
 */
import { jitter, type RandomSource } from '../../common/random.js';
import type { EffectiveBackend, HealthPolicy } from '../../settings/types.js';
import {
  BASE_EJECTION_MS,
  CONFLICT_FADE_MS,
  CONFLICT_FRESH_MS,
  EJECTION_FORGET_MS,
  EJECTION_JITTER,
  INITIAL_WARMUP,
  MAX_EJECTION_MS,
  PASSIVE_FAILURE_THRESHOLD,
} from './constants.js';
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
    this.condition = this.currentCondition(nowMs);
    this.usable = this.isUsable();
    if (this.usable && !wasUsable) this.warmStartedAtMs = nowMs;
    else if (wasInConflict && this.condition === 'healthy') this.resumeWarmup(nowMs, previousWarmup);
    this.warmup = this.currentWarmup(nowMs, previousWarmup);
  }

  private updateEjection(input: BeliefInput): void {
    const { nowMs } = input;
    if (this.condition === 'ejected' && nowMs >= this.ejectedUntilMs) this.passive.reset();
    if (nowMs < this.ejectedUntilMs || !this.isFailing(input)) return;
    this.forgetOldEjections(nowMs);
    this.ejections += 1;
    const plannedMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** (this.ejections - 1));
    this.ejectedSinceMs = nowMs;
    this.ejectedUntilMs = nowMs + jitter(plannedMs, EJECTION_JITTER, this.random);
  }

  private isFailing(input: BeliefInput): boolean {
    const own = this.passive.failures(input.nowMs);
    if (own >= PASSIVE_FAILURE_THRESHOLD) return true;
    const answersHere = input.nowMs - this.passive.lastAnsweredAtMs <= CONFLICT_FRESH_MS;
    return !answersHere && own + input.remoteFailures >= PASSIVE_FAILURE_THRESHOLD;
  }

  private forgetOldEjections(nowMs: number): void {
    const quietMs = nowMs - this.ejectedUntilMs;
    if (quietMs > 0) this.ejections = Math.max(0, this.ejections - Math.floor(quietMs / EJECTION_FORGET_MS));
  }

  private updateConflict(nowMs: number): void {
    const answers = nowMs - this.passive.lastAnsweredAtMs <= CONFLICT_FRESH_MS;
    if (this.probeState !== 'unhealthy' || !answers) this.conflictSinceMs = undefined;
    else if (this.usable) this.conflictSinceMs ??= nowMs;
  }

  private currentCondition(nowMs: number): BackendCondition {
    if (this.backend.draining) return 'draining';
    if (this.probeState === 'unhealthy') return 'unhealthy';
    if (nowMs < this.ejectedUntilMs) return 'ejected';
    return this.probeState;
  }

  private isUsable(): boolean {
    if (this.condition === 'healthy' || this.condition === 'unknown') return true;
    return this.condition === 'unhealthy' && this.conflictSinceMs !== undefined;
  }

  private currentWarmup(nowMs: number, previous: number): number {
    if (this.conflictSinceMs !== undefined) {
      const faded = 1 - (nowMs - this.conflictSinceMs) / CONFLICT_FADE_MS;
      if (faded <= 0) this.endConflict();
      return Math.min(previous, Math.max(INITIAL_WARMUP, faded));
    }
    const { slowStartMs } = this.policy;
    if (slowStartMs <= 0) return 1;
    const elapsedShare = (nowMs - this.warmStartedAtMs) / slowStartMs;
    return Math.min(1, Math.max(INITIAL_WARMUP, INITIAL_WARMUP + (1 - INITIAL_WARMUP) * elapsedShare));
  }

  /** Begins slow start at the share that new flows had faded to. */
  private resumeWarmup(nowMs: number, warmup: number): void {
    const doneShare = (warmup - INITIAL_WARMUP) / (1 - INITIAL_WARMUP);
    this.warmStartedAtMs = nowMs - doneShare * this.policy.slowStartMs;
  }

  private endConflict(): void {
    this.conflictSinceMs = undefined;
    this.usable = false;
  }
}
