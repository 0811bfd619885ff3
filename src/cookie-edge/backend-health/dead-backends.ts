/**
 * Decides that a back end is dead for this balancer, and resets the flows that are open there. Without that each of them, and the
 * next request on it, would wait for its caller's deadline, since a dead back end answers nothing. Missing answers alone prove
 * nothing: a busy back end acknowledges late. The proofs are connections that are refused, or that stay unanswered while other back
 * ends give signs of life; and another start recorded at the same address, where only one process can listen.
 */
import type { MechanismCheck } from '../../common/mechanisms.js';
import { pause } from '../../common/pause.js';
import { formatEndpoint } from '../../common/types.js';
import type { CookieEdgePort } from '../../fabric/cookie-edge.js';
import type { EventLog } from '../../observability/event.js';
import type { KnownBackend } from '../routing/index.js';
import {
  BackendProber,
  type BackendProberOptions,
  type ProbeFinding,
  type ProbeOutcome,
} from './backend-prober.js';
import type { BackendState } from './backend-state.js';
import type { BackendStates } from './backend-states.js';
import {
  DEAD_IN_ZONE_MS,
  DEAD_RECHECK_MS,
  DEAD_VERDICT_MS,
  MAX_PROBE_PAIRS,
  MAX_PROBES_AT_ONCE,
  PROBE_AGAIN_MS,
} from '../forwarding/constants.js';
import { COOKIE_FLOW_EVENTS } from '../forwarding/events.js';
import { formatFlowId } from '../forwarding/flow-id.js';
import type { CookieStatistics } from '../forwarding/cookie-statistics.js';
import type { FlowCache } from '../forwarding/flow-cache.js';
import { resetTargetOf } from '../forwarding/reset-target.js';

/** What probes find at a back end that may be dead. */
type DeathFinding = Exclude<ProbeOutcome, 'answered'>;

/** Why a back end is held dead. */
type DeathProof = DeathFinding | 'superseded';

/** The parts of forwarding that a dead verdict reads and changes. */
interface DeadBackendsParts {
  readonly isOn: MechanismCheck;
  readonly states: BackendStates;
  readonly cache: FlowCache;
  readonly edge: CookieEdgePort;
  readonly statistics: CookieStatistics;
  readonly events: EventLog;
}

/** What the decision needs, beside the shared parts. */
interface DeadBackendsOptions extends BackendProberOptions {
  /** Called with each back end that is found dead, or that may be, to tell other balancers: those with flows there probe it too. */
  readonly onSuspect: (backendId: string, nowMs: number) => void;
}

/** See the module. Times are monotonic ms. */
export class DeadBackends {
  /** Back ends that are being probed. */
  private readonly probing = new Set<BackendState>();
  /** When a back end last answered a probe. */
  private readonly answeredAtMs = new Map<BackendState, number>();
  /** The last back end of each zone that was found dead by probes, and when. */
  private readonly deaths = new Map<string, { readonly state: BackendState; readonly atMs: number }>();
  /** The back end that was recorded last at each address. */
  private readonly newestAt = new Map<string, KnownBackend>();
  /** Back ends whose proof is being kept up. */
  private readonly holding = new Set<BackendState>();
  private readonly prober: BackendProber;

  constructor(
    private readonly parts: DeadBackendsParts,
    private readonly options: DeadBackendsOptions,
  ) {
    this.prober = new BackendProber(options);
  }

  /** Probes sent since start. */
  get probes(): number {
    return this.prober.probes;
  }

  /** Probes a back end that may be dead, if flows are open there and it was not probed just now. */
  suspect(state: BackendState): void {
    const nowMs = this.options.clock.now();
    if (!this.parts.isOn('dead-back-ends') || state.openFlows === 0 || state.isDead(nowMs)) return;
    if (this.probing.has(state) || this.probing.size >= MAX_PROBES_AT_ONCE) return;
    const answeredAtMs = this.answeredAtMs.get(state) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - answeredAtMs < PROBE_AGAIN_MS) return;
    this.probing.add(state);
    void this.check(state).finally(() => this.probing.delete(state));
  }

  /** Notes a back end that became known: of two starts at one address the earlier one has ended. */
  noteRecorded(backend: KnownBackend): void {
    if (!this.parts.isOn('dead-back-ends')) return;
    const address = formatEndpoint(backend.record.endpoint);
    const known = this.newestAt.get(address);
    const isNewer = !known || backend.record.createdRevision > known.record.createdRevision;
    if (isNewer) this.newestAt.set(address, backend);
    const ended = isNewer ? known : backend;
    if (ended) this.declare(this.parts.states.of(ended), 'superseded', Number.POSITIVE_INFINITY);
  }

  /** Forgets a back end. */
  forget(backend: KnownBackend): void {
    this.answeredAtMs.delete(this.parts.states.of(backend));
    const address = formatEndpoint(backend.record.endpoint);
    if (this.newestAt.get(address) === backend) this.newestAt.delete(address);
  }

  /** Probes until the back end answers, gives another sign of life, or is proved dead. */
  private async check(state: BackendState): Promise<void> {
    const { clock } = this.options;
    const sinceMs = clock.now();
    for (let count = 0; count < MAX_PROBE_PAIRS; count += 1) {
      const finding = await this.probeTwice(state);
      if (state.lastSignOfLifeMs >= sinceMs) return;
      if (finding === 'answered') {
        this.answeredAtMs.set(state, clock.now());
        return;
      }
      if (finding !== 'inconclusive' && this.isProof(state, finding, sinceMs)) {
        this.declareWithZone(state, finding);
        return;
      }
    }
  }

  /** A refusal came back over the network, which therefore works; silence proves something only while others are heard. */
  private isProof(state: BackendState, finding: DeathFinding, sinceMs: number): boolean {
    return finding === 'refused' || this.parts.states.othersAliveMs(state) >= sinceMs;
  }

  private probeTwice(state: BackendState): Promise<ProbeFinding> {
    const sinceMs = this.options.clock.now();
    return this.prober.probeTwice(state.backend.record.endpoint, () => this.tellOfDoubt(state, sinceMs));
  }

  /**
   * Tells others of a back end that has not answered a probe so far, unless it is this balancer that reaches nobody. They hold
   * flows there too, and so need not wait for requests of their own to fail, nor for this balancer's proof.
   */
  private tellOfDoubt(state: BackendState, sinceMs: number): void {
    const nowMs = this.options.clock.now();
    if (this.parts.states.othersAliveMs(state) < sinceMs || this.options.pauses.mayBeOld(nowMs)) return;
    this.tell(state, nowMs);
  }

  /** Tells others that a back end is or may be dead, unless that was told within the last second by anybody. */
  private tell(state: BackendState, nowMs: number): void {
    if (state.noteSuspicion(nowMs)) this.options.onSuspect(state.backend.id, nowMs);
  }

  /**
   * Keeps a proof up as long as further probes find nothing, so that no caller's flow has to try the back end, and tells the others
   * again. A probe that is answered ends it; without signs of life of others it ends by itself.
   */
  private async holdVerdict(state: BackendState): Promise<void> {
    const { clock } = this.options;
    for (;;) {
      await pause(clock, DEAD_RECHECK_MS);
      if (!this.mayHold(state)) return;
      const sinceMs = clock.now();
      const finding = await this.probeTwice(state);
      if (!this.mayHold(state)) return;
      if (finding === 'answered') return this.endVerdict(state);
      if (finding === 'inconclusive' || !this.isProof(state, finding, sinceMs)) return;
      state.noteDead(clock.now() + DEAD_VERDICT_MS);
      this.tell(state, clock.now());
    }
  }

  /** False for a back end that gets no flows anyway, or at whose address another one listens. */
  private mayHold(state: BackendState): boolean {
    const { backend } = state;
    const isNewest = this.newestAt.get(formatEndpoint(backend.record.endpoint)) === backend;
    return isNewest && !backend.departed && state.isDead(this.options.clock.now());
  }

  private endVerdict(state: BackendState): void {
    state.noteDead(this.options.clock.now());
    this.parts.events.emit(COOKIE_FLOW_EVENTS.backendRevived, { backend: state.backend.id });
  }

  /** The second death in a zone within a short time puts the whole zone in doubt: it may be cut off. */
  private declareWithZone(state: BackendState, proof: DeathProof): void {
    const nowMs = this.options.clock.now();
    this.declare(state, proof, nowMs + DEAD_VERDICT_MS);
    this.tell(state, nowMs);
    if (!this.holding.has(state)) {
      this.holding.add(state);
      void this.holdVerdict(state).finally(() => this.holding.delete(state));
    }
    const { zone } = state.backend.record;
    const before = this.deaths.get(zone);
    this.deaths.set(zone, { state, atMs: nowMs });
    if (!before || before.state === state || nowMs - before.atMs >= DEAD_IN_ZONE_MS) return;
    for (const neighbour of this.parts.states.all()) {
      if (neighbour.backend.record.zone === zone) this.suspect(neighbour);
    }
  }

  private declare(state: BackendState, proof: DeathProof, untilMs: number): void {
    const nowMs = this.options.clock.now();
    const flows = this.parts.cache.flowsAt(state);
    state.noteDead(untilMs);
    const { backend, lastSignOfLifeMs } = state;
    this.parts.events.emit(COOKIE_FLOW_EVENTS.backendDead, {
      backend: backend.id,
      service: backend.record.service,
      zone: backend.record.zone,
      proof,
      flows: flows.length,
      lastSignOfLifeMs: Number.isFinite(lastSignOfLifeMs) ? Math.round(nowMs - lastSignOfLifeMs) : undefined,
    });
    for (const flow of flows) {
      const target = resetTargetOf(flow);
      this.parts.edge.sendResetTo(target);
      this.parts.cache.remove(flow);
      this.parts.statistics.resets += 1;
      this.parts.events.emit(COOKIE_FLOW_EVENTS.flowReset, {
        flow: formatFlowId(target),
        backend: backend.id,
        proof,
        silentMs: Math.round(nowMs - flow.lastPacketMs),
      });
    }
  }
}
