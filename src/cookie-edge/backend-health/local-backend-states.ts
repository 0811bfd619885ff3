/**
 * Applies and logs passive ejections. Owns the `LocalBackendState` of each back end, and the newest signs of life of
 * two different back ends: a back end is ejected only if another one answers. Relies on forwarding to report signs of
 * life and failures.
 */
import { ALL_MECHANISMS_ON, type MechanismCheck } from '../../common/mechanisms.js';
import type { EventLog } from '../../observability/event.js';
import { COOKIE_FLOW_EVENTS } from '../forwarding/events.js';
import type { KnownBackend } from '../routing/index.js';
import { LocalBackendState } from './local-backend-state.js';

/** Time of a sign of life, and the back end that gave it. */
interface NewestSignOfLife {
  readonly state: LocalBackendState | undefined;
  readonly atMs: number;
}

const NO_SIGN_OF_LIFE: NewestSignOfLife = { state: undefined, atMs: Number.NEGATIVE_INFINITY };

/** The `LocalBackendState` of each back end of one daemon. Times are monotonic ms. */
export class LocalBackendStates {
  private readonly states = new Map<KnownBackend, LocalBackendState>();
  /** Back ends with failures since their last sign of life. */
  private readonly failing = new Set<LocalBackendState>();
  private newestSignOfLife = NO_SIGN_OF_LIFE;
  /** Newest sign of life of a back end other than that of `newestSignOfLife`. */
  private newestOfOtherBackendsMs = Number.NEGATIVE_INFINITY;
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

  /** The state of a back end; created on the first call. */
  stateOf(backend: KnownBackend): LocalBackendState {
    let state = this.states.get(backend);
    if (!state) {
      state = new LocalBackendState(backend);
      this.states.set(backend, state);
    }
    return state;
  }

  /** The states of all back ends that were passed to `of` and not removed since. */
  all(): IterableIterator<LocalBackendState> {
    return this.states.values();
  }

  /** Time of the last sign of life of any other back end; -Infinity if none. */
  othersLastSignOfLifeMs(state: LocalBackendState): number {
    return this.newestSignOfLife.state === state ? this.newestOfOtherBackendsMs : this.newestSignOfLife.atMs;
  }

  /** False for the state of a back end that was removed; its id may belong to another incarnation by now. */
  isCurrent(state: LocalBackendState): boolean {
    return this.states.get(state.backend) === state;
  }

  removeBackend(backend: KnownBackend): void {
    const state = this.states.get(backend);
    if (state) this.failing.delete(state);
    this.states.delete(backend);
  }

  /** Records a sign of life; logs it if it clears failures. */
  recordSignOfLife(state: LocalBackendState, nowMs: number): void {
    if (this.newestSignOfLife.state !== state) this.newestOfOtherBackendsMs = this.newestSignOfLife.atMs;
    this.newestSignOfLife = { state, atMs: nowMs };
    if (!state.recordSignOfLife(nowMs)) return;
    this.failing.delete(state);
    this.events.emit(COOKIE_FLOW_EVENTS.backendRevived, { backend: state.backend.id });
  }

  /**
   * Records a failure that began at `failureStartMs`, and ejects the back end if that is due. Does nothing while the
   * mechanism `passive-health` is off.
   */
  recordFailure(state: LocalBackendState, failureStartMs: number, nowMs: number): void {
    if (!this.isOn('passive-health') || !this.isCurrent(state)) return;
    state.recordFailure(nowMs, failureStartMs);
    this.failing.add(state);
    this.ejectIfDue(state, nowMs);
  }

  /** Evaluates all back ends with failures again, because others may have given signs of life since. */
  evaluateFailing(nowMs: number): void {
    for (const state of this.failing) this.ejectIfDue(state, nowMs);
  }

  /** Ejects the back end, gossips and logs the ejection, in this order, if `PassiveEjection.evaluate` decides so. */
  private ejectIfDue(state: LocalBackendState, nowMs: number): void {
    if (!state.tryEject(nowMs, this.othersLastSignOfLifeMs(state))) return;
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
