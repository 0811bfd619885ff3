/**
 * Probes back ends that may be dead, applies the verdicts that `dead-verdict.ts` decides, and has the open flows at
 * dead back ends reset. Owns the probes in progress and the renewal of verdicts. Relies on `LocalBackendStates` for
 * signs of life.
 */
import type { MechanismCheck } from '../../common/mechanisms.js';
import { pause } from '../../common/pause.js';
import { COOKIE_FLOW_EVENTS } from '../forwarding/events.js';
import type { KnownBackend } from '../routing/index.js';
import { BackendProber, type BackendProberOptions, type ProbeFinding } from './backend-prober.js';
import { DEAD_RECHECK_DELAY_MS, DEAD_VERDICT_TTL_MS, MAX_PROBE_PAIRS } from './constants.js';
import {
  decideProbe,
  concludeProbes,
  decideRecheck,
  haveOthersAnsweredSince,
  isSecondZoneDeath,
  type DeathFinding,
  type ZoneDeath,
} from './dead-verdict.js';
import type { FlowResetter } from './flow-resetter.js';
import type { LocalBackendState } from './local-backend-state.js';
import type { LocalBackendStates } from './local-backend-states.js';

/** Dependencies of `DeadBackends`. */
interface DeadBackendsOptions extends BackendProberOptions {
  readonly isOn: MechanismCheck;
  readonly states: LocalBackendStates;
  readonly resetter: FlowResetter;
  /** Called with each back end that is or may be dead, to gossip it, so that daemons with flows there probe it too. */
  readonly onSuspect: (backendId: string, nowMs: number) => void;
}

/** Detects dead back ends for one daemon. Times are monotonic ms. */
export class DeadBackends {
  /** Back ends with probes in progress. */
  private readonly probing = new Set<LocalBackendState>();
  /** When a back end last answered a probe. */
  private readonly lastAnswerAtMs = new Map<LocalBackendState, number>();
  /** The last death that probes found in each zone. */
  private readonly lastDeathByZone = new Map<string, ZoneDeath<LocalBackendState>>();
  /** Back ends for which `renewVerdict` runs. */
  private readonly renewing = new Set<LocalBackendState>();
  private readonly prober: BackendProber;

  constructor(private readonly options: DeadBackendsOptions) {
    this.prober = new BackendProber(options);
  }

  /** Probes sent since start. */
  get probesSent(): number {
    return this.prober.probesSent;
  }

  /** Probes a back end that may be dead, if `decideProbe` allows it. */
  probeIfNeeded(state: LocalBackendState): void {
    if (!this.options.isOn('dead-back-ends')) return;
    const nowMs = this.options.clock.now();
    const decision = decideProbe({
      nowMs,
      openFlows: state.openFlows,
      isDead: state.isDead(nowMs),
      isProbing: this.probing.has(state),
      backendsProbed: this.probing.size,
      lastAnswerAtMs: this.lastAnswerAtMs.get(state) ?? Number.NEGATIVE_INFINITY,
    });
    if (decision !== 'probe') return;
    this.probing.add(state);
    void this.probeUntilDecided(state).finally(() => this.probing.delete(state));
  }

  /** Discards what probes found about a back end. */
  removeBackend(backend: KnownBackend): void {
    this.lastAnswerAtMs.delete(this.options.states.stateOf(backend));
  }

  /**
   * Probes until the back end answers, gives another sign of life or is declared dead; gives up after
   * `MAX_PROBE_PAIRS`.
   */
  private async probeUntilDecided(state: LocalBackendState): Promise<void> {
    const { clock } = this.options;
    const probesStartedMs = clock.now();
    for (let count = 0; count < MAX_PROBE_PAIRS; count += 1) {
      const finding = await this.probeTwice(state);
      if (!this.options.states.isCurrent(state)) return;
      const conclusion = concludeProbes(finding, {
        startedMs: probesStartedMs,
        lastSignOfLifeMs: state.lastSignOfLifeMs,
        othersLastSignOfLifeMs: this.options.states.othersLastSignOfLifeMs(state),
      });
      if (conclusion === 'answered') this.lastAnswerAtMs.set(state, clock.now());
      else if (conclusion === 'refused' || conclusion === 'silent') this.declareDead(state, conclusion);
      if (conclusion !== 'unproved') return;
    }
  }

  private probeTwice(state: LocalBackendState): Promise<ProbeFinding> {
    const probesStartedMs = this.options.clock.now();
    return this.prober.probeTwice(state.backend, () => this.gossipUnansweredProbe(state, probesStartedMs));
  }

  /**
   * Gossips a back end that has not answered its first probe, so that other daemons with flows there probe it without
   * waiting for failures of their own. Does nothing while no other back end answers either, because this daemon itself
   * may be cut off, or while this process may have been paused.
   */
  private gossipUnansweredProbe(state: LocalBackendState, probesStartedMs: number): void {
    const nowMs = this.options.clock.now();
    const othersLastSignOfLifeMs = this.options.states.othersLastSignOfLifeMs(state);
    if (
      !haveOthersAnsweredSince(probesStartedMs, othersLastSignOfLifeMs) ||
      this.options.pauses.mayHaveWaited(nowMs)
    )
      return;
    this.gossipEjection(state, nowMs);
  }

  /** Gossips that a back end is or may be dead, unless this or another daemon has just reported it. */
  private gossipEjection(state: LocalBackendState, nowMs: number): void {
    if (state.applyEjectionReport(nowMs)) this.options.onSuspect(state.backend.id, nowMs);
  }

  /**
   * Probes a dead back end repeatedly, and renews and gossips its verdict while the probes confirm it, so that no
   * caller's flow serves as a trial. Stops when the back end answers a probe or when the verdict lapses.
   */
  private async renewVerdict(state: LocalBackendState): Promise<void> {
    const { clock } = this.options;
    for (;;) {
      await pause(clock, DEAD_RECHECK_DELAY_MS);
      if (!this.canRenew(state)) return;
      const probesStartedMs = clock.now();
      const finding = await this.probeTwice(state);
      if (!this.canRenew(state)) return;
      const decision = decideRecheck(
        finding,
        probesStartedMs,
        this.options.states.othersLastSignOfLifeMs(state),
      );
      if (decision === 'revive') return this.endVerdict(state);
      if (decision === 'lapse') return;
      state.renewDeadVerdict(clock.now() + DEAD_VERDICT_TTL_MS);
      this.gossipEjection(state, clock.now());
    }
  }

  /**
   * False for a departed back end and for one whose verdict has ended. Also false if another back end probably listens
   * at the same address, because its answers to probes would revive the dead one.
   */
  private canRenew(state: LocalBackendState): boolean {
    const isUndisputed = state.addressStatus === 'undisputed';
    return isUndisputed && !state.backend.departed && state.isDead(this.options.clock.now());
  }

  private endVerdict(state: LocalBackendState): void {
    state.endDeadVerdict();
    this.logRevived(state);
  }

  private logRevived({ backend }: LocalBackendState): void {
    this.options.events.emit(COOKIE_FLOW_EVENTS.backendRevived, { backend: backend.id });
  }

  /** Declares a back end dead, and probes the rest of its zone if `isSecondZoneDeath` holds. */
  private declareDead(state: LocalBackendState, proof: DeathFinding): void {
    const nowMs = this.options.clock.now();
    state.recordDeadVerdict(proof, nowMs, nowMs + DEAD_VERDICT_TTL_MS);
    this.options.resetter.reset(state, proof);
    this.gossipEjection(state, nowMs);
    if (!this.renewing.has(state)) {
      this.renewing.add(state);
      void this.renewVerdict(state).finally(() => this.renewing.delete(state));
    }
    const { zone } = state.backend.record;
    const previousDeath = this.lastDeathByZone.get(zone);
    const death = { state, atMs: nowMs };
    this.lastDeathByZone.set(zone, death);
    if (!isSecondZoneDeath(previousDeath, death)) return;
    for (const neighbour of this.options.states.all()) {
      if (neighbour.backend.record.zone === zone) this.probeIfNeeded(neighbour);
    }
  }
}
