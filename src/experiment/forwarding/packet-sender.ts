/** Sends packets of open flows at a steady rate, stamped with the time of sending. */
import { createSocket, type Socket } from 'node:dgram';
import { once } from 'node:events';
import type { Endpoint } from '../../common/types.js';
import { SOCKET_BUFFER_BYTES } from '../../fabric/constants.js';
import { encodeSegment, parseIpv4 } from '../../fabric/index.js';
import { OPEN_BURST, SERVICE_ADDRESS } from './constants.js';
import type { FlowAddress, SendOrder } from './types.js';

/** IPv4 and TCP headers without options. */
const HEADERS_BYTES = 40;
const NANOSECONDS_PER_MS = 1e6;
const MS_PER_SECOND = 1_000;
/** Pause after each burst of SYNs, ms. Balancers read a burst meanwhile. */
const OPEN_BURST_PAUSE_MS = 5;
/** Most packets sent before other work of the process runs. The burst of openings, OPEN_BURST. */
const BATCH = 64;

/** Where the monotonic time of sending (ms, a double) stands in a packet. */
export const TIMESTAMP_OFFSET = HEADERS_BYTES;

/** Monotonic ms that all processes of a machine share. */
export function machineNowMs(): number {
  return Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS;
}

function packetOf(flow: FlowAddress, syn: boolean, packetBytes: number): Buffer {
  return encodeSegment({
    sourceAddress: flow.address,
    sourcePort: flow.port,
    destinationAddress: parseIpv4(SERVICE_ADDRESS.host),
    destinationPort: SERVICE_ADDRESS.port,
    syn,
    ack: !syn,
    fin: false,
    rst: false,
    sequence: syn ? 0 : 1,
    acknowledgement: syn ? 0 : 1,
    payload: Buffer.alloc(packetBytes - HEADERS_BYTES),
  });
}

/** An order that is being carried out. */
interface RunningOrder {
  readonly socket: Socket;
  /** Sent in turn. */
  readonly packets: readonly Buffer[];
  readonly packetsPerSecond: number;
  /** Value of `PacketSender.run` that the order was begun with. */
  readonly run: number;
  /** Monotonic ms. */
  readonly startedAtMs: number;
}

/** One sending process. */
export class PacketSender {
  private sent = 0;
  /** Rises with each order; a loop of an earlier order ends. */
  private run = 0;

  private constructor(
    private readonly shared: Socket,
    readonly endpoint: Endpoint,
  ) {}

  static async start(): Promise<PacketSender> {
    const socket = createSocket('udp4');
    socket.bind(0, '127.0.0.1');
    await once(socket, 'listening');
    return new PacketSender(socket, { host: '127.0.0.1', port: socket.address().port });
  }

  async open(order: Pick<SendOrder, 'target' | 'flows'>): Promise<null> {
    for (const [index, flow] of order.flows.entries()) {
      this.shared.send(packetOf(flow, true, HEADERS_BYTES), order.target.port, order.target.host);
      if (index % OPEN_BURST !== OPEN_BURST - 1) continue;
      await new Promise((resolve) => setTimeout(resolve, OPEN_BURST_PAUSE_MS));
    }
    return null;
  }

  async send(order: SendOrder): Promise<null> {
    this.run += 1;
    this.sent = 0;
    const socket = createSocket('udp4');
    socket.connect(order.target.port, order.target.host);
    await once(socket, 'connect');
    socket.on('error', () => undefined);
    socket.setSendBufferSize(SOCKET_BUFFER_BYTES);
    const packets = order.flows.map((flow) => packetOf(flow, false, order.packetBytes));
    const { packetsPerSecond } = order;
    this.loop({ socket, packets, packetsPerSecond, run: this.run, startedAtMs: machineNowMs() });
    return null;
  }

  stop(): number {
    this.run += 1;
    return this.sent;
  }

  /** Stops and releases the socket. */
  close(): void {
    this.stop();
    this.shared.close();
  }

  private loop(order: RunningOrder): void {
    const { socket, packets, packetsPerSecond, run, startedAtMs } = order;
    if (run !== this.run) {
      socket.close();
      return;
    }
    const due = ((machineNowMs() - startedAtMs) * packetsPerSecond) / MS_PER_SECOND;
    const batch = Math.min(BATCH, due - this.sent);
    for (let count = 0; count < batch; count += 1) {
      const packet = packets[this.sent % packets.length]!;
      packet.writeDoubleLE(machineNowMs(), TIMESTAMP_OFFSET);
      socket.send(packet);
      this.sent += 1;
    }
    setImmediate(() => this.loop(order));
  }
}
