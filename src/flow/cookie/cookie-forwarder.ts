/**
 * Forwards the packets of callers on a cookie edge. The packet's cookie decides first, then this balancer's memory of the
 * flow; only a SYN of neither is placed. A packet that nobody can attribute is dropped, never guessed.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import { combine32 } from '../../common/hash.js';
import { ALL_MECHANISMS_ON, type MechanismCheck } from '../../common/mechanisms.js';
import type { PauseDetector } from '../../common/pause-detector.js';
import type { RandomSource } from '../../common/random.js';
import type { CookieEdgeHandler, CookieEdgePort, CookiePacket } from '../../fabric/cookie-edge.js';
import type { EdgeDropReason } from '../../fabric/types.js';
import type { EventLog } from '../../observability/event.js';
import type { KnownBackend, Route, RoutingKnowledge } from '../../routing/index.js';
import { BackendStates } from './backend-states.js';
import {
  CLOSING_MS,
  EXPIRY_INTERVAL_MS,
  OPENING_ANSWER_MS,
  REPETITION_MIN_MS,
  TICK_MS,
} from './constants.js';
import { CookieRegistry } from './cookie-registry.js';
import { CookieStatistics } from './cookie-statistics.js';
import { COOKIE_FLOW_EVENTS } from './events.js';
import { FlowCache, type Flow } from './flow-cache.js';
import { formatFlowId } from './flow-id.js';
import { OpeningPlacement, type Placement } from './opening-placement.js';
import { PendingOpenings } from './pending-openings.js';
import { TrafficSplitter } from './traffic-splitter.js';

/** What a cookie forwarder needs. */
export interface CookieForwarderOptions {
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
  /** Longest life of a flow. */
  readonly maxFlowAgeMs: number;
  /** Flows that are remembered at once. */
  readonly maxFlows: () => number;
  /** Mechanisms that are on; all unless given. */
  readonly isOn?: MechanismCheck;
  /** Called with each back end that is ejected, to tell other balancers. */
  readonly onEject?: (backendId: string, nowMs: number) => void;
}

/** See the module. Call `start` once. */
export class CookieForwarder implements CookieEdgeHandler {
  readonly statistics = new CookieStatistics();
  private readonly cookies = new CookieRegistry();
  private readonly states: BackendStates;
  private readonly cache: FlowCache;
  private readonly splitter: TrafficSplitter;
  private readonly placement: OpeningPlacement;
  /** Openings without an answer yet, oldest first. */
  private readonly pending = new PendingOpenings();
  private nextExpiryMs = 0;
  private readonly isOn: MechanismCheck;

  constructor(private readonly options: CookieForwarderOptions) {
    const { knowledge, random, zone, zoneMargin, maxFlows, isOn = ALL_MECHANISMS_ON } = options;
    this.isOn = isOn;
    const onEject = isOn('shared-ejections') ? options.onEject : undefined;
    this.states = new BackendStates(
      options.events,
      (state, nowMs) => onEject?.(state.backend.id, nowMs),
      isOn,
    );
    this.cache = new FlowCache(maxFlows);
    this.splitter = new TrafficSplitter(random, isOn);
    this.placement = new OpeningPlacement(zone, zoneMargin, isOn);
    for (const backend of knowledge.backends.all()) this.cookies.add(backend);
    knowledge.backends.onAdd((backend) => this.cookies.add(backend));
    knowledge.backends.onForget((backend) => this.forget(backend));
  }

  /** Back ends ejected since start. */
  get ejections(): number {
    return this.states.ejections;
  }

  /** Flows remembered now. */
  get flowCount(): number {
    return this.cache.size;
  }

  /** Notes that another balancer ejected a back end at `atMs`; true when that was not known. */
  noteSuspicion(backendId: string, atMs: number): boolean {
    if (!this.isOn('shared-ejections')) return false;
    const backend = this.options.knowledge.backends.get(backendId);
    return backend !== undefined && this.states.of(backend).noteSuspicion(atMs);
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
    const flow = this.cache.find(packet);
    if (packet.syn && !packet.ack) this.onSyn(packet, flow, nowMs);
    else this.onMidFlow(packet, flow, nowMs);
  }

  private onSyn(packet: CookiePacket, flow: Flow | undefined, nowMs: number): void {
    if (this.isOn('old-opening-guard') && this.options.pauses.mayBeOld(nowMs)) {
      this.statistics.countDrop('old-opening');
      this.options.events.emit(COOKIE_FLOW_EVENTS.oldOpening, { flow: formatFlowId(packet) });
      return;
    }
    if (flow && !isAnew(packet, flow)) return this.onSynCopy(packet, flow, nowMs);
    if (flow) this.cache.remove(flow);
    const routes = this.options.knowledge.routes();
    if (!routes || !this.options.knowledge.isComplete()) return this.statistics.countDrop('starting');
    const route = routes.find(packet.destinationAddress, packet.destinationPort);
    if (!route) return this.refuse(packet, 'no-route');
    const placement = this.place(packet, route, nowMs);
    if (!placement) return this.refuse(packet, 'no-backend', route);
    const opened = this.cache.add(packet, placement.state, 'opening', nowMs);
    if (opened) this.pending.add(opened);
    this.statistics.opened += 1;
    this.logPlacement(packet, route, placement);
    this.forward(placement.state.backend);
  }

  /** A copy goes where the first SYN went, unless that back end is held dead. */
  private onSynCopy(packet: CookiePacket, flow: Flow, nowMs: number): void {
    flow.lastPacketMs = nowMs;
    if (flow.phase === 'opening') {
      this.pending.settle(flow);
      this.noteFailure(flow, flow.openedAtMs, nowMs);
    }
    if (flow.phase === 'opening' && flow.state.liveness(nowMs) === 'ejected') {
      const route = this.options.knowledge.routes()?.find(packet.destinationAddress, packet.destinationPort);
      const placement = route && this.place(packet, route, nowMs);
      if (placement && placement.state !== flow.state) this.placeAnew(packet, flow, placement, nowMs);
    }
    this.forward(flow.state.backend);
  }

  private placeAnew(packet: CookiePacket, flow: Flow, placement: Placement, nowMs: number): void {
    this.options.events.emit(COOKIE_FLOW_EVENTS.placedAnew, {
      flow: formatFlowId(packet),
      before: flow.state.backend.id,
      backend: placement.state.backend.id,
      failures: flow.state.failuresInRow,
    });
    this.statistics.placedAnew += 1;
    this.pending.settle(flow);
    this.cache.move(flow, placement.state);
    flow.openedAtMs = nowMs;
    flow.failureNoted = false;
    this.pending.add(flow);
  }

  private onMidFlow(packet: CookiePacket, flow: Flow | undefined, nowMs: number): void {
    const named = packet.cookie === 0 ? undefined : this.cookies.backendOf(packet.cookie);
    const backend = named ?? flow?.state.backend;
    if (!backend) return this.dropUnknown(packet);
    const known = flow ?? this.takeOver(packet, backend, nowMs);
    if (known) this.follow(packet, known, backend, nowMs);
    this.forward(backend);
  }

  /** Compares a packet with what the flow's earlier ones said. */
  private follow(packet: CookiePacket, flow: Flow, backend: KnownBackend, nowMs: number): void {
    this.pending.settle(flow);
    if (flow.state.backend !== backend) this.cache.move(flow, this.states.of(backend));
    flow.lastPacketMs = nowMs;
    if (flow.phase === 'opening') {
      flow.phase = 'open';
      flow.acknowledgement = packet.acknowledgement;
      this.statistics.handshake.observe(nowMs - flow.openedAtMs);
      this.pending.noteAnswer(nowMs - flow.openedAtMs);
      this.states.noteProof(flow.state, nowMs);
    } else if (packet.ack && isAfter(packet.acknowledgement, flow.acknowledgement)) {
      flow.acknowledgement = packet.acknowledgement;
      this.states.noteProof(flow.state, nowMs);
    }
    if (packet.payloadBytes > 0) this.followData(packet, flow, nowMs);
    if (packet.fin || packet.rst) this.cache.close(flow, nowMs);
  }

  private followData(packet: CookiePacket, flow: Flow, nowMs: number): void {
    if (flow.dataSequence < 0 || isAfter(packet.sequence, flow.dataSequence)) {
      flow.dataSequence = packet.sequence;
      flow.dataAtMs = nowMs;
      flow.failureNoted = false;
    } else if (packet.sequence === flow.dataSequence && nowMs - flow.dataAtMs >= REPETITION_MIN_MS) {
      this.noteFailure(flow, flow.dataAtMs, nowMs);
    }
  }

  private takeOver(packet: CookiePacket, backend: KnownBackend, nowMs: number): Flow | undefined {
    this.statistics.takenOver += 1;
    this.options.events.emit(COOKIE_FLOW_EVENTS.takenOver, {
      flow: formatFlowId(packet),
      backend: backend.id,
      service: backend.record.service,
      departed: backend.departed,
    });
    return this.cache.add(packet, this.states.of(backend), 'open', nowMs);
  }

  private dropUnknown(packet: CookiePacket): void {
    this.statistics.countDrop('unknown-cookie');
    this.options.events.emit(COOKIE_FLOW_EVENTS.unknownCookie, {
      flow: formatFlowId(packet),
      cookie: packet.cookie,
      knowledgeAgeMs: Math.round(this.options.knowledge.age()),
    });
  }

  private refuse(packet: CookiePacket, reason: 'no-route' | 'no-backend', route?: Route): void {
    this.statistics.countRefusal(reason);
    this.options.events.emit(COOKIE_FLOW_EVENTS.refused, {
      ...{ flow: formatFlowId(packet), reason, route: route?.name },
      version: this.options.knowledge.routes()?.table.version,
      knowledgeAgeMs: Math.round(this.options.knowledge.age()),
    });
    this.options.edge.sendReset();
  }

  private place(packet: CookiePacket, route: Route, nowMs: number): Placement | undefined {
    const { knowledge } = this.options;
    const flowHash = hashFlow(packet);
    const chooseIn = (service: string): Placement | undefined =>
      this.placement.choose({
        ...{ backends: knowledge.backends.ofService(service), flowHash, nowMs },
        usualAnswerMs: this.pending.usualMs,
        stateOf: (backend) => this.states.of(backend),
        maxConnections: knowledge.routes()?.maxConnectionsOf(service) ?? 0,
      });
    const choices = new Map<string, Placement | undefined>();
    const chosen = this.splitter.choose(route, (service) => {
      choices.set(service, chooseIn(service));
      return choices.get(service) !== undefined;
    });
    if (chosen === undefined) return undefined;
    const placement = choices.has(chosen) ? choices.get(chosen) : chooseIn(chosen);
    if (placement?.rule === 'trial') placement.state.noteTrial(nowMs);
    return placement;
  }

  private forward(backend: KnownBackend): void {
    const cookie = this.cookies.cookieOf(backend);
    if (cookie === 0) return this.statistics.countDrop('no-cookie');
    this.statistics.forwarded += 1;
    this.options.edge.sendToBackend(backend.id, backend.record.endpoint, cookie);
  }

  /** Counts once against the flow's back end in each phase. */
  private noteFailure(flow: Flow, sinceMs: number, nowMs: number): void {
    if (flow.failureNoted) return;
    flow.failureNoted = true;
    this.states.noteFailure(flow.state, sinceMs, nowMs);
  }

  private tick(): void {
    const nowMs = this.options.clock.now();
    const pausedMs = this.options.pauses.noteTick(nowMs);
    if (pausedMs > 0) {
      this.options.events.emit(COOKIE_FLOW_EVENTS.paused, { pausedMs: Math.round(pausedMs) });
      this.pending.clear();
    }
    this.checkOpenings(nowMs);
    this.states.judgeFailing(nowMs);
    if (nowMs >= this.nextExpiryMs) this.expire(nowMs);
  }

  private checkOpenings(nowMs: number): void {
    for (const flow of this.pending.takeOlder(nowMs - OPENING_ANSWER_MS)) {
      this.pending.settle(flow);
      this.noteFailure(flow, flow.openedAtMs, nowMs);
    }
  }

  private expire(nowMs: number): void {
    const { knowledge, maxFlowAgeMs } = this.options;
    this.nextExpiryMs = nowMs + EXPIRY_INTERVAL_MS;
    knowledge.backends.prune();
    const idleMs = Math.min(knowledge.routes()?.table.idleTimeoutMs ?? maxFlowAgeMs, maxFlowAgeMs);
    this.cache.expire(this.cache.size, (flow) => {
      const silentMs = nowMs - flow.lastPacketMs;
      return silentMs >= (flow.phase === 'open' ? idleMs : CLOSING_MS);
    });
  }

  private forget(backend: KnownBackend): void {
    this.cookies.remove(backend);
    this.states.forget(backend);
  }

  private logPlacement(packet: CookiePacket, route: Route, placement: Placement): void {
    const { knowledge, events } = this.options;
    events.emit(COOKIE_FLOW_EVENTS.opened, {
      ...{ flow: formatFlowId(packet), route: route.name, service: placement.state.backend.record.service },
      ...{ backend: placement.state.backend.id, rule: placement.rule, candidates: placement.candidates },
      flowsThere: placement.state.openFlows,
      copy: packet.acknowledgement,
      version: knowledge.routes()?.table.version,
      knowledgeAgeMs: Math.round(knowledge.age()),
    });
  }
}

/** True for the first SYN of a caller that uses the ports of a flow again which it had closed. */
function isAnew(packet: CookiePacket, flow: Flow): boolean {
  return flow.phase === 'closing' && packet.acknowledgement === 0;
}

/** True when sequence number `left` comes after `right`, modulo 2^32. */
function isAfter(left: number, right: number): boolean {
  return ((left - right) | 0) > 0;
}

function hashFlow(packet: CookiePacket): number {
  const caller = combine32(packet.sourceAddress, packet.sourcePort);
  return combine32(caller, combine32(packet.destinationAddress, packet.destinationPort));
}
