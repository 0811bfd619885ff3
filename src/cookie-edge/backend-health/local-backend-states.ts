/**
 * Carries out and logs passive ejections. Owns the `LocalBackendState` of each back end that was met, and the newest
 * signs of life of two different back ends, because a back end is judged by whether others answer. Relies on forwarding
 * to report signs of life and failures.
 */
import { ALL_MECHANISMS_ON, type MechanismCheck } from '../../common/mechanisms.js';
import type { EventLog } from '../../observability/event.js';
import { COOKIE_FLOW_EVENTS } from '../forwarding/events.js';
import type { KnownBackend } from '../routing/index.js';
import { LocalBackendState } from './local-backend-state.js';

/** A sign of life and the back end that gave it. */
interface NewestSignOfLife {
  readonly state: LocalBackendState | undefined;
  readonly atMs: number;
}

const NO_SIGN_OF_LIFE: NewestSignOfLife = { state: undefined, atMs: Number.NEGATIVE_INFINITY };

/** The states of all back ends of one daemon. Times are monotonic ms. */
export class LocalBackendStates {
  private readonly states = new Map<KnownBackend, LocalBackendState>();
  /** Back ends without a sign of life since a failure. */
  private readonly failing = new Set<LocalBackendState>();
  /** The newest sign of life, and the newest one of another back end than that. */
  private newest = NO_SIGN_OF_LIFE;
  private newestOfOthersMs = Number.NEGATIVE_INFINITY;
  private ejectionCount = 0;

  /** @param onEject called with each back end that is ejected */
  constructor(
    private readonly events: EventLog,
    private readonly onEject: (state: LocalBackendState, nowMs: number) => void,
    private readonly isOn: MechanismCheck = ALL_MECHANISMS_ON,
  ) {}

  /** Ejections since start. */
  get ejections(): number {
    return this.ejectionCount;
  }

  of(backend: KnownBackend): LocalBackendState {
    let state = this.states.get(backend);
    if (!state) {
      state = new LocalBackendState(backend);
      this.states.set(backend, state);
    }
    return state;
  }

  /** Every back end that was met. */
  all(): IterableIterator<LocalBackendState> {
    return this.states.values();
  }

  /** Monotonic ms of the last sign of life of any other back end. */
  othersAliveMs(state: LocalBackendState): number {
    return this.newest.state === state ? this.newestOfOthersMs : this.newest.atMs;
  }

  /** False for the state of a forgotten back end, whose id may belong to another incarnation by now. */
  keeps(state: LocalBackendState): boolean {
    return this.states.get(state.backend) === state;
  }

  forget(backend: KnownBackend): void {
    const state = this.states.get(backend);
    if (state) this.failing.delete(state);
    this.states.delete(backend);
  }

  /** Records a sign of life; logs when that ends failures. */
  recordSignOfLife(state: LocalBackendState, nowMs: number): void {
    if (this.newest.state !== state) this.newestOfOthersMs = this.newest.atMs;
    this.newest = { state, atMs: nowMs };
    if (!state.recordSignOfLife(nowMs)) return;
    this.failing.delete(state);
    this.events.emit(COOKIE_FLOW_EVENTS.backendRevived, { backend: state.backend.id });
  }

  /**
   * Records a failure that began at `sinceMs`, and judges the back end. Does nothing while `passive-health` is switched
   * off.
   */
  recordFailure(state: LocalBackendState, sinceMs: number, nowMs: number): void {
    if (!this.isOn('passive-health') || !this.keeps(state)) return;
    state.recordFailure(nowMs, sinceMs);
    this.failing.add(state);
    this.judge(state, nowMs);
  }

  /** Judges again all back ends with failures, because others may have given signs of life since. */
  judgeFailing(nowMs: number): void {
    for (const state of this.failing) this.judge(state, nowMs);
  }

  /** Ejects, gossips and logs, in this order, where `PassiveEjection.judge` says so. */
  private judge(state: LocalBackendState, nowMs: number): void {
    if (!state.tryEject(nowMs, this.othersAliveMs(state))) return;
    this.ejectionCount += 1;
    this.onEject(state, nowMs);
    this.events.emit(COOKIE_FLOW_EVENTS.backendEjected, {
      backend: state.backend.id,
      service: state.backend.record.service,
      failures: state.failuresSinceSignOfLife,
      lastSignOfLifeMs: Number.isFinite(state.lastSignOfLifeMs)
        ? Math.round(nowMs - state.lastSignOfLifeMs)
        : undefined,
    });
  }
}
