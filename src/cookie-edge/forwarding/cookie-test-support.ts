/** Runs a cookie forwarder on a virtual clock, with an edge that records the sent packets. */
import { VirtualClock } from '../../common/clock.js';
import { combine32 } from '../../common/hash.js';
import { allBut, type Mechanism } from '../../common/mechanisms.js';
import { PauseDetector } from '../../common/pause-detector.js';
import { seededRandom } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import type { CookieEdgePort, CookiePacket, ResetTarget } from '../../fabric/cookie-edge.js';
import type { EventDefinition, EventFields } from '../../observability/event.js';
import type { ConnectProbe } from '../backend-health/backend-prober.js';
import type { LocalBackendState } from '../backend-health/local-backend-state.js';
import type { BadAnswerReport } from '../outliers/index.js';
import type { OpeningPeers } from '../opening-lookup/index.js';
import type { PlacementRequest } from '../placement/index.js';
import {
  BackendSettlement,
  RoutingKnowledge,
  type KnownBackend,
  type RoutedBackend,
  type RouteTable,
} from '../routing/index.js';
import {
  backendAt,
  SERVICE_ADDRESS,
  SERVICE_PORT,
  tableAt,
  updateAt,
} from '../routing/routing-test-support.js';
import { HOUSEKEEPING_TICK_MS } from './constants.js';
import type { CookieForwarder } from './cookie-forwarder.js';
import { createCookieForwarder } from './create-cookie-forwarder.js';

/** A packet that the forwarder asked the edge to send. */
export interface SentPacket {
  /** Undefined for a reset. */
  readonly backend: string | undefined;
  readonly endpoint?: Endpoint;
  readonly cookie: number;
}

/** Options of the daemon under test. */
export interface HarnessOptions {
  /** Region of each zone. */
  readonly regions?: Readonly<Record<string, string>>;
  /** Returns true if the daemon is one of the owners of a cold back end. Default: always. */
  readonly isOwner?: (backendId: string) => boolean;
  /** Returns the outcome of a probe. Default: answered. */
  readonly probe?: ConnectProbe;
  /** Returns true once peers have sent their data about back ends. Default: always. */
  readonly hasReceivedDeparted?: () => boolean;
  /** Number of daemons. Without it no opening is deferred. */
  readonly fleetSize?: number;
  /** Uses `settlement` to decide whether the list of back ends is complete. Default: the list is always complete. */
  readonly tracksSettlement?: boolean;
  /** Identifies the daemon in its reports to peers. */
  readonly observer?: number;
  /** Peers that the daemon asks about retransmitted SYNs. Default: none. */
  readonly openingPeers?: OpeningPeers;
  /** Called with the daemon's reports of bad answers. */
  readonly onBadAnswer?: (report: BadAnswerReport) => void;
}

/** Called with the back end to which a packet was sent, undefined for a reset, and with the packet. */
type SentListener = (backend: string | undefined, cookie: number, packet: CookiePacket) => void;

/** One daemon under test. */
export class ForwarderHarness {
  readonly sent: SentPacket[] = [];
  private readonly sentListeners = new Map<number, SentListener>();
  /** The caller's port of each packet in `sent`. */
  readonly sentPorts: number[] = [];
  /** Resets of flows other than the flow of the packet being handled. */
  readonly resets: ResetTarget[] = [];
  /** Back ends that the daemon reported as ejected, dead or suspect. */
  readonly gossipedEjections: string[] = [];
  readonly logged: { readonly event: EventDefinition; readonly fields: EventFields }[] = [];
  readonly knowledge: RoutingKnowledge;
  readonly settlement: BackendSettlement;
  recordsMayLapse = false;
  readonly forwarder: CookieForwarder;
  /** The packet being handled. */
  private currentPacket: CookiePacket = EMPTY_PACKET;
  private abort = new AbortController();
  /** Callbacks that `endEventLoopTurn` runs. */
  private readonly queued: (() => void)[] = [];

  constructor(
    readonly clock = new VirtualClock(),
    seed = 1,
    switchedOff: readonly Mechanism[] = [],
    options: HarnessOptions = {},
  ) {
    const events = {
      emit: (event: EventDefinition, fields: EventFields = {}): void => {
        this.logged.push({ event, fields });
      },
    };
    this.knowledge = new RoutingKnowledge({ clock, events, retentionMs: 60_000, followsCordons: true });
    const recordsMayLapse = (): boolean => this.recordsMayLapse;
    this.settlement = new BackendSettlement({ clock, events, knowledge: this.knowledge, recordsMayLapse });
    this.forwarder = createCookieForwarder({
      clock,
      events,
      knowledge: this.knowledge,
      edge: this.edge(),
      zone: 'north',
      zoneMargin: 0.5,
      zoneLoadFactor: 1.5,
      isOn: allBut(switchedOff),
      ...(options.fleetSize && { fleetSize: () => options.fleetSize }),
      ...(options.tracksSettlement && { settlement: this.settlement }),
      ...(options.hasReceivedDeparted && { hasReceivedDeparted: options.hasReceivedDeparted }),
      regionOf: (zone) => options.regions?.[zone],
      probe: options.probe ?? (() => Promise.resolve('answered')),
      cold: { overage: 1.5, slack: 5, isOwner: options.isOwner ?? (() => true) },
      random: seededRandom(seed),
      pauses: new PauseDetector(clock.now(), (callback) => this.queued.push(callback)),
      maxFlowAgeMs: 60_000,
      maxFlows: () => 1_000,
      observer: options.observer,
      openingPeers: options.openingPeers,
      onBadAnswer: options.onBadAnswer,
      onBackendUnhealthy: (backendId) => this.gossipedEjections.push(backendId),
    });
    this.forwarder.start(this.abort.signal);
  }

  /** Pauses the process for `milliseconds`; its timers then resume with a late tick. */
  pauseProcess(milliseconds: number): void {
    this.stop();
    this.clock.advance(milliseconds);
    this.abort = new AbortController();
    this.forwarder.start(this.abort.signal);
    this.clock.advance(HOUSEKEEPING_TICK_MS);
  }

  /** Ends a turn of the event loop. */
  endEventLoopTurn(): void {
    for (const callback of this.queued.splice(0)) callback();
  }

  /** Applies a complete list of back ends, routes and cordons as of `revision`. */
  applyRecords(backends: readonly RoutedBackend[], table: Partial<RouteTable> = {}, revision = 10): this {
    const origin = { since: -1, confirmedAtMs: this.clock.now(), mayHaveLapsed: false };
    const tables = [tableAt(revision, table)];
    this.knowledge.apply('routes', updateAt(revision, { complete: true, routes: tables }), origin);
    this.knowledge.apply('backends', updateAt(revision, { complete: true, backends }), origin);
    this.knowledge.apply('cordons', updateAt(revision, { complete: true }), origin);
    return this;
  }

  /** Sets the cordoned zones to exactly these as of `revision`. */
  cordon(zones: readonly string[], revision: number): void {
    const origin = { since: -1, confirmedAtMs: this.clock.now(), mayHaveLapsed: false };
    const cordons = zones.map((zone) => ({ zone, revision }));
    this.knowledge.apply('cordons', updateAt(revision, { complete: true, cordons }), origin);
  }

  /** Removes a back end's record at `revision`. */
  removeRecord(id: string, revision: number, mayHaveLapsed = false): void {
    const origin = { since: revision - 1, confirmedAtMs: this.clock.now(), mayHaveLapsed };
    this.knowledge.apply('backends', updateAt(revision, { removals: [{ id, revision }] }), origin);
  }

  private edge(): CookieEdgePort {
    return {
      sendToBackend: (backend, endpoint, cookie) => this.send({ backend, endpoint, cookie }),
      sendReset: () => this.send({ backend: undefined, cookie: 0 }),
      sendResetTo: (target) => this.resets.push(target),
      keepPacket: () => {
        const kept = { ...this.currentPacket };
        return (waitedMs) => this.passToForwarder(kept, waitedMs);
      },
    };
  }

  /** Calls `listener` with each packet sent to the caller's port from now on; undefined removes the listener. */
  onSent(port: number, listener: SentListener | undefined): void {
    if (listener) this.sentListeners.set(port, listener);
    else this.sentListeners.delete(port);
  }

  private send(sent: SentPacket): void {
    this.sentListeners.get(this.currentPacket.sourcePort)?.(sent.backend, sent.cookie, this.currentPacket);
    this.sent.push(sent);
    this.sentPorts.push(this.currentPacket.sourcePort);
  }

  /** Delivers a packet. Returns the packet sent in response, or undefined. */
  deliver(packet: Partial<CookiePacket>): SentPacket | undefined {
    const firstNewIndex = this.sent.length;
    this.passToForwarder(packet);
    return this.sent[firstNewIndex];
  }

  /** Delivers a packet that was held for `waitedMs` since its arrival. */
  passToForwarder(packet: Partial<CookiePacket>, waitedMs = 0): void {
    this.currentPacket = { ...EMPTY_PACKET, ...packet };
    this.forwarder.onPacket(this.currentPacket, waitedMs);
  }

  /** Delivers the SYN of a caller's flow. */
  open(port: number, retransmissionCount = 0): SentPacket | undefined {
    return this.deliver({ sourcePort: port, syn: true, retransmissionCount });
  }

  /** Opens a flow and completes its handshake. */
  establish(port: number): SentPacket {
    const opened = this.open(port);
    if (!opened?.backend) throw new Error('the opening was not placed');
    this.sendMidFlow(port, opened.cookie);
    return opened;
  }

  /** Delivers a packet of an open flow. */
  sendMidFlow(port: number, cookie: number, packet: Partial<CookiePacket> = {}): SentPacket | undefined {
    return this.deliver({ sourcePort: port, ack: true, cookie, acknowledgement: 1, ...packet });
  }

  /** Returns the numbers of the logged events. */
  events(): number[] {
    return this.logged.map(({ event }) => event.number);
  }

  stop(): void {
    this.abort.abort();
  }
}

/** A packet without flags, cookie and data from a caller to the service `alpha`. */
export const EMPTY_PACKET: CookiePacket = {
  sourceAddress: 0x64400007,
  sourcePort: 40_001,
  destinationAddress: SERVICE_ADDRESS,
  destinationPort: SERVICE_PORT,
  syn: false,
  ack: false,
  fin: false,
  rst: false,
  sequence: 1,
  acknowledgement: 0,
  retransmissionCount: 0,
  payloadBytes: 0,
  cookie: 0,
};

/** Builds a request at time 0 in which only load decides. `flow` distinguishes the flow from others. */
export function placementRequest(
  states: ReadonlyMap<KnownBackend, LocalBackendState>,
  flow: number,
): PlacementRequest {
  return {
    backends: states.keys(),
    eligibleStateOf: (backend) => states.get(backend),
    flowHash: combine32(flow, 7),
    nowMs: 0,
    slowHandshakeMs: 10,
  };
}

/** Returns `count` back ends `a`, `b`, ... of the service `alpha`. */
export function backends(count: number): RoutedBackend[] {
  return Array.from({ length: count }, (_unused, index) =>
    backendAt(String.fromCharCode(97 + index), index + 1, {
      endpoint: { host: `10.128.0.${index + 1}`, port: 8080 },
    }),
  );
}

/** Opens flows until `count` of them were placed at `backend`. Only those stay unanswered. Returns their ports. */
export function leaveOpeningsUnanswered(
  harness: ForwarderHarness,
  backend: string,
  count: number,
  fromPort: number,
): number[] {
  const ports: number[] = [];
  for (let port = fromPort; ports.length < count; port += 1) {
    const opened = harness.open(port);
    if (opened?.backend === backend) ports.push(port);
    else if (opened?.backend) harness.sendMidFlow(port, opened.cookie);
  }
  return ports;
}
