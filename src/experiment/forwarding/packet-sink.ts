/** A back end that answers SYNs, counts every other packet and records how long it was under way. */
import type { RemoteInfo } from 'node:dgram';
import type { Endpoint } from '../../common/types.js';
import { decodeSegment, encodeSegment } from '../../fabric/index.js';
import { LatencyRecorder } from '../../standin/caller/latency.js';
import { startControlServer } from '../../standin/common/control-server.js';
import { bindDatagramSocket, type DatagramSocket } from '../../standin/common/datagram-socket.js';
import { machineNowMs, TIMESTAMP_OFFSET } from './packet-sender.js';
import type { OpenedFlow, SinkCount } from './types.js';

const ANY_PORT = { host: '127.0.0.1', port: 0 };
/** Byte of the TCP flags after an IPv4 header of 20 bytes (RFC 9293). */
const FLAGS_OFFSET = 33;
const FLAG_SYN = 0x02;

/** One receiving process. */
export class PacketSink {
  private packets = 0;
  private latency = new LatencyRecorder();
  private readonly openedFlows = new Map<string, OpenedFlow>();
  private socket!: DatagramSocket;
  private server!: { readonly endpoint: Endpoint; close(): Promise<void> };

  static async start(): Promise<PacketSink> {
    const sink = new PacketSink();
    sink.socket = await bindDatagramSocket(ANY_PORT, (packet, source) => sink.receive(packet, source));
    sink.server = await startControlServer(ANY_PORT, (routes) => {
      routes.get('/health', () => ({ healthy: true }));
      routes.get('/load', () => ({ openFlows: 0, busySlots: 0, capacity: 1_000_000 }));
    });
    return sink;
  }

  get data(): Endpoint {
    return this.socket.endpoint;
  }

  /** HTTP address of its health and load endpoints. */
  get health(): Endpoint {
    return this.server.endpoint;
  }

  async close(): Promise<void> {
    await Promise.all([this.socket.close(), this.server.close()]);
  }

  count(): SinkCount {
    const { p50Ms, p99Ms } = this.latency.summary();
    this.latency = new LatencyRecorder();
    return { packets: this.packets, atMs: performance.now(), p50Ms, p99Ms };
  }

  opened(): readonly OpenedFlow[] {
    return [...this.openedFlows.values()];
  }

  private receive(packet: Buffer, source: RemoteInfo): void {
    if ((packet[FLAGS_OFFSET]! & FLAG_SYN) !== 0) {
      this.answerSyn(packet, { host: source.address, port: source.port });
      return;
    }
    this.packets += 1;
    const underWayMs = machineNowMs() - packet.readDoubleLE(TIMESTAMP_OFFSET);
    if (Number.isFinite(underWayMs)) this.latency.record(underWayMs);
  }

  private answerSyn(packet: Buffer, keeper: Endpoint): void {
    const syn = decodeSegment(packet);
    if (typeof syn === 'string') return;
    const { sourceAddress: address, sourcePort: port, destinationAddress, destinationPort } = syn;
    this.openedFlows.set(`${address}:${port}`, { address, port, keeper });
    const answer = encodeSegment({
      ...syn,
      sourceAddress: destinationAddress,
      sourcePort: destinationPort,
      destinationAddress: address,
      destinationPort: port,
      ack: true,
      acknowledgement: 1,
    });
    this.socket.send(answer, keeper);
  }
}
