/**
 * Tracks what this daemon itself observes of one back end: its own flows there, failures and the last sign of life.
 * Derives from these whether the back end should get new flows. A sign of life is a caller's packet that continues an
 * opening or acknowledges new data. Owns the observations of one back end; relies on forwarding to report them. The
 * rules are in `passive-ejection.ts`, `ejection-report.ts`, `dead-verdict.ts`, `address-reuse.ts` and
 * `slow-handshake.ts`; this class only sets their precedence.
 */
import { hashString } from '../../common/hash.js';
import type { KnownBackend } from '../routing/index.js';
import type { AddressStatus } from './address-reuse.js';
import { DeadVerdict, type DeathFinding, type VerdictReason } from './dead-verdict.js';
import { EjectionReport } from './ejection-report.js';
import { OwnFlows } from './own-flows.js';
import { PassiveEjection } from './passive-ejection.js';
import { hasSlowHandshake } from './slow-handshake.js';

/** Whether a back end should get new flows, by its health alone. `trial`: ejected, but due for a trial opening. */
export type Liveness = 'alive' | 'suspect' | 'trial' | 'ejected';

/** Passive health and load of one back end. Times are monotonic ms. */
export class LocalBackendState {
  pendingOpenings = 0;
  /** Since when there has been at least one pending opening without a break. */
  pendingSinceMs = 0;
  /** -Infinity before the first sign of life. */
  lastSignOfLifeMs = Number.NEGATIVE_INFINITY;
  /** Hash of the back end's id; orders back ends with equal loads. */
  readonly idHash: number;
  private readonly ownFlows = new OwnFlows();
  private readonly ejection = new PassiveEjection();
  private readonly ejectionReport = new EjectionReport();
  private readonly deadVerdict = new DeadVerdict();
  private currentAddressStatus: AddressStatus = 'undisputed';
  /** When `currentAddressStatus` last changed. */
  private addressStatusSinceMs = 0;

  constructor(readonly backend: KnownBackend) {
    this.idHash = hashString(backend.id);
  }

  /** Open flows of this daemon at this back end, including openings in progress. */
  get openFlows(): number {
    return this.ownFlows.open;
  }

  set openFlows(count: number) {
    this.ownFlows.open = count;
  }

  /** Moves a flow that its caller closed from the open to the recently closed ones. */
  recordClosed(nowMs: number): void {
    this.ownFlows.recordClosed(nowMs);
  }

  /** Number of open and recently closed flows, rounded. */
  recentFlowsAt(nowMs: number): number {
    return this.ownFlows.recentCountAt(nowMs);
  }

  /** Unanswered openings and retransmitted data since the last sign of life. */
  get failuresSinceSignOfLife(): number {
    return this.ejection.failures;
  }

  /** Records a sign of life; returns true when it cleared failures, and with them any ejection. */
  recordSignOfLife(nowMs: number): boolean {
    this.lastSignOfLifeMs = nowMs;
    this.deadVerdict.end();
    if (this.currentAddressStatus === 'superseded') this.recordAddressStatus('disputed', nowMs);
    return this.ejection.recordSignOfLife();
  }

  /** Records a failure that began at `failureStartMs`, unless a sign of life came at that time or later. */
  recordFailure(nowMs: number, failureStartMs: number): void {
    if (this.lastSignOfLifeMs < failureStartMs) this.ejection.recordFailure(nowMs, failureStartMs);
  }

  /**
   * Ejects the back end if `PassiveEjection.evaluate` decides so; returns true when an ejection starts.
   *
   * @param othersLastSignOfLifeMs time of the last sign of life of any other back end; -Infinity without any
   */
  tryEject(nowMs: number, othersLastSignOfLifeMs: number): boolean {
    return this.ejection.evaluate(nowMs, othersLastSignOfLifeMs) === 'eject';
  }

  /** Starts a dead verdict that expires at `untilMs`. */
  recordDeadVerdict(proof: DeathFinding, nowMs: number, untilMs: number): void {
    this.deadVerdict.begin({ proof, sinceMs: nowMs }, untilMs);
  }

  /** Extends the dead verdict to `untilMs`. */
  renewDeadVerdict(untilMs: number): void {
    this.deadVerdict.renew(untilMs);
  }

  /** Ends the dead verdict at once. */
  endDeadVerdict(): void {
    this.deadVerdict.end();
  }

  /** Whether another back end probably listens at its address. */
  get addressStatus(): AddressStatus {
    return this.currentAddressStatus;
  }

  recordAddressStatus(status: AddressStatus, nowMs: number): void {
    this.currentAddressStatus = status;
    this.addressStatusSinceMs = nowMs;
  }

  /** Why and since when it is considered dead; the reason of the last verdict if none is in force. */
  get deadReason(): VerdictReason | undefined {
    if (this.currentAddressStatus !== 'superseded') return this.deadVerdict.reason;
    return { proof: 'superseded', sinceMs: this.addressStatusSinceMs };
  }

  /** True while a dead verdict is in force or the back end is superseded at its address. */
  isDead(nowMs: number): boolean {
    return this.currentAddressStatus === 'superseded' || this.deadVerdict.isInForce(nowMs);
  }

  /** Records an ejection by any daemon at `atMs`; returns true if the report is new and should be gossiped. */
  applyEjectionReport(atMs: number): boolean {
    return this.ejectionReport.apply(atMs, this.lastSignOfLifeMs) === 'new';
  }

  /**
   * Tests for a dead verdict first because it rests on a proof, then for failures that this daemon observed. Another
   * daemon's report counts only if this daemon has observed no failure since the last sign of life.
   */
  liveness(nowMs: number): Liveness {
    if (this.isDead(nowMs)) return 'ejected';
    const phase = this.ejection.phaseAt(nowMs);
    if (phase === 'failures-expired') return 'alive';
    if (phase !== 'no-failure') return phase;
    return this.ejectionReport.makesSuspect(nowMs, this.lastSignOfLifeMs) ? 'suspect' : 'alive';
  }

  /** True while openings have been pending here without a break for more than `slowHandshakeMs`. */
  hasSlowHandshake(nowMs: number, slowHandshakeMs: number): boolean {
    return hasSlowHandshake(this.pendingOpenings, this.pendingSinceMs, nowMs, slowHandshakeMs);
  }

  /** Records that a trial opening is placed at this back end. */
  recordTrial(nowMs: number): void {
    this.ejection.recordTrial(nowMs);
  }
}
