/** What this balancer has seen of each back end: its own open flows there, and signs of life in callers' packets. */
import { hashString } from '../../common/hash.js';
import { DecayingRate } from '../../common/decaying-rate.js';
import type { KnownBackend } from '../routing/index.js';
import {
  CLOSED_FLOW_COUNTS_MS,
  EJECT_AFTER_FAILURES,
  EJECT_MAX_MS,
  EJECT_MIN_MS,
  SHARED_SUSPECT_MS,
  SUSPECT_MS,
} from './constants.js';

/** Whether a back end should get new flows, as far as packets tell. */
export type Liveness = 'alive' | 'suspect' | 'trial' | 'ejected';

/**
 * Passive health of one back end. A caller that goes on with an opening, or acknowledges new data, proves that its back
 * end lives. Openings without an answer and repeated data speak against it, but only while other back ends prove to be
 * reachable: otherwise it is this balancer or its links that fail.
 */
export class BackendState {
  /** Flows of this balancer that are open there, openings in progress included. */
  openFlows = 0;
  /** Flows that were closed there a short while ago. */
  private readonly closedFlows = new DecayingRate(CLOSED_FLOW_COUNTS_MS);
  /** Openings among them that were not answered yet, and monotonic ms at which the first of them was placed. */
  pendingOpenings = 0;
  pendingSinceMs = 0;
  /** Monotonic ms of the last sign of life; -Infinity before the first. */
  lastSignOfLifeMs = Number.NEGATIVE_INFINITY;
  /** Failures since the last sign of life, and the time of the first and the last of them. */
  private failures = 0;
  private firstFailureMs = 0;
  private lastFailureMs = 0;
  /** The last failure that led to a judgement; only a later one leads to another. */
  private judgedFailureMs = Number.NEGATIVE_INFINITY;
  private ejectedUntilMs = 0;
  private ejectForMs = EJECT_MIN_MS;
  private trialMs = Number.NEGATIVE_INFINITY;
  private deadUntilMs = Number.NEGATIVE_INFINITY;
  /** Monotonic ms at which another balancer last ejected it. */
  private suspectedElsewhereMs = Number.NEGATIVE_INFINITY;

  /** Hash of the back end's id, for the order among equal loads. */
  readonly idHash: number;

  constructor(readonly backend: KnownBackend) {
    this.idHash = hashString(backend.id);
  }

  /** Notes that a caller closed a flow there. */
  noteClosed(nowMs: number): void {
    this.openFlows -= 1;
    this.closedFlows.count(nowMs);
  }

  /** Flows that are or were just open there; whole, so that balancers with like knowledge see equal loads as equal. */
  flowsAt(nowMs: number): number {
    return this.openFlows + Math.round(this.closedFlows.recentAt(nowMs));
  }

  /** Failures since the last sign of life. */
  get failuresInRow(): number {
    return this.failures;
  }

  /** Counts a sign of life; true when that ends an ejection or a suspicion. */
  noteSignOfLife(nowMs: number): boolean {
    this.lastSignOfLifeMs = nowMs;
    this.deadUntilMs = Number.NEGATIVE_INFINITY;
    if (this.failures === 0) return false;
    this.failures = 0;
    this.ejectedUntilMs = 0;
    this.ejectForMs = EJECT_MIN_MS;
    return true;
  }

  /** Counts a failure that began at `sinceMs`, unless a sign of life came after that. */
  noteFailure(nowMs: number, sinceMs: number): void {
    if (this.lastSignOfLifeMs >= sinceMs) return;
    if (this.failures === 0) this.firstFailureMs = sinceMs;
    this.failures += 1;
    this.lastFailureMs = nowMs;
  }

  /**
   * Ejects the back end when enough speaks against it; true when it was not ejected before.
   *
   * @param othersAliveMs monotonic ms of the last sign of life of any other back end
   */
  tryEject(nowMs: number, othersAliveMs: number): boolean {
    if (this.failures < EJECT_AFTER_FAILURES || othersAliveMs <= this.firstFailureMs) return false;
    if (this.lastFailureMs <= this.judgedFailureMs) return false;
    this.judgedFailureMs = this.lastFailureMs;
    if (nowMs < this.ejectedUntilMs) return false;
    this.ejectedUntilMs = nowMs + this.ejectForMs;
    this.ejectForMs = Math.min(EJECT_MAX_MS, this.ejectForMs * 2);
    this.trialMs = Number.NEGATIVE_INFINITY;
    return true;
  }

  /** Notes that it is proved dead, and for how long that holds unless it gives a sign of life. */
  noteDead(untilMs: number): void {
    this.deadUntilMs = untilMs;
  }

  /** True while it is proved dead. */
  isDead(nowMs: number): boolean {
    return nowMs < this.deadUntilMs;
  }

  /** Notes that another balancer ejected it at `atMs`; false when that is known or a sign of life came since. */
  noteSuspicion(atMs: number): boolean {
    if (this.lastSignOfLifeMs >= atMs || atMs - this.suspectedElsewhereMs < SUSPECT_MS) return false;
    this.suspectedElsewhereMs = atMs;
    return true;
  }

  liveness(nowMs: number): Liveness {
    if (this.isDead(nowMs)) return 'ejected';
    if (this.failures === 0) return this.isSuspectedElsewhere(nowMs) ? 'suspect' : 'alive';
    if (nowMs < this.ejectedUntilMs) return 'ejected';
    if (this.ejectedUntilMs > 0) return nowMs - this.trialMs < EJECT_MIN_MS ? 'ejected' : 'trial';
    return nowMs - this.lastFailureMs < SUSPECT_MS ? 'suspect' : 'alive';
  }

  private isSuspectedElsewhere(nowMs: number): boolean {
    return (
      this.lastSignOfLifeMs < this.suspectedElsewhereMs &&
      nowMs - this.suspectedElsewhereMs < SHARED_SUSPECT_MS
    );
  }

  /** True while an opening waits longer than openings do usually. */
  isSlowToAnswer(nowMs: number, usualMs: number): boolean {
    return this.pendingOpenings > 0 && nowMs - this.pendingSinceMs > usualMs;
  }

  /** Notes that an opening is tried at a back end that was ejected. */
  noteTrial(nowMs: number): void {
    this.trialMs = nowMs;
  }
}
