/**
 * In-memory control channels between named nodes on a clock, with seeded faults, for tests and scale runs.
 *
 * Owns the messages on their way. Relies on the same budget and meter as the channel over UDP; it neither signs nor
 * checks for replays.
 */
import type { Clock } from '../../common/clock.js';
import type { RandomSource } from '../../common/random.js';
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import { ControlBudget } from '../control/budget.js';
import { DEFAULT_BUDGET_BYTES_PER_SECOND, PROTOCOL_VERSION_MAX } from '../control/constants.js';
import { messageWireBytes } from '../control/envelope.js';
import { ControlMeter, type MeterSnapshot } from '../control/meter.js';
import {
  MAX_CONTROL_PAYLOAD_BYTES,
  type ControlChannel,
  type ControlKind,
  type InboundControlMessage,
} from '../control/types.js';

/** Faults and delays; rates are 0–1. */
export interface SimulatedNetworkOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** One-way delay, uniform between the two, in ms; a span reorders messages. */
  readonly delayMs: readonly [min: number, max: number];
  readonly lossRate?: number;
  readonly duplicateRate?: number;
  readonly budgetBytesPerSecond?: number;
}

interface Delivery {
  readonly kind: ControlKind;
  readonly message: InboundControlMessage;
  readonly wireBytes: number;
}

/** A channel of the simulated network. */
export class SimulatedChannel implements ControlChannel {
  readonly byteMeter: ControlMeter;
  private readonly handlers = new Map<ControlKind, (message: InboundControlMessage) => void>();
  private readonly budget: ControlBudget;
  private readonly waiting: Delivery[] = [];
  private paused = false;
  private closed = false;

  constructor(
    private readonly network: SimulatedNetwork,
    readonly endpoint: Endpoint,
    readonly memberId: string,
    readonly incarnation: number,
  ) {
    const { clock, budgetBytesPerSecond } = network.options;
    this.byteMeter = new ControlMeter(clock);
    this.budget = new ControlBudget(clock, budgetBytesPerSecond ?? DEFAULT_BUDGET_BYTES_PER_SECOND);
  }

  send(to: Endpoint, kind: ControlKind, payload: Uint8Array): boolean {
    if (payload.length > MAX_CONTROL_PAYLOAD_BYTES) {
      throw new RangeError(`control payload of ${payload.length} bytes exceeds ${MAX_CONTROL_PAYLOAD_BYTES}`);
    }
    if (this.closed || this.paused) return false;
    const wireBytes = messageWireBytes(this.memberId, payload.length);
    if (!this.budget.take(kind, wireBytes)) {
      this.byteMeter.countDeferred(kind);
      return false;
    }
    this.byteMeter.countOut(kind, wireBytes);
    const message = {
      senderId: this.memberId,
      senderIncarnation: this.incarnation,
      from: this.endpoint,
      payload,
      protocolVersion: PROTOCOL_VERSION_MAX,
    };
    this.network.transmit(this, to, { kind, message, wireBytes });
    return true;
  }

  handle(kind: ControlKind, handler: (message: InboundControlMessage) => void): void {
    this.handlers.set(kind, handler);
  }

  availableBytesPerSecond(): number {
    return Math.max(0, this.budget.bytesPerSecond - this.byteMeter.bytesOutPerSecond());
  }

  meter(): MeterSnapshot {
    return this.byteMeter.snapshot();
  }

  /** Stops sending and keeps what arrives, like a socket buffer of a process that does not run. */
  pause(): void {
    this.paused = true;
  }

  /** Delivers what arrived meanwhile, then goes on as usual. */
  resume(): void {
    this.paused = false;
    for (const delivery of this.waiting.splice(0)) this.deliver(delivery);
  }

  /** Ends the channel at once, as a crash does. */
  close(): void {
    this.closed = true;
    this.network.remove(this);
  }

  /** Called by the network when a message arrives. */
  deliver(delivery: Delivery): void {
    if (this.closed) return;
    if (this.paused) {
      this.waiting.push(delivery);
      return;
    }
    this.byteMeter.countIn(delivery.kind, delivery.wireBytes);
    this.handlers.get(delivery.kind)?.(delivery.message);
  }
}

/** The network itself. Nodes are named by member id. */
export class SimulatedNetwork {
  private readonly channels = new Map<string, SimulatedChannel>();
  private cuts: { readonly left: ReadonlySet<string>; readonly right: ReadonlySet<string> }[] = [];

  constructor(readonly options: SimulatedNetworkOptions) {}

  /** Opens a channel; a later one at the same endpoint takes its place, as after a restart. */
  channel(endpoint: Endpoint, memberId: string, incarnation: number): SimulatedChannel {
    const channel = new SimulatedChannel(this, endpoint, memberId, incarnation);
    this.channels.set(formatEndpoint(endpoint), channel);
    return channel;
  }

  /** Drops every message between the two groups of member ids, both ways, until `heal`. */
  partition(groupA: Iterable<string>, groupB: Iterable<string>): void {
    this.cuts.push({ left: new Set(groupA), right: new Set(groupB) });
  }

  /** Ends all partitions. */
  heal(): void {
    this.cuts = [];
  }

  /** Forgets a closed channel. */
  remove(channel: SimulatedChannel): void {
    const key = formatEndpoint(channel.endpoint);
    if (this.channels.get(key) === channel) this.channels.delete(key);
  }

  /** Carries one message, with the configured faults. */
  transmit(sender: SimulatedChannel, to: Endpoint, delivery: Delivery): void {
    const { random, lossRate = 0, duplicateRate = 0 } = this.options;
    if (random() < lossRate) return;
    this.deliverLater(sender, to, delivery);
    if (random() < duplicateRate) this.deliverLater(sender, to, delivery);
  }

  private deliverLater(sender: SimulatedChannel, to: Endpoint, delivery: Delivery): void {
    const { clock, random, delayMs } = this.options;
    const [minMs, maxMs] = delayMs;
    clock.schedule(minMs + (maxMs - minMs) * random(), () => {
      const receiver = this.channels.get(formatEndpoint(to));
      if (receiver && !this.isCut(sender.memberId, receiver.memberId)) receiver.deliver(delivery);
    });
  }

  private isCut(left: string, right: string): boolean {
    return this.cuts.some(
      (cut) => (cut.left.has(left) && cut.right.has(right)) || (cut.left.has(right) && cut.right.has(left)),
    );
  }
}
