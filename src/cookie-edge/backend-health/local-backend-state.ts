/**
 * What this daemon itself observed of one back end: its own flows there, failures and the last sign of life, and from
 * these whether new flows should go there. A sign of life is a caller that continues an opening or acknowledges new
 * data. Owns the observations of one back end; relies on forwarding to report them. The rules stand in
 * `passive-ejection.ts`, `ejection-report.ts`, `dead-verdict.ts`, `address-reuse.ts` and `slow-handshake.ts`; this
 * class only orders them.
 */
import { hashString } from '../../common/hash.js';
import type { KnownBackend } from '../routing/index.js';
import type { AddressStanding } from './address-reuse.js';
import { DeadVerdict, type DeathFinding, type VerdictReason } from './dead-verdict.js';
import { EjectionReport } from './ejection-report.js';
import { OwnFlows } from './own-flows.js';
import { PassiveEjection } from './passive-ejection.js';
import { hasSlowHandshake } from './slow-handshake.js';

/** Whether a back end should get new flows, judged by packets alone. `trial`: ejected, and due for a trial opening. */
export type Liveness = 'alive' | 'suspect' | 'trial' | 'ejected';

/** Passive health and load of one back end. Times are monotonic ms. */
export class LocalBackendState {
  /** Pending openings, and when the one was placed that began the present unbroken series of them. */
  pendingOpenings = 0;
  pendingSinceMs = 0;
  /** -Infinity before the first sign of life. */
  lastSignOfLifeMs = Number.NEGATIVE_INFINITY;
  /** Hash of the back end's id, for the order among equal loads. */
  readonly idHash: number;
  private readonly flows = new OwnFlows();
  private readonly ejection = new PassiveEjection();
  private readonly report = new EjectionReport();
  private readonly verdict = new DeadVerdict();
  private addressStanding: AddressStanding = 'undisputed';
  /** When `addressStanding` last changed. */
  private standingSinceMs = 0;

  constructor(readonly backend: KnownBackend) {
    this.idHash = hashString(backend.id);
  }

  /** Flows of this daemon that are open there, openings in progress included. */
  get openFlows(): number {
    return this.flows.open;
  }

  set openFlows(count: number) {
    this.flows.open = count;
  }

  /** Counts a flow that its caller closed. */
  recordClosed(nowMs: number): void {
    this.flows.recordClosed(nowMs);
  }

  /** Flows that are or were recently open there, as a whole number. */
  flowsAt(nowMs: number): number {
    return this.flows.countAt(nowMs);
  }

  /** Unanswered openings and retransmitted data since the last sign of life. */
  get failuresSinceSignOfLife(): number {
    return this.ejection.failures;
  }

  /** Records a sign of life; returns true when that ends failures, and so perhaps an ejection. */
  recordSignOfLife(nowMs: number): boolean {
    this.lastSignOfLifeMs = nowMs;
    this.verdict.end();
    if (this.addressStanding === 'superseded') this.recordStanding('disputed', nowMs);
    return this.ejection.recordSignOfLife();
  }

  /** Records a failure that began at `sinceMs`, unless a sign of life came after that. */
  recordFailure(nowMs: number, sinceMs: number): void {
    if (this.lastSignOfLifeMs < sinceMs) this.ejection.recordFailure(nowMs, sinceMs);
  }

  /**
   * Ejects the back end where `PassiveEjection.judge` says so; returns true when that begins an ejection.
   *
   * @param othersAliveMs time of the last sign of life of any other back end; -Infinity without any
   */
  tryEject(nowMs: number, othersAliveMs: number): boolean {
    return this.ejection.judge(nowMs, othersAliveMs) === 'eject';
  }

  /** Records a dead verdict that ends at `untilMs`. */
  recordDeadVerdict(proof: DeathFinding, nowMs: number, untilMs: number): void {
    this.verdict.hold({ proof, sinceMs: nowMs }, untilMs);
  }

  /** Moves the end of the dead verdict to `untilMs`. */
  renewDeadVerdict(untilMs: number): void {
    this.verdict.renew(untilMs);
  }

  /** Ends the dead verdict. */
  endDeadVerdict(): void {
    this.verdict.end();
  }

  /** What the other back ends at its address mean for it. */
  get standing(): AddressStanding {
    return this.addressStanding;
  }

  /** Records a change of its standing. */
  recordStanding(standing: AddressStanding, nowMs: number): void {
    this.addressStanding = standing;
    this.standingSinceMs = nowMs;
  }

  /** Why and since when it is held dead; what the last verdict said while none is in force. */
  get deadReason(): VerdictReason | undefined {
    if (this.addressStanding !== 'superseded') return this.verdict.reason;
    return { proof: 'superseded', sinceMs: this.standingSinceMs };
  }

  /** True while a dead verdict is in force, or after it was superseded at its address. */
  isDead(nowMs: number): boolean {
    return this.addressStanding === 'superseded' || this.verdict.isInForce(nowMs);
  }

  /** Records an ejection by another daemon at `atMs`; returns false for a report that must not be gossiped further. */
  applyEjectionReport(atMs: number): boolean {
    return this.report.apply(atMs, this.lastSignOfLifeMs) === 'new';
  }

  /**
   * Tests a dead verdict first because it is proved, then this daemon's own failures. Another daemon's report counts
   * only where this daemon has seen no failure itself.
   */
  liveness(nowMs: number): Liveness {
    if (this.isDead(nowMs)) return 'ejected';
    const phase = this.ejection.phaseAt(nowMs);
    if (phase === 'forgiven') return 'alive';
    if (phase !== 'no-failure') return phase;
    return this.report.makesSuspect(nowMs, this.lastSignOfLifeMs) ? 'suspect' : 'alive';
  }

  /** True while a handshake there takes longer than `slowHandshakeMs`. */
  hasSlowHandshake(nowMs: number, slowHandshakeMs: number): boolean {
    return hasSlowHandshake(this.pendingOpenings, this.pendingSinceMs, nowMs, slowHandshakeMs);
  }

  /** Records that a trial opening is placed there. */
  recordTrial(nowMs: number): void {
    this.ejection.recordTrial(nowMs);
  }
}
