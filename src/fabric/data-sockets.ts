/**
 * The UDP sockets of the edge. All share one local address. A destination gets a socket connected to it, which
 * makes sending cheaper and reports an unreachable destination; beyond `MAX_CONNECTED_SOCKETS` the shared socket
 * sends. The kernel hands a datagram to the socket connected to its source, else to the shared one.
 */
import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import type { Clock } from '../common/clock.js';
import { numericLookup } from '../common/numeric-lookup.js';
import type { Endpoint } from '../common/types.js';
import type { EventLog } from '../observability/event.js';
import { MAX_CONNECTED_SOCKETS, SOCKET_BUFFER_BYTES } from './constants.js';
import { EdgeBindError } from './errors.js';
import { SocketErrorReporter } from './socket-error-reporter.js';

/** Receives every datagram of every socket. */
type DatagramListener = (datagram: Buffer, source: RemoteInfo) => void;

function openSocket(): Socket {
  return createSocket({ type: 'udp4', reuseAddr: true, lookup: numericLookup as never });
}

function bindSocket(socket: Socket, address: Endpoint): Promise<void> {
  return new Promise<void>((resolve, reject) => {
    socket.once('error', (cause) => reject(new EdgeBindError(address, cause)));
    socket.bind({ address: address.host, port: address.port, exclusive: true }, resolve);
  });
}

/** Sockets that share an address can't tell that another process has it too, so a plain bind tries it first. */
async function checkAddressFree(address: Endpoint): Promise<void> {
  const trial = createSocket({ type: 'udp4' });
  await bindSocket(trial, address);
  await new Promise<void>((resolve) => trial.close(() => resolve()));
}

function enlargeBuffers(socket: Socket): void {
  socket.setRecvBufferSize(SOCKET_BUFFER_BYTES);
  socket.setSendBufferSize(SOCKET_BUFFER_BYTES);
}

/** Shared and connected sockets on one local address. */
export class DataSockets {
  private readonly connected = new Map<string, Map<number, Socket>>();
  private readonly sockets = new Set<Socket>();
  private connectedCount = 0;

  private constructor(
    private readonly shared: Socket,
    readonly endpoint: Endpoint,
    private readonly listener: DatagramListener,
    private readonly errors: SocketErrorReporter,
  ) {
    this.adopt(shared);
  }

  /** Binds the shared socket (port 0: the kernel chooses). Throws `EdgeBindError`. */
  static async bind(
    address: Endpoint,
    listener: DatagramListener,
    events: EventLog,
    clock: Clock,
  ): Promise<DataSockets> {
    await checkAddressFree(address);
    const socket = openSocket();
    await bindSocket(socket, address);
    socket.removeAllListeners('error');
    const endpoint = { host: address.host, port: socket.address().port };
    return new DataSockets(socket, endpoint, listener, new SocketErrorReporter(events, clock));
  }

  /** Sends one datagram; a failure is logged and the datagram lost. */
  send(datagram: Buffer, to: Endpoint): void {
    const socket = this.connected.get(to.host)?.get(to.port) ?? this.connect(to);
    try {
      if (socket) socket.send(datagram);
      else this.shared.send(datagram, to.port, to.host);
    } catch (error) {
      this.errors.report(error, to);
    }
  }

  async close(): Promise<void> {
    const closing = [...this.sockets].map(
      (socket) => new Promise<void>((resolve) => socket.close(() => resolve())),
    );
    this.sockets.clear();
    this.connected.clear();
    await Promise.all(closing);
  }

  private connect(to: Endpoint): Socket | undefined {
    if (this.connectedCount >= MAX_CONNECTED_SOCKETS || !this.sockets.has(this.shared)) return undefined;
    this.connectedCount += 1;
    const socket = openSocket();
    this.adopt(socket, to);
    socket.bind({ address: this.endpoint.host, port: this.endpoint.port, exclusive: true });
    socket.once('connect', () => this.store(to, socket));
    try {
      socket.connect(to.port, to.host);
    } catch (error) {
      this.errors.reportConnect(error, to);
    }
    return this.connected.get(to.host)?.get(to.port);
  }

  private store(to: Endpoint, socket: Socket): void {
    const ports = this.connected.get(to.host) ?? new Map<number, Socket>();
    this.connected.set(to.host, ports.set(to.port, socket));
  }

  private adopt(socket: Socket, destination?: Endpoint): void {
    this.sockets.add(socket);
    socket.on('message', this.listener);
    socket.on('error', (error) => this.errors.report(error, destination));
    socket.on('listening', () => enlargeBuffers(socket));
    if (!destination) enlargeBuffers(socket);
  }
}
