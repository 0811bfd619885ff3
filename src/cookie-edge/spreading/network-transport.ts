/**
 * Network transport between daemons: datagrams over UDP, the state over HTTP on the same port number. Owns both
 * sockets; its caller encodes and decodes.
 */
import { createSocket, type Socket } from 'node:dgram';
import { createServer, get as httpGet, type IncomingMessage, type Server } from 'node:http';
import Result from 'true-myth/result';
import { numericLookup } from '../../common/numeric-lookup.js';
import type { Endpoint } from '../../common/types.js';
import type { EventLog } from '../../observability/event.js';
import { FETCH_TIMEOUT_MS, NOTHING_KNOWN } from './constants.js';
import { bindError, fetchError, type SpreadingError } from './errors.js';
import { SPREADING_EVENTS } from './events.js';
import type { DatagramReceiver, KnownRevisions, PeerTransport, StateProvider } from './types.js';

/** HTTP path of the state. The query carries the revisions that the requester knows. */
const STATE_PATH = '/state';
const CONTENT_TYPE = 'application/x-protobuf';

/** Maximum size in bytes of a fetched state. Bounds memory. */
const MAX_STATE_BYTES = 16_777_216;

/** UDP and HTTP sockets of one daemon. */
export class NetworkTransport implements PeerTransport {
  private receive: DatagramReceiver = () => undefined;
  private provideState: StateProvider = () => new Uint8Array();
  private isClosed = false;

  private constructor(
    private readonly socket: Socket,
    private readonly server: Server,
    readonly endpoint: Endpoint,
    private readonly events: EventLog,
  ) {
    socket.on('message', (bytes, remote) => this.receive(bytes, { host: remote.address, port: remote.port }));
    socket.on('error', (error) => this.reportSocketError(error));
    server.on('request', (request, response) => {
      const known = request.method === 'GET' ? parseKnownRevisions(request.url ?? '') : undefined;
      response.writeHead(known ? 200 : 404, { 'content-type': CONTENT_TYPE, connection: 'close' });
      response.end(known && this.provideState(known));
    });
  }

  /** Binds both sockets; with port 0 the kernel assigns a port. Throws `spreading.bind`. */
  static async open(address: Endpoint, events: EventLog): Promise<NetworkTransport> {
    const server = createServer();
    server.requestTimeout = FETCH_TIMEOUT_MS;
    try {
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject);
        server.listen(address.port, address.host, resolve);
      });
      const bound = server.address();
      const port = typeof bound === 'object' && bound ? bound.port : address.port;
      const endpoint = { host: address.host, port };
      const socket = createSocket({ type: 'udp4', lookup: numericLookup as never });
      await new Promise<void>((resolve, reject) => {
        socket.once('error', reject);
        socket.bind(port, address.host, resolve);
      });
      socket.removeAllListeners('error');
      return new NetworkTransport(socket, server, endpoint, events);
    } catch (cause) {
      server.close();
      throw bindError(address, cause);
    }
  }

  serve(receive: DatagramReceiver, provideState: StateProvider): void {
    this.receive = receive;
    this.provideState = provideState;
  }

  send(to: Endpoint, bytes: Uint8Array): void {
    if (this.isClosed) return;
    this.socket.send(bytes, to.port, to.host, (error) => {
      if (error) this.reportSocketError(error);
    });
  }

  async fetch(from: Endpoint, known: KnownRevisions): Promise<Result<Uint8Array, SpreadingError>> {
    const signal = AbortSignal.timeout(FETCH_TIMEOUT_MS);
    try {
      const response = await new Promise<IncomingMessage>((resolve, reject) => {
        const { host, port } = from;
        httpGet({ host, port, path: statePath(known), signal, agent: false }, resolve).once('error', reject);
      });
      if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`);
      return Result.ok(await readBody(response));
    } catch (cause) {
      return Result.err(fetchError(from, cause));
    }
  }

  async close(): Promise<void> {
    this.isClosed = true;
    this.server.closeAllConnections();
    await Promise.all([
      new Promise<void>((resolve) => this.server.close(() => resolve())),
      new Promise<void>((resolve) => this.socket.close(() => resolve())),
    ]);
  }

  private reportSocketError(error: Error): void {
    this.events.emit(SPREADING_EVENTS.socketFailed, { error: error.message });
  }
}

function statePath({ epoch = 0, routes, backends, cordons, table }: KnownRevisions): string {
  const revisions = `routes=${routes}&backends=${backends}&cordons=${cordons}&table=${table}`;
  return `${STATE_PATH}?${revisions}&epoch=${epoch}`;
}

/** Parses the revisions that a requester knows; undefined for any other path. Missing revisions count as unknown. */
function parseKnownRevisions(path: string): KnownRevisions | undefined {
  const [name, query] = path.split('?');
  if (name !== STATE_PATH) return undefined;
  const parameters = new URLSearchParams(query);
  const revisionOf = (topic: string): number => Number(parameters.get(topic) ?? NOTHING_KNOWN);
  return {
    epoch: Number(parameters.get('epoch') ?? 0),
    routes: revisionOf('routes'),
    backends: revisionOf('backends'),
    cordons: revisionOf('cordons'),
    table: revisionOf('table'),
  };
}

async function readBody(response: IncomingMessage): Promise<Uint8Array> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of response as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > MAX_STATE_BYTES) throw new RangeError(`the state is longer than ${MAX_STATE_BYTES} bytes`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
