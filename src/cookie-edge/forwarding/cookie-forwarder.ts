/**
 * Forwards the packets of callers on a cookie edge. The packet's cookie decides first, then this balancer's memory of the
 * flow; only a SYN of neither is placed. A packet that nobody can attribute is dropped, never guessed.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import { ALL_MECHANISMS_ON, type MechanismCheck } from '../../common/mechanisms.js';
import type { PauseDetector } from '../../common/pause-detector.js';
import type { RandomSource } from '../../common/random.js';
import type { CookieEdgeHandler, CookieEdgePort, CookiePacket } from '../../fabric/cookie-edge.js';
import type { EdgeDropReason } from '../../fabric/types.js';
import type { LoadLevels } from '../load/index.js';
import type { EventLog } from '../../observability/event.js';
import {
  AnswerTracker,
  DEFAULT_OUTLIER_OPTIONS,
  OutlierDetector,
  type OutlierOptions,
  type BadAnswerReport,
} from '../outliers/index.js';
import type { KnownBackend, RoutingKnowledge } from '../routing/index.js';
import type { ConnectProbe } from '../backend-health/backend-prober.js';
import { BackendStates } from '../backend-health/backend-states.js';
import {
  BackendEligibility,
  ColdAdmission,
  NewFlowRule,
  OpeningPlacement,
  TrafficSplitter,
  type ColdAdmissionOptions,
} from '../placement/index.js';
import { CLOSING_MS, EXPIRY_INTERVAL_MS, OPENING_ANSWER_MS, TICK_MS } from './constants.js';
import { CookieRegistry } from './cookie-registry.js';
import { CookieStatistics } from './cookie-statistics.js';
import { DeadBackends } from '../backend-health/dead-backends.js';
import { COOKIE_FLOW_EVENTS } from './events.js';
import { FlowCache } from './flow-cache.js';
import { noteFailure, type ForwardingParts } from './forwarding-parts.js';
import { MidFlowHandler } from './mid-flow-handler.js';
import { OpeningHandler } from './opening-handler.js';
import { PendingOpenings } from './pending-openings.js';

/** What a cookie forwarder needs. */
interface CookieForwarderOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly knowledge: RoutingKnowledge;
  readonly edge: CookieEdgePort;
  /** Ticked by the forwarder every `TICK_MS`. */
  readonly pauses: PauseDetector;
  readonly zone: string;
  /** See `OpeningPlacement`. */
  readonly zoneMargin: number;
  readonly zoneLoadFactor: number;
  /** Region of a zone; undefined when nothing says so. */
  readonly regionOf: (zone: string) => string | undefined;
  readonly cold: ColdAdmissionOptions;
  /** Tries whether a back end can be reached. */
  readonly probe: ConnectProbe;
  /** Longest life of a flow. */
  readonly maxFlowAgeMs: number;
  /** Flows that are remembered at once. */
  readonly maxFlows: () => number;
  /** Which back ends get many calls from other balancers; nothing is known of that unless given. */
  readonly loads?: LoadLevels;
  /** Mechanisms that are on; all unless given. */
  readonly isOn?: MechanismCheck;
  /** Names this balancer in what it tells others. */
  readonly observer?: number;
  readonly outliers?: OutlierOptions;
  /** Called with each bad answer that this balancer noticed, to tell other balancers. */
  readonly onBadAnswer?: (report: BadAnswerReport) => void;
  /** Called with each back end that is ejected, to tell other balancers. */
  readonly onEject?: (backendId: string, nowMs: number) => void;
}

/** See the module. Call `start` once. */
export class CookieForwarder implements CookieEdgeHandler {
  readonly statistics = new CookieStatistics();
  readonly outliers: OutlierDetector;
  private readonly parts: ForwardingParts;
  private readonly openings: OpeningHandler;
  private readonly midFlow: MidFlowHandler;
  private readonly coldAdmission: ColdAdmission;
  private readonly dead: DeadBackends;
  private nextExpiryMs = 0;

  constructor(private readonly options: CookieForwarderOptions) {
    const { knowledge, random, events, edge, zone, zoneMargin, zoneLoadFactor, maxFlows, pauses, regionOf } =
      options;
    const isOn = options.isOn ?? ALL_MECHANISMS_ON;
    const onEject = isOn('shared-ejections') ? options.onEject : undefined;
    const tell = (backendId: string, nowMs: number): void => onEject?.(backendId, nowMs);
    const states = new BackendStates(
      events,
      (state, nowMs) => tell(state.backend.id, nowMs),
      isOn,
      (state) => this.dead.suspect(state),
    );
    this.outliers = this.detectorOf(options);
    const { slowFactor } = options.outliers ?? DEFAULT_OUTLIER_OPTIONS;
    const answers = new AnswerTracker({ slowFactor, onBadAnswer: (bad) => this.outliers.noteOwn(bad) });
    const cookies = new CookieRegistry();
    this.parts = {
      events,
      knowledge,
      edge,
      isOn,
      states,
      cookies,
      statistics: this.statistics,
      cache: new FlowCache(maxFlows),
      pending: new PendingOpenings(),
      answers,
    };
    const splitter = new TrafficSplitter(random, isOn);
    const placement = new OpeningPlacement({
      zone,
      zoneMargin,
      zoneLoadFactor,
      isOn,
      loads: options.loads,
    });
    const coldAdmission = (this.coldAdmission = new ColdAdmission(options.cold));
    const eligibility = new BackendEligibility({
      knowledge,
      coldAdmission,
      regionOf,
      stateOf: (backend) => states.of(backend),
    });
    const { outliers, parts } = this;
    const newFlows = new NewFlowRule({
      knowledge,
      splitter,
      eligibility,
      coldAdmission,
      placement,
      isOutlier: ({ backend, idHash }, flowHash, nowMs) =>
        outliers.isAvoided(backend.id, idHash, flowHash, nowMs),
      slowHandshakeMs: () => parts.pending.usualMs,
    });
    this.openings = new OpeningHandler(this.parts, { newFlows, eligibility, pauses });
    this.midFlow = new MidFlowHandler(this.parts);
    this.dead = new DeadBackends(this.parts, {
      clock: options.clock,
      pauses,
      probe: options.probe,
      onSuspect: tell,
    });
    for (const backend of knowledge.backends.all()) this.noteRecorded(backend);
    knowledge.backends.onAdd((backend) => this.noteRecorded(backend));
    knowledge.backends.onForget((backend) => this.forget(backend));
  }

  /** Back ends ejected since start. */
  get ejections(): number {
    return this.parts.states.ejections;
  }

  /** Probes of back ends that may be dead since start. */
  get probes(): number {
    return this.dead.probes;
  }

  /** How long back ends took for requests of which this balancer saw both ends. */
  get answers(): AnswerTracker {
    return this.parts.answers;
  }

  /** Flows remembered now. */
  get flowCount(): number {
    return this.parts.cache.size;
  }

  /** Notes that another balancer ejected a back end at `atMs`; true when that was not known. */
  applyEjectionReport(backendId: string, atMs: number): boolean {
    if (!this.parts.isOn('shared-ejections')) return false;
    const backend = this.options.knowledge.backends.get(backendId);
    if (!backend) return false;
    const state = this.parts.states.of(backend);
    const isNews = state.noteSuspicion(atMs);
    if (isNews) this.dead.suspect(state);
    return isNews;
  }

  /** Takes in a bad answer that another balancer noticed; true when that was not known. */
  applyBadAnswerReport(report: BadAnswerReport): boolean {
    if (!this.parts.isOn('outlier-detection')) return false;
    return this.outliers.noteReport(report, this.options.clock.now());
  }

  /** Runs the housekeeping until `signal` aborts. */
  start(signal: AbortSignal): void {
    let timer: TimerHandle;
    const arm = (): void => {
      timer = this.options.clock.schedule(TICK_MS, () => {
        this.tick();
        arm();
      });
    };
    arm();
    signal.addEventListener('abort', () => timer.cancel());
  }

  onDrop(reason: EdgeDropReason): void {
    this.options.pauses.noteRead('edge');
    this.statistics.countDrop(reason);
  }

  onPacket(packet: CookiePacket): void {
    const { clock, pauses } = this.options;
    const nowMs = clock.now();
    pauses.noteRead('edge');
    this.statistics.packets += 1;
    const flow = this.parts.cache.find(packet);
    if (packet.syn && !packet.ack) this.openings.onSyn(packet, flow, nowMs);
    else this.midFlow.onMidFlow(packet, flow, nowMs);
  }

  private tick(): void {
    const nowMs = this.options.clock.now();
    const pausedMs = this.options.pauses.noteTick(nowMs);
    if (pausedMs > 0) {
      this.options.events.emit(COOKIE_FLOW_EVENTS.paused, { pausedMs: Math.round(pausedMs) });
      this.parts.pending.clear();
      this.parts.answers.clear();
    }
    this.checkOpenings(nowMs);
    this.parts.states.judgeFailing(nowMs);
    this.parts.answers.check(nowMs);
    this.outliers.check(nowMs);
    if (nowMs >= this.nextExpiryMs) this.expire(nowMs);
  }

  private checkOpenings(nowMs: number): void {
    for (const flow of this.parts.pending.takeOlder(nowMs - OPENING_ANSWER_MS)) {
      this.parts.pending.settle(flow);
      noteFailure(this.parts, flow, flow.openedAtMs, nowMs);
    }
  }

  private expire(nowMs: number): void {
    const { knowledge, maxFlowAgeMs } = this.options;
    this.nextExpiryMs = nowMs + EXPIRY_INTERVAL_MS;
    knowledge.backends.prune();
    const idleMs = Math.min(knowledge.routes()?.table.idleTimeoutMs ?? maxFlowAgeMs, maxFlowAgeMs);
    this.parts.cache.expire(this.parts.cache.size, (flow) => {
      const silentMs = nowMs - flow.lastPacketMs;
      return silentMs >= (flow.phase === 'open' ? idleMs : CLOSING_MS);
    });
  }

  private noteRecorded(backend: KnownBackend): void {
    this.parts.cookies.add(backend);
    this.dead.noteRecorded(backend);
  }

  private forget(backend: KnownBackend): void {
    this.dead.forget(backend);
    this.parts.cookies.remove(backend);
    this.parts.states.forget(backend);
    this.coldAdmission.forget(backend);
    this.outliers.forget(backend.id);
  }

  private detectorOf({
    clock,
    events,
    knowledge,
    observer,
    outliers,
    onBadAnswer,
  }: CookieForwarderOptions): OutlierDetector {
    const { backends } = knowledge;
    return new OutlierDetector(
      {
        ...(outliers ?? DEFAULT_OUTLIER_OPTIONS),
        events,
        self: observer ?? 0,
        serviceOf: (backendId) => backends.get(backendId)?.record.service,
        countBackends: (service) => backends.countRecorded(service),
        onReport: (report) => onBadAnswer?.(report),
      },
      clock.now(),
    );
  }
}
