/** The admin address: pages with their answers, and the fields of both daemons' status documents. */
import type { Server } from 'node:http';
import { Server as NetServer } from 'node:net';
import ts from 'typescript';
import type { CookieDaemonStatus } from '../../src/cookie-edge/daemon/status.js';
import type { DaemonStatus, DaemonSummary } from '../../src/gue-edge/daemon/status.js';
import { AdminServer, type AdminSource } from '../../src/observability/admin-server.js';
import { aliasedType, sourceProgram } from './operator-source.js';

/** What `/status` of the daemon shows. */
export type FullDocument = DaemonStatus;
/** What `/status?view=summary` of the daemon shows. */
export type SummaryDocument = DaemonSummary;
/** What `/status` of a daemon on a cookie edge shows. */
export type CookieDocument = CookieDaemonStatus;

const MAX_DEPTH = 8;

/** Paths of a document's fields, each with what stands there; `?` marks a field that may be missing. */
function fieldsOf(alias: string): Record<string, string> {
  const found: Record<string, string> = {};
  note(aliasedType(import.meta.url, alias), '', found, 0);
  return Object.fromEntries(Object.entries(found).sort(([left], [right]) => (left < right ? -1 : 1)));
}

function note(type: ts.Type, path: string, found: Record<string, string>, depth: number): void {
  const checker = sourceProgram().getTypeChecker();
  const plain = checker.getNonNullableType(type);
  const scalar = scalarName(plain);
  if (scalar !== undefined || depth > MAX_DEPTH) {
    found[path] = scalar ?? 'object';
    return;
  }
  const element = checker.isArrayType(plain) || checker.isTupleType(plain) ? itemType(plain) : undefined;
  if (element) return note(element, `${path}[]`, found, depth + 1);
  const indexed = plain.getStringIndexType() ?? plain.getNumberIndexType();
  if (indexed) note(indexed, `${path}.*`, found, depth + 1);
  for (const property of checker.getPropertiesOfType(plain)) {
    const inner = checker.getTypeOfSymbol(property);
    const mark = canBeMissing(property, inner) ? '?' : '';
    const separator = path === '' ? '' : '.';
    note(inner, `${path}${separator}${property.name}${mark}`, found, depth + 1);
  }
}

function itemType(type: ts.Type): ts.Type | undefined {
  return sourceProgram().getTypeChecker().getIndexTypeOfType(type, ts.IndexKind.Number);
}

function canBeMissing(property: ts.Symbol, type: ts.Type): boolean {
  const parts = type.isUnion() ? type.types : [type];
  return (
    (property.flags & ts.SymbolFlags.Optional) !== 0 ||
    parts.some((part) => (part.flags & ts.TypeFlags.Undefined) !== 0)
  );
}

/** Name of a type without fields, literals of a union sorted; undefined for objects. */
function scalarName(type: ts.Type): string | undefined {
  if (type.flags & ts.TypeFlags.BooleanLike) return 'boolean';
  if (type.isUnion()) {
    const names = type.types.map(scalarName);
    return names.includes(undefined) ? undefined : [...new Set(names)].sort().join(' | ');
  }
  if (type.isIntersection()) return type.types.map(scalarName).find((name) => name !== undefined);
  if (type.isLiteral()) return JSON.stringify(type.value);
  if (type.flags & ts.TypeFlags.StringLike) return 'string';
  if (type.flags & ts.TypeFlags.NumberLike) return 'number';
  return type.flags & ts.TypeFlags.Any ? 'any' : undefined;
}

const SOURCE: AdminSource = {
  readiness: () => ({ ready: false, reasons: ['reason'] }),
  status: (view) => ({ view }),
  metrics: async () => ({ contentType: 'text/plain', text: 'metrics' }),
  setFaults: () => undefined,
};

/** The admin server of `SOURCE`; its listening is left out, so that no socket is opened. */
async function silentServer(): Promise<Server> {
  const servers: Server[] = [];
  const listen = Object.getOwnPropertyDescriptor(NetServer.prototype, 'listen');
  const fake = function (this: Server, ...given: unknown[]): Server {
    servers.push(this);
    this.address = () => ({ address: '127.0.0.1', family: 'IPv4', port: 1 });
    (given.at(-1) as () => void)();
    return this;
  };
  Object.defineProperty(NetServer.prototype, 'listen', { ...listen, value: fake });
  const listening = AdminServer.listen({ host: '127.0.0.1', port: 0 }, SOURCE);
  if (listen) Object.defineProperty(NetServer.prototype, 'listen', listen);
  await listening;
  const [server] = servers;
  if (!server) throw new Error('The admin server does not listen');
  return server;
}

/** Code, type and JSON fields of the answer to one request. */
function ask(server: Server, method: string, url: string): Promise<unknown> {
  return new Promise((resolve) => {
    let head: unknown[] = [];
    const response = {
      writeHead: (...given: unknown[]) => void (head = given),
      end: (body?: string) => resolve({ method, url, head, body: pageBody(body) }),
    };
    const request = {
      method,
      url,
      async *[Symbol.asyncIterator]() {
        yield Buffer.from('{}');
      },
    };
    server.emit('request', request, response);
  });
}

/** Error texts may be reworded. */
function pageBody(body: string | undefined): unknown {
  if (!body?.startsWith('{')) return body;
  const document = JSON.parse(body) as Record<string, unknown>;
  return 'error' in document ? { error: 'text' } : document;
}

const REQUESTS = [
  ...['/livez', '/readyz', '/status', '/status?view=summary', '/metrics', '/faults', '/', '/healthz'].flatMap(
    (url) => ['GET', 'HEAD', 'PUT', 'POST'].map((method) => [method, url] as const),
  ),
];

/** Pages of the admin address. */
export async function adminPages(): Promise<unknown> {
  const server = await silentServer();
  return Promise.all(REQUESTS.map(([method, url]) => ask(server, method, url)));
}

/** Fields of the status documents. */
export async function statusDocuments(): Promise<unknown> {
  return {
    daemon: fieldsOf('FullDocument'),
    daemonSummary: fieldsOf('SummaryDocument'),
    cookieDaemon: fieldsOf('CookieDocument'),
  };
}
