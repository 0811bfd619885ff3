/**
 * Plays the opening of one flow through several daemons on one virtual clock. Each daemon may place the flow at one
 * back end only, a different one for each daemon, so that every second placement is a conflict. The caller follows the
 * platform's protocol: it acknowledges the first SYN+ACK, repeats the cookie that it received last, and retransmits
 * data that is not answered.
 */
import { VirtualClock } from '../../common/clock.js';
import type { CookiePacket } from '../../fabric/cookie-edge.js';
import { CALLER_PORT, idsOfBackends, LINK_MS, ModelDaemons } from './opening-model-daemons-test-support.js';

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
/** Step of the virtual clock in ms while the caller waits for answers. */
const STEP_MS = 200;
/** Distance between the first sequence numbers of two back ends. */
const SEQUENCE_DISTANCE = 0x1000_0000;

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

/** Runs scenarios, each in a new cluster. */
export class OpeningModel {
  private readonly clock = new VirtualClock();
  private readonly daemons: ModelDaemons;
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
    this.daemons = new ModelDaemons(this.clock, scenario, {
      onReset: () => {
        this.hasBeenReset = true;
      },
      receiveAtBackend: (backend, packet) => this.receiveAtBackend(backend, packet),
    });
  }

  /** Plays a scenario to its end. */
  static play(scenario: OpeningScenario): OpeningOutcome {
    const model = new OpeningModel(scenario);
    return model.run();
  }

  private run(): OpeningOutcome {
    SYN_TIMES_MS.forEach((atMs, copy) => this.clock.schedule(atMs, () => this.sendSyn(copy)));
    this.daemons.scheduleFaults();
    this.clock.advance(ATTEMPT_TIMEOUT_MS + DATA_PACKETS * DATA_INTERVAL_MS);
    while (this.isUnfinished() && this.clock.now() < DEADLINE_MS) this.clock.advance(STEP_MS);
    this.daemons.stop();
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
    const daemon = this.daemons.routedDaemon();
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
