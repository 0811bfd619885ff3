/**
 * Plays the opening of one flow through several daemons on one virtual clock. Each daemon may place the flow at one
 * back end only, a different one for each daemon, so that every second placement is a conflict. The caller follows the
 * platform's protocol: it acknowledges the first SYN+ACK, repeats the cookie that it received last, and retransmits
 * data that is not answered.
 */
import { VirtualClock } from '../../common/clock.js';
import type { CookiePacket } from '../../fabric/cookie-edge.js';
import type { HandshakeRecord, OpeningPeers, OpeningQuery } from '../opening-lookup/index.js';
import type { RoutedBackend } from '../routing/index.js';
import type { CookieForwarder } from './cookie-forwarder.js';
import { backends, ForwarderHarness } from './cookie-test-support.js';
import { EarlierBuildDaemon } from './earlier-build-test-support.js';

/** A packet of the caller, or the first SYN+ACK that a back end sends to it. */
export type LossyPacket = 'first-syn' | 'second-syn' | 'first-syn-ack' | 'first-data' | 'second-data';

/** Fate of one opening. Times are ms after the first SYN was sent. */
export interface OpeningScenario {
  /** Daemons that the router picks one after the other, each from a time on. The first one is picked from the start. */
  readonly routes: readonly { readonly fromMs: number; readonly daemon: number }[];
  /** Time from a SYN at a back end until its SYN+ACK reaches the caller, by back end. */
  readonly handshakeMs: readonly number[];
  /** Time from data at a back end until its answer reaches the caller. */
  readonly answerMs: number;
  /** Daemons that lose their memory: each is killed at this time and started again at once, unless it stays down. */
  readonly kills: readonly { readonly atMs: number; readonly daemon: number; readonly staysDown?: boolean }[];
  /** Daemons that are stopped as planned: each hands over what it alone knows, and is started again at once. */
  readonly restarts?: readonly { readonly atMs: number; readonly daemon: number }[];
  /** True if a back end repeats its SYN+ACK until the caller acknowledges it. Default: one for each SYN. */
  readonly repeatsSynAcks?: boolean;
  /** Time between two data packets of the caller. Default: `DATA_INTERVAL_MS`. */
  readonly dataIntervalMs?: number;
  /** True if the daemons know no peers, so that each places what reaches it. */
  readonly areDaemonsIsolated?: boolean;
  /** Daemons of a build without opening cookies and lookups. */
  readonly earlierBuilds?: readonly number[];
  /** Packets that are lost the first time that they are sent. */
  readonly losses?: readonly LossyPacket[];
}

/** What the caller and the back ends saw. */
export interface OpeningOutcome {
  /** Back end at which the flow opened, or undefined if it did not open. */
  readonly holder: string | undefined;
  /** Back ends that received a SYN of the flow. */
  readonly placedAt: readonly string[];
  /** Packets of the open flow that its holder received. */
  readonly delivered: number;
  /** Packets of the open flow that reached other back ends. */
  readonly misdelivered: number;
  /** How the opening ended for the caller. */
  readonly callerOutcome: CallerOutcome;
}

/**
 * `served`: all data was answered. `reset`: the caller received a reset. `no-handshake`: no SYN+ACK came within the
 * attempt. `waiting`: the caller got a SYN+ACK and waits for an answer until its deadline.
 */
export type CallerOutcome = 'served' | 'reset' | 'no-handshake' | 'waiting';

const SYN_TIMES_MS = [0, 200, 600];
const ATTEMPT_TIMEOUT_MS = 1_400;
const DATA_INTERVAL_MS = 40;
const DATA_PACKETS = 8;
/** Time from the first SYN until the caller gives up, in ms. */
const DEADLINE_MS = 8_000;
/** Delay before unanswered data is sent again, in ms: the first one, which doubles, and the longest one. */
const FIRST_RETRANSMISSION_MS = 200;
const MAX_RETRANSMISSION_MS = 1_600;
/** Number of times that a back end repeats a SYN+ACK. */
const SYN_ACK_TRIES = 8;
const DATA_BYTES = 14;
const ANSWER_BYTES = 600;
/** One-way delay between the caller and a daemon, and between a daemon and a back end, in ms. */
const LINK_MS = 1;
/** Step of the virtual clock in ms while the caller waits for answers. */
const STEP_MS = 200;
const CALLER_PORT = 40_001;
/** Distance between the first sequence numbers of two back ends. */
const SEQUENCE_DISTANCE = 0x1000_0000;
const BACKEND_COUNT = 3;
/** Revision of the cordons; above that of the records. */
const CORDON_REVISION = 11;

/** A back end's view of the flow. */
interface BackendFlow {
  readonly firstSequence: number;
  nextSequence: number;
  /** Cookie of the last packet that the back end received. */
  cookie: number;
  /** Sequence numbers of the data that the back end received. */
  readonly received: Set<number>;
  /** True once the caller has acknowledged the SYN+ACK. */
  isAcknowledged: boolean;
}

/** A daemon of either build. */
interface ModelDaemon {
  /** Undefined for a daemon that neither asks nor answers peers. */
  readonly forwarder: CookieForwarder | undefined;
  deliver(packet: Partial<CookiePacket>): unknown;
  stop(): void;
}

/** Runs scenarios, each in a new cluster. */
export class OpeningModel {
  private readonly clock = new VirtualClock();
  private readonly daemons: ModelDaemon[];
  /** Daemons that receive no packets and messages. */
  private readonly downDaemons = new Set<number>();
  private readonly flows = new Map<string, BackendFlow>();
  private holder: string | undefined;
  private delivered = 0;
  private misdelivered = 0;
  /** Caller's state. */
  private cookie = 0;
  private acknowledgement = 0;
  private sentData = 0;
  private hasBeenReset = false;
  /** Numbers of the data packets that were answered. */
  private readonly answered = new Set<number>();
  private readonly pendingLosses: Set<LossyPacket>;

  private constructor(private readonly scenario: OpeningScenario) {
    this.pendingLosses = new Set(scenario.losses);
    this.daemons = Array.from({ length: BACKEND_COUNT }, (_unused, index) => this.startDaemon(index));
  }

  /** Plays a scenario to its end. */
  static play(scenario: OpeningScenario): OpeningOutcome {
    const model = new OpeningModel(scenario);
    return model.run();
  }

  private run(): OpeningOutcome {
    SYN_TIMES_MS.forEach((atMs, copy) => this.clock.schedule(atMs, () => this.sendSyn(copy)));
    for (const { atMs, daemon, staysDown } of this.scenario.kills) {
      this.clock.schedule(atMs, () => {
        this.restartDaemon(daemon);
        if (staysDown) this.downDaemons.add(daemon);
      });
    }
    for (const { atMs, daemon } of this.scenario.restarts ?? []) {
      this.clock.schedule(atMs, () => this.stopAndRestartDaemon(daemon));
    }
    this.clock.advance(ATTEMPT_TIMEOUT_MS + DATA_PACKETS * DATA_INTERVAL_MS);
    while (this.isUnfinished() && this.clock.now() < DEADLINE_MS) this.clock.advance(STEP_MS);
    for (const daemon of this.daemons) daemon.stop();
    const { holder, delivered, misdelivered } = this;
    const callerOutcome = this.callerOutcome();
    return { holder, placedAt: [...this.flows.keys()], delivered, misdelivered, callerOutcome };
  }

  private callerOutcome(): CallerOutcome {
    if (this.hasBeenReset) return 'reset';
    if (this.acknowledgement === 0) return 'no-handshake';
    return this.answered.size === DATA_PACKETS ? 'served' : 'waiting';
  }

  private isUnfinished(): boolean {
    return this.callerOutcome() === 'waiting';
  }

  /** Returns true for the first transmission of a packet that the scenario loses. */
  private isLost(packet: LossyPacket): boolean {
    return this.pendingLosses.delete(packet);
  }

  private startDaemon(index: number): ModelDaemon {
    return this.scenario.earlierBuilds?.includes(index)
      ? this.startEarlierBuild(index)
      : this.startForwarder(index);
  }

  private startEarlierBuild(index: number): EarlierBuildDaemon {
    const preferredId = idsOfBackends()[index] ?? '';
    return new EarlierBuildDaemon(backends(BACKEND_COUNT), preferredId, (backend, cookie, packet) =>
      this.clock.schedule(LINK_MS, () => this.receiveAtBackend(backend, { ...packet, cookie })),
    );
  }

  private startForwarder(index: number): ForwarderHarness {
    const openingPeers: OpeningPeers = {
      hasPeers: () => !this.scenario.areDaemonsIsolated,
      askAboutOpenings: (queries) => this.askPeers(index, queries),
      shareHandshakes: (records) => this.shareWithPeers(index, records),
    };
    const daemon = new ForwarderHarness(this.clock, 1, [], { openingPeers });
    daemon.onSent(CALLER_PORT, (backend, cookie, packet) =>
      this.clock.schedule(LINK_MS, () => {
        if (backend === undefined) this.hasBeenReset = true;
        else this.receiveAtBackend(backend, { ...packet, cookie });
      }),
    );
    const zones = idsOfBackends().map(zoneOfBackend);
    daemon.applyRecords(backendsInOwnZones());
    daemon.cordon(
      zones.filter((_zone, other) => other !== index),
      CORDON_REVISION,
    );
    return daemon;
  }

  /** Sends queries of a daemon to all others. A daemon that is down never answers. */
  private askPeers(asking: number, queries: readonly OpeningQuery[]): readonly string[] {
    const others = [...this.daemons.keys()].filter((index) => index !== asking);
    for (const peer of others) {
      for (const query of queries) this.clock.schedule(LINK_MS, () => this.answerQuery(peer, asking, query));
    }
    return others.map(String);
  }

  private shareWithPeers(sender: number, records: readonly HandshakeRecord[]): void {
    if (this.scenario.areDaemonsIsolated) return;
    for (const [peer, daemon] of this.daemons.entries()) {
      if (peer === sender || this.downDaemons.has(peer)) continue;
      for (const record of records)
        this.clock.schedule(LINK_MS, () => daemon.forwarder?.applyOpeningAnswer(record, String(sender)));
    }
  }

  private answerQuery(peer: number, asking: number, query: OpeningQuery): void {
    if (this.downDaemons.has(peer)) return;
    const answer = this.daemons[peer]?.forwarder?.answerOpeningQuery(query);
    if (!answer) return;
    this.clock.schedule(LINK_MS, () =>
      this.daemons[asking]?.forwarder?.applyOpeningAnswer(answer, String(peer)),
    );
  }

  /** The daemon forwards until what it hands over is on its way. */
  private stopAndRestartDaemon(index: number): void {
    this.daemons[index]?.forwarder?.handOver();
    this.clock.schedule(LINK_MS, () => this.restartDaemon(index));
  }

  private restartDaemon(index: number): void {
    this.daemons[index]?.stop();
    this.daemons[index] = this.startDaemon(index);
  }

  /** Returns the daemon that the router picks now, or undefined if that one is down. */
  private routedDaemon(): ModelDaemon | undefined {
    const nowMs = this.clock.now();
    const route = this.scenario.routes.findLast(({ fromMs }) => fromMs <= nowMs);
    const index = route?.daemon ?? 0;
    return this.downDaemons.has(index) ? undefined : this.daemons[index];
  }

  private sendSyn(copy: number): void {
    if (this.acknowledgement !== 0 || this.hasBeenReset) return;
    if (copy < SYN_NAMES.length && this.isLost(SYN_NAMES[copy] as LossyPacket)) return;
    this.send({ syn: true, retransmissionCount: copy });
  }

  private sendNextData(): void {
    if (this.sentData >= DATA_PACKETS) return;
    this.sendData(this.sentData, FIRST_RETRANSMISSION_MS);
    this.sentData += 1;
    this.clock.schedule(this.scenario.dataIntervalMs ?? DATA_INTERVAL_MS, () => this.sendNextData());
  }

  /** Sends the data packet `index` now and again after `retransmissionMs`, unless it is answered. */
  private sendData(index: number, retransmissionMs: number): void {
    if (this.answered.has(index) || this.hasBeenReset) return;
    this.clock.schedule(retransmissionMs, () =>
      this.sendData(index, Math.min(2 * retransmissionMs, MAX_RETRANSMISSION_MS)),
    );
    if (index < DATA_NAMES.length && this.isLost(DATA_NAMES[index] as LossyPacket)) return;
    const sequence = sequenceOfData(index);
    const { cookie, acknowledgement } = this;
    this.send({ ack: true, sequence, cookie, acknowledgement, payloadBytes: DATA_BYTES });
  }

  /** Sends a packet of the caller through the daemon that the router picks now. */
  private send(packet: Partial<CookiePacket>): void {
    const daemon = this.routedDaemon();
    this.clock.schedule(LINK_MS, () => daemon?.deliver({ ...packet, sourcePort: CALLER_PORT }));
  }

  private receiveAtBackend(id: string, packet: Partial<CookiePacket>): void {
    const { cookie = 0, acknowledgement = 0, sequence = 0 } = packet;
    if (packet.syn) return this.answerSyn(id, cookie);
    const flow = this.flows.get(id);
    const isAcknowledged = flow !== undefined && isSameBackend(acknowledgement, flow.firstSequence);
    if (isAcknowledged) {
      this.holder ??= id;
      flow.isAcknowledged = true;
    }
    if (this.holder === undefined) return;
    if (!isAcknowledged) this.misdelivered += 1;
    else this.answerData(flow, sequence, cookie);
  }

  private answerData(flow: BackendFlow, sequence: number, cookie: number): void {
    this.delivered += 1;
    flow.cookie = cookie;
    const isNew = !flow.received.has(sequence);
    flow.received.add(sequence);
    this.clock.schedule(this.scenario.answerMs, () => {
      if (isNew) flow.nextSequence += ANSWER_BYTES;
      this.receiveAtCaller(flow.nextSequence, flow.cookie);
      this.answered.add(indexOfData(sequence));
    });
  }

  private answerSyn(id: string, cookie: number): void {
    const index = idsOfBackends().indexOf(id);
    const firstSequence = (index + 1) * SEQUENCE_DISTANCE;
    const nextSequence = firstSequence + 1;
    const newFlow = {
      firstSequence,
      nextSequence,
      cookie,
      received: new Set<number>(),
      isAcknowledged: false,
    };
    const flow = this.flows.get(id) ?? newFlow;
    this.flows.set(id, flow);
    flow.cookie = cookie;
    if (this.scenario.repeatsSynAcks) this.repeatSynAck(index, flow, 0);
    if (this.isLost('first-syn-ack')) return;
    this.sendSynAck(index, flow);
  }

  private sendSynAck(index: number, { firstSequence, cookie }: BackendFlow): void {
    this.clock.schedule(this.scenario.handshakeMs[index] ?? 0, () =>
      this.receiveAtCaller(firstSequence + 1, cookie),
    );
  }

  private repeatSynAck(index: number, flow: BackendFlow, tries: number): void {
    if (tries >= SYN_ACK_TRIES) return;
    const waitMs = Math.min(FIRST_RETRANSMISSION_MS * 2 ** tries, MAX_RETRANSMISSION_MS);
    this.clock.schedule(waitMs, () => {
      if (flow.isAcknowledged) return;
      this.sendSynAck(index, flow);
      this.repeatSynAck(index, flow, tries + 1);
    });
  }

  private receiveAtCaller(nextSequence: number, cookie: number): void {
    const isFirst = this.acknowledgement === 0;
    if (this.hasBeenReset || (isFirst && this.clock.now() >= ATTEMPT_TIMEOUT_MS)) return;
    this.cookie = cookie;
    if (isFirst || isSameBackend(nextSequence, this.acknowledgement))
      this.acknowledgement = Math.max(this.acknowledgement, nextSequence);
    if (isFirst) this.sendNextData();
  }
}

/** Names of the caller's packets in `losses`, by number. */
const SYN_NAMES: readonly LossyPacket[] = ['first-syn', 'second-syn'];
const DATA_NAMES: readonly LossyPacket[] = ['first-data', 'second-data'];

/** Returns the sequence number of the data packet `index`. */
function sequenceOfData(index: number): number {
  return 2 + index * DATA_BYTES;
}

/** Returns the number of the data packet with this sequence number. */
function indexOfData(sequence: number): number {
  return (sequence - 2) / DATA_BYTES;
}

/** Returns true if both sequence numbers are of the same back end. */
function isSameBackend(left: number, right: number): boolean {
  return Math.abs(left - right) < SEQUENCE_DISTANCE / 2;
}

function idsOfBackends(): readonly string[] {
  return backends(BACKEND_COUNT).map(({ id }) => id);
}

function zoneOfBackend(id: string): string {
  return `zone-${id}`;
}

/** Returns records of back ends that are each alone in a zone, so that a daemon can cordon all but one. */
function backendsInOwnZones(): RoutedBackend[] {
  return backends(BACKEND_COUNT).map((record) => ({ ...record, zone: zoneOfBackend(record.id) }));
}
