/**
 * HTTP admin address of a daemon: `/metrics`, `/livez`, `/readyz` and `/status`, read with GET or HEAD. A daemon that
 * takes faults on demand has `PUT /faults` besides.
 *
 * Owns the HTTP server. Relies on its source for every value, and judges none.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { formatEndpoint, type Endpoint } from '../common/types.js';
import { ADMIN_MAX_BODY_BYTES, ADMIN_MAX_CONNECTIONS, ADMIN_REQUEST_TIMEOUT_MS } from './constants.js';
import { ObservabilityError } from './errors.js';

/** Whether new flows may come here, and if not, why. */
export interface Readiness {
  readonly ready: boolean;
  /** One entry for each thing that is missing; empty when ready. */
  readonly reasons: readonly string[];
}

/** `/status` shows everything, `/status?view=summary` a shorter view. */
export type StatusView = 'full' | 'summary';

/** What the admin server shows; asked anew at each request. */
export interface AdminSource {
  readiness(): Readiness;
  /** A JSON value; `summary` is the shorter view. */
  status(view: StatusView): unknown;
  metrics(): Promise<{ readonly contentType: string; readonly text: string }>;
  /** Takes the JSON body of `PUT /faults`; throws when it is malformed. Absent: there is no such page. */
  setFaults?: (body: unknown) => void;
}

interface Answer {
  readonly code: number;
  readonly contentType: string;
  readonly body: string;
}

const JSON_TYPE = 'application/json; charset=utf-8';

/** The admin server of one daemon. */
export class AdminServer {
  private constructor(
    private readonly server: Server,
    /** The address that was bound. */
    readonly endpoint: Endpoint,
  ) {}

  /** Binds `endpoint` (port 0: the kernel chooses). Throws `observability.admin-bind`. */
  static async listen(endpoint: Endpoint, source: AdminSource): Promise<AdminServer> {
    const server = createServer((request, response) => void serve(source, request, response));
    server.requestTimeout = ADMIN_REQUEST_TIMEOUT_MS;
    server.maxConnections = ADMIN_MAX_CONNECTIONS;
    await bind(server, endpoint);
    const { port } = server.address() as AddressInfo;
    return new AdminServer(server, { host: endpoint.host, port });
  }

  /** Stops listening and ends open connections. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    this.server.closeAllConnections();
    await closed;
  }
}

async function bind(server: Server, endpoint: Endpoint): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(endpoint.port, endpoint.host, resolve);
  }).catch((cause: Error) => {
    throw new ObservabilityError(
      'observability.admin-bind',
      `cannot bind the admin address ${formatEndpoint(endpoint)}: ${cause.message}`,
      'Choose a free address of this machine',
      { cause },
    );
  });
}

async function serve(source: AdminSource, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const answer = await route(source, request).catch((error: unknown): Answer =>
    json(500, { error: error instanceof Error ? error.message : String(error) }),
  );
  response.writeHead(answer.code, { 'content-type': answer.contentType, 'cache-control': 'no-store' });
  response.end(request.method === 'HEAD' ? undefined : answer.body);
}

async function route(source: AdminSource, request: IncomingMessage): Promise<Answer> {
  const [path, query] = (request.url ?? '/').split('?', 2);
  if (path === '/faults' && source.setFaults) return setFaults(source.setFaults, request);
  if (request.method !== 'GET' && request.method !== 'HEAD') return json(405, { error: 'use GET or HEAD' });
  return page(source, path, query);
}

async function page(
  source: AdminSource,
  path: string | undefined,
  query: string | undefined,
): Promise<Answer> {
  switch (path) {
    case '/livez':
      return json(200, { alive: true });
    case '/readyz': {
      const readiness = source.readiness();
      return json(readiness.ready ? 200 : 503, readiness);
    }
    case '/status':
      return json(200, source.status(query === 'view=summary' ? 'summary' : 'full'));
    case '/metrics': {
      const { contentType, text } = await source.metrics();
      return { code: 200, contentType, body: text };
    }
    default:
      return json(404, { error: `no such page; there are /livez, /readyz, /status and /metrics` });
  }
}

async function setFaults(apply: (body: unknown) => void, request: IncomingMessage): Promise<Answer> {
  if (request.method !== 'PUT') return json(405, { error: 'use PUT' });
  try {
    apply(JSON.parse(await readBody(request)));
    return json(200, { applied: true });
  } catch (error) {
    return json(400, { error: error instanceof Error ? error.message : String(error) });
  }
}

async function readBody(request: IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const part of request as AsyncIterable<Buffer>) {
    bytes += part.length;
    if (bytes > ADMIN_MAX_BODY_BYTES)
      throw new RangeError(`the body is longer than ${ADMIN_MAX_BODY_BYTES} bytes`);
    parts.push(part);
  }
  return Buffer.concat(parts).toString('utf8');
}

function json(code: number, value: unknown): Answer {
  return { code, contentType: JSON_TYPE, body: `${JSON.stringify(value)}\n` };
}
