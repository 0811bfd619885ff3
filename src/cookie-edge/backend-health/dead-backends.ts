/**
 * Probes back ends in doubt, carries out the dead verdicts that `dead-verdict.ts` decides, and has the flows reset that
 * are open there. Owns the probes under way and the verdicts that are renewed. Relies on `LocalBackendStates` for signs
 * of life.
 */
import type { MechanismCheck } from '../../common/mechanisms.js';
import { pause } from '../../common/pause.js';
import type { EventLog } from '../../observability/event.js';
import { COOKIE_FLOW_EVENTS } from '../forwarding/events.js';
import type { KnownBackend } from '../routing/index.js';
import { BackendProber, type BackendProberOptions, type ProbeFinding } from './backend-prober.js';
import { DEAD_RECHECK_MS, DEAD_VERDICT_MS, MAX_PROBE_PAIRS } from './constants.js';
import {
  decideProbe,
  judgeProbes,
  judgeRecheck,
  othersAnswerSince,
  putsZoneInDoubt,
  type DeathFinding,
  type ZoneDeath,
} from './dead-verdict.js';
import type { FlowResetter } from './flow-resetter.js';
import type { LocalBackendState } from './local-backend-state.js';
import type { LocalBackendStates } from './local-backend-states.js';

/** What probing and verdicts act on. */
interface DeadBackendsOptions extends BackendProberOptions {
  readonly isOn: MechanismCheck;
  readonly states: LocalBackendStates;
  readonly resetter: FlowResetter;
  readonly events: EventLog;
  /** Called with each back end that is or may be dead, to gossip it: other daemons with flows there probe it too. */
  readonly onDoubt: (backendId: string, nowMs: number) => void;
}

/** The dead back ends of one daemon. Times are monotonic ms. */
export class DeadBackends {
  /** Back ends that are being probed. */
  private readonly probing = new Set<LocalBackendState>();
  /** When a back end last answered a probe. */
  private readonly answeredAtMs = new Map<LocalBackendState, number>();
  /** The last back end of each zone that was found dead by probes, and when. */
  private readonly deaths = new Map<string, ZoneDeath<LocalBackendState>>();
  /** Back ends whose verdict is being renewed. */
  private readonly renewing = new Set<LocalBackendState>();
  private readonly prober: BackendProber;

  constructor(private readonly options: DeadBackendsOptions) {
    this.prober = new BackendProber(options);
  }

  /** Probes sent since start. */
  get probes(): number {
    return this.prober.probes;
  }

  /** Probes a back end that may be dead, where `decideProbe` says so. */
  probeIfInDoubt(state: LocalBackendState): void {
    if (!this.options.isOn('dead-back-ends')) return;
    const nowMs = this.options.clock.now();
    const decision = decideProbe({
      nowMs,
      openFlows: state.openFlows,
      isDead: state.isDead(nowMs),
      isProbing: this.probing.has(state),
      probing: this.probing.size,
      answeredAtMs: this.answeredAtMs.get(state) ?? Number.NEGATIVE_INFINITY,
    });
    if (decision !== 'probe') return;
    this.probing.add(state);
    void this.check(state).finally(() => this.probing.delete(state));
  }

  /** Forgets a back end. */
  forget(backend: KnownBackend): void {
    this.answeredAtMs.delete(this.options.states.of(backend));
  }

  /** Probes until the back end answers, gives another sign of life, or is proved dead. */
  private async check(state: LocalBackendState): Promise<void> {
    const { clock } = this.options;
    const sinceMs = clock.now();
    for (let count = 0; count < MAX_PROBE_PAIRS; count += 1) {
      const finding = await this.probeTwice(state);
      if (!this.options.states.keeps(state)) return;
      const judgement = judgeProbes(finding, {
        sinceMs,
        lastSignOfLifeMs: state.lastSignOfLifeMs,
        othersAliveMs: this.options.states.othersAliveMs(state),
      });
      if (judgement === 'answered') this.answeredAtMs.set(state, clock.now());
      else if (judgement === 'refused' || judgement === 'silent') this.declareWithZone(state, judgement);
      if (judgement !== 'unproved') return;
    }
  }

  private probeTwice(state: LocalBackendState): Promise<ProbeFinding> {
    const sinceMs = this.options.clock.now();
    return this.prober.probeTwice(state.backend.record.endpoint, () => this.gossipDoubt(state, sinceMs));
  }

  /**
   * Gossips a back end that has not answered its first probe, so that other daemons with flows there probe it without
   * waiting for failures of their own. Does nothing while no other back end answers either, since this daemon may be
   * the one that is cut off.
   */
  private gossipDoubt(state: LocalBackendState, sinceMs: number): void {
    const nowMs = this.options.clock.now();
    const othersAliveMs = this.options.states.othersAliveMs(state);
    if (!othersAnswerSince(sinceMs, othersAliveMs) || this.options.pauses.mayHaveWaited(nowMs)) return;
    this.gossip(state, nowMs);
  }

  /** Gossips that a back end is or may be dead, unless any daemon's report says so already. */
  private gossip(state: LocalBackendState, nowMs: number): void {
    if (state.applyEjectionReport(nowMs)) this.options.onDoubt(state.backend.id, nowMs);
  }

  /**
   * Renews and gossips a verdict as long as further probes prove it, so that no caller's flow is spent on a trial. Ends
   * with an answered probe, or when the verdict lapses.
   */
  private async renewVerdict(state: LocalBackendState): Promise<void> {
    const { clock } = this.options;
    for (;;) {
      await pause(clock, DEAD_RECHECK_MS);
      if (!this.mayRenew(state)) return;
      const sinceMs = clock.now();
      const finding = await this.probeTwice(state);
      if (!this.mayRenew(state)) return;
      const decision = judgeRecheck(finding, sinceMs, this.options.states.othersAliveMs(state));
      if (decision === 'revive') return this.endVerdict(state);
      if (decision === 'lapse') return;
      state.renewDeadVerdict(clock.now() + DEAD_VERDICT_MS);
      this.gossip(state, clock.now());
    }
  }

  /**
   * False for a departed back end, for one whose verdict has ended, and for one at whose address another one probably
   * listens, whose answers to probes would revive it.
   */
  private mayRenew(state: LocalBackendState): boolean {
    const isUndisputed = state.standing === 'undisputed';
    return isUndisputed && !state.backend.departed && state.isDead(this.options.clock.now());
  }

  private endVerdict(state: LocalBackendState): void {
    state.endDeadVerdict();
    this.logRevived(state);
  }

  private logRevived({ backend }: LocalBackendState): void {
    this.options.events.emit(COOKIE_FLOW_EVENTS.backendRevived, { backend: backend.id });
  }

  /** Declares a back end dead by probes, and probes the rest of its zone where `putsZoneInDoubt` says so. */
  private declareWithZone(state: LocalBackendState, proof: DeathFinding): void {
    const nowMs = this.options.clock.now();
    state.recordDeadVerdict(proof, nowMs, nowMs + DEAD_VERDICT_MS);
    this.options.resetter.reset(state, proof);
    this.gossip(state, nowMs);
    if (!this.renewing.has(state)) {
      this.renewing.add(state);
      void this.renewVerdict(state).finally(() => this.renewing.delete(state));
    }
    const { zone } = state.backend.record;
    const before = this.deaths.get(zone);
    const death = { state, atMs: nowMs };
    this.deaths.set(zone, death);
    if (!putsZoneInDoubt(before, death)) return;
    for (const neighbour of this.options.states.all()) {
      if (neighbour.backend.record.zone === zone) this.probeIfInDoubt(neighbour);
    }
  }
}
