/**
 * Plays the opening of one flow through several daemons on one virtual clock. Each daemon may place the flow at one
 * back end only, a different one for each daemon, so that every second placement is a conflict. The caller follows the
 * platform's protocol: it acknowledges the first SYN+ACK and repeats the cookie that it received last.
 */
import { VirtualClock } from '../../common/clock.js';
import type { CookiePacket } from '../../fabric/cookie-edge.js';
import type { RoutedBackend } from '../routing/index.js';
import { backends, ForwarderHarness } from './cookie-test-support.js';

/** Fate of one opening. Times are ms after the first SYN was sent. */
export interface OpeningScenario {
  /** Daemons that the router picks one after the other, each from a time on. The first one is picked from the start. */
  readonly routes: readonly { readonly fromMs: number; readonly daemon: number }[];
  /** Time from a SYN at a back end until its SYN+ACK reaches the caller, by back end. */
  readonly handshakeMs: readonly number[];
  /** Time from data at a back end until its answer reaches the caller. */
  readonly answerMs: number;
  /** Daemons that lose their memory: each is killed and started again at this time. */
  readonly kills: readonly { readonly atMs: number; readonly daemon: number }[];
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
}

const SYN_TIMES_MS = [0, 200, 600];
const ATTEMPT_TIMEOUT_MS = 1_400;
const DATA_INTERVAL_MS = 40;
const DATA_PACKETS = 8;
const DATA_BYTES = 14;
const ANSWER_BYTES = 600;
/** One-way delay between the caller and a daemon, and between a daemon and a back end, in ms. */
const LINK_MS = 1;
const CALLER_PORT = 40_001;
/** Distance between the first sequence numbers of two back ends. */
const SEQUENCE_DISTANCE = 0x1000_0000;
const BACKEND_COUNT = 3;

/** A back end's view of the flow. */
interface BackendFlow {
  readonly firstSequence: number;
  nextSequence: number;
  /** Cookie of the last packet that the back end received. */
  cookie: number;
}

/** Runs scenarios, each in a new cluster. */
export class OpeningModel {
  private readonly clock = new VirtualClock();
  private readonly daemons: ForwarderHarness[];
  private readonly flows = new Map<string, BackendFlow>();
  private holder: string | undefined;
  private delivered = 0;
  private misdelivered = 0;
  /** Caller's state. */
  private cookie = 0;
  private acknowledgement = 0;
  private sentData = 0;

  private constructor(private readonly scenario: OpeningScenario) {
    this.daemons = Array.from({ length: BACKEND_COUNT }, (_unused, index) => this.startDaemon(index));
  }

  /** Plays a scenario to its end. */
  static play(scenario: OpeningScenario): OpeningOutcome {
    const model = new OpeningModel(scenario);
    return model.run();
  }

  private run(): OpeningOutcome {
    SYN_TIMES_MS.forEach((atMs, copy) => this.clock.schedule(atMs, () => this.sendSyn(copy)));
    for (const { atMs, daemon } of this.scenario.kills) {
      this.clock.schedule(atMs, () => this.restartDaemon(daemon));
    }
    this.clock.advance(ATTEMPT_TIMEOUT_MS + DATA_PACKETS * DATA_INTERVAL_MS);
    for (const daemon of this.daemons) daemon.stop();
    const { holder, delivered, misdelivered } = this;
    return { holder, placedAt: [...this.flows.keys()], delivered, misdelivered };
  }

  private startDaemon(index: number): ForwarderHarness {
    return new ForwarderHarness(this.clock).applyRecords(onlyEligible(index));
  }

  private restartDaemon(index: number): void {
    this.daemons[index]?.stop();
    this.daemons[index] = this.startDaemon(index);
  }

  private routedDaemon(): ForwarderHarness {
    const nowMs = this.clock.now();
    const route = this.scenario.routes.findLast(({ fromMs }) => fromMs <= nowMs);
    return this.daemons[route?.daemon ?? 0] as ForwarderHarness;
  }

  private sendSyn(copy: number): void {
    if (this.acknowledgement === 0) this.send({ syn: true, retransmissionCount: copy });
  }

  private sendData(): void {
    if (this.sentData >= DATA_PACKETS) return;
    const sequence = 2 + this.sentData * DATA_BYTES;
    this.sentData += 1;
    const { cookie, acknowledgement } = this;
    this.send({ ack: true, sequence, cookie, acknowledgement, payloadBytes: DATA_BYTES });
    this.clock.schedule(DATA_INTERVAL_MS, () => this.sendData());
  }

  /** Sends a packet of the caller through the daemon that the router picks now. */
  private send(packet: Partial<CookiePacket>): void {
    const daemon = this.routedDaemon();
    this.clock.schedule(LINK_MS, () => {
      const sent = daemon.deliver({ ...packet, sourcePort: CALLER_PORT });
      const { backend, cookie } = sent ?? {};
      if (backend === undefined || cookie === undefined) return;
      this.clock.schedule(LINK_MS, () => this.receiveAtBackend(backend, { ...packet, cookie }));
    });
  }

  private receiveAtBackend(id: string, packet: Partial<CookiePacket>): void {
    const { cookie = 0, acknowledgement = 0 } = packet;
    if (packet.syn) return this.answerSyn(id, cookie);
    const flow = this.flows.get(id);
    const isAcknowledged = flow !== undefined && isSameBackend(acknowledgement, flow.firstSequence);
    if (isAcknowledged) this.holder ??= id;
    if (this.holder === undefined) return;
    if (!isAcknowledged) this.misdelivered += 1;
    else this.answerData(flow, cookie);
  }

  private answerData(flow: BackendFlow, cookie: number): void {
    this.delivered += 1;
    flow.cookie = cookie;
    this.clock.schedule(this.scenario.answerMs, () => {
      flow.nextSequence += ANSWER_BYTES;
      this.receiveAtCaller(flow.nextSequence, flow.cookie);
    });
  }

  private answerSyn(id: string, cookie: number): void {
    const index = idsOfBackends().indexOf(id);
    const firstSequence = (index + 1) * SEQUENCE_DISTANCE;
    const flow = this.flows.get(id) ?? { firstSequence, nextSequence: firstSequence + 1, cookie };
    this.flows.set(id, flow);
    flow.cookie = cookie;
    this.clock.schedule(this.scenario.handshakeMs[index] ?? 0, () =>
      this.receiveAtCaller(firstSequence + 1, cookie),
    );
  }

  private receiveAtCaller(nextSequence: number, cookie: number): void {
    const isFirst = this.acknowledgement === 0;
    if (isFirst && this.clock.now() >= ATTEMPT_TIMEOUT_MS) return;
    this.cookie = cookie;
    if (isFirst || isSameBackend(nextSequence, this.acknowledgement))
      this.acknowledgement = Math.max(this.acknowledgement, nextSequence);
    if (isFirst) this.sendData();
  }
}

/** Returns true if both sequence numbers are of the same back end. */
function isSameBackend(left: number, right: number): boolean {
  return Math.abs(left - right) < SEQUENCE_DISTANCE / 2;
}

function idsOfBackends(): readonly string[] {
  return backends(BACKEND_COUNT).map(({ id }) => id);
}

/** Returns records in which all back ends but one are draining. */
function onlyEligible(index: number): RoutedBackend[] {
  return backends(BACKEND_COUNT).map((record, other) => ({ ...record, draining: other !== index }));
}
