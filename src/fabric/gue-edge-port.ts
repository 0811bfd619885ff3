/**
 * The edge over Generic UDP Encapsulation, variant 1: each datagram carries one bare IPv4 packet.
 *
 * Owns the sockets and the cache of sources. Relies on its handler, whose errors are logged and cost that packet only.
 */
import type { RemoteInfo } from 'node:dgram';
import type { Clock, TimerHandle } from '../common/clock.js';
import { SystemClock } from '../common/clock.js';
import type { Endpoint } from '../common/types.js';
import type { EventLog } from '../observability/event.js';
import { RELAY_HEADER_BYTES, RELAY_HOP_LIMIT, SOURCE_CACHE_MS } from './constants.js';
import { DataSockets } from './data-sockets.js';
import { FABRIC_EVENTS } from './events.js';
import { decodePacket, emptyPacketView } from './packet-decoder.js';
import { encodeRelayFrame, isRelayFrame, relayHops } from './relay-frame.js';
import { buildReset } from './segment-codec.js';
import { SourceCache, type Source, type SourceRules } from './source-cache.js';
import type { EdgeHandler, EdgePort, PacketView } from './types.js';

/** What an edge needs. `isPeer` and `isBackend` are asked about a source at most once in `SOURCE_CACHE_MS`. */
interface EdgePortOptions extends SourceRules {
  /** Local address of the data socket; port 0 lets the kernel choose. */
  readonly data: Endpoint;
  /** Where packets towards callers go. */
  readonly fabricReturn: Endpoint;
  readonly handler: EdgeHandler;
  readonly events: EventLog;
  readonly clock?: Clock;
}

/** An edge and the address it is bound to. */
export interface BoundEdgePort extends EdgePort {
  readonly endpoint: Endpoint;
}

class GueEdgePort implements BoundEdgePort {
  private readonly view = emptyPacketView();
  private readonly sources: SourceCache;
  private readonly clock: Clock;
  private sockets!: DataSockets;
  private expiry: TimerHandle | undefined;

  constructor(private readonly options: EdgePortOptions) {
    this.sources = new SourceCache(options);
    this.clock = options.clock ?? new SystemClock();
  }

  get endpoint(): Endpoint {
    return this.sockets.endpoint;
  }

  async start(): Promise<void> {
    const listener = (datagram: Buffer, source: RemoteInfo): void => this.receive(datagram, source);
    this.sockets = await DataSockets.bind(this.options.data, listener, this.options.events, this.clock);
    this.options.events.emit(FABRIC_EVENTS.edgeListening, { ...this.endpoint });
    this.armSourceExpiry();
  }

  sendToBackend(packet: PacketView, backend: Endpoint): void {
    this.sockets.send(packet.bytes, backend);
  }

  relay(packet: PacketView, balancer: Endpoint): void {
    const frame = encodeRelayFrame(packet.bytes, packet.hops + 1);
    if (frame) this.sockets.send(frame, balancer);
    else this.options.handler.onDrop('hop-limit');
  }

  sendReset(packet: PacketView): void {
    const reset = buildReset(packet);
    if (reset) this.sockets.send(reset, this.options.fabricReturn);
  }

  retain(packet: PacketView): PacketView {
    return { ...packet };
  }

  async close(): Promise<void> {
    this.expiry?.cancel();
    await this.sockets.close();
  }

  private armSourceExpiry(): void {
    this.expiry = this.clock.schedule(SOURCE_CACHE_MS, () => {
      this.sources.clear();
      this.armSourceExpiry();
    });
  }

  private receive(datagram: Buffer, remote: RemoteInfo): void {
    try {
      const source = this.sources.find(remote.address, remote.port);
      if (isRelayFrame(datagram)) this.receiveRelayed(datagram, source);
      else this.receiveBare(datagram, source);
    } catch (error) {
      this.options.events.emit(FABRIC_EVENTS.handlerFailed, { error: String(error) });
    }
  }

  private receiveBare(datagram: Buffer, source: Source): void {
    const { view } = this;
    const { handler } = this.options;
    view.hops = 0;
    view.relayedFrom = undefined;
    const fault = decodePacket(datagram, view);
    if (fault !== undefined) handler.onDrop(fault);
    else if (source.kind === 'backend') this.passReturn(view, source.endpoint);
    else handler.onForward(view);
  }

  private passReturn(view: PacketView, from: Endpoint): void {
    const consumed = this.options.handler.onReturn(view, from) === true;
    if (!consumed) this.sockets.send(view.bytes, this.options.fabricReturn);
  }

  private receiveRelayed(frame: Buffer, source: Source): void {
    const { view } = this;
    const { handler } = this.options;
    if (source.kind !== 'balancer') return handler.onDrop('unknown-peer');
    const hops = relayHops(frame);
    if (hops === undefined) return handler.onDrop('truncated');
    if (hops === 0 || hops > RELAY_HOP_LIMIT) return handler.onDrop('hop-limit');
    view.hops = hops;
    view.relayedFrom = source.endpoint;
    const fault = decodePacket(frame.subarray(RELAY_HEADER_BYTES), view);
    if (fault === undefined) handler.onForward(view);
    else handler.onDrop(fault);
  }
}

/** Binds the data socket and starts receiving. Throws `EdgeBindError`. */
export async function createEdgePort(options: EdgePortOptions): Promise<BoundEdgePort> {
  const port = new GueEdgePort(options);
  await port.start();
  return port;
}
