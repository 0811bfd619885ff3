/** Requests to both stores of a platform, and what the answers are read as. Nothing is sent: a stand-in answers. */
import { Readable } from 'node:stream';
import { isInstance } from 'true-myth/result';
import { Agent } from 'undici';
import { ObjectStore } from '../../platform/object-store.js';
import { StoreSource } from '../../platform/store-source.js';
import { decodeCallCount, decodeEvacuation, RecordDecoder } from '../../platform/translation.js';
import { createStoreClient } from '../../src/store/client.js';
import { PlatformTransport } from '../../src/store/transport.js';
import { mapValues, toPlain } from './wire-support.js';

/** What a stand-in answers to one request. */
interface Answer {
  readonly status: number;
  /** Text, or what JSON makes of it; undefined for an empty body. */
  readonly body?: unknown;
}

function bodyOf({ body }: Answer): Readable {
  const text = body === undefined ? '' : typeof body === 'string' ? body : JSON.stringify(body);
  return Readable.from([Buffer.from(text)]);
}

/** Replaces a method of a class while `run` is under way. */
async function withMethod<Value>(
  prototype: object,
  name: string,
  method: unknown,
  run: () => Promise<Value>,
): Promise<Value> {
  if (!(name in prototype)) throw new Error(`There is no method ${name} to stand in for`);
  const original = Object.getOwnPropertyDescriptor(prototype, name);
  Object.defineProperty(prototype, name, { value: method, configurable: true, writable: true });
  try {
    return await run();
  } finally {
    if (original) Object.defineProperty(prototype, name, original);
    else Reflect.deleteProperty(prototype, name);
  }
}

const CLOCK = {
  now: () => 1_000,
  wall: () => 1_700_000_000_000,
  schedule: () => ({ cancel: () => undefined }),
};

type Client = ReturnType<typeof createStoreClient>;

/** One call of the client, the answer to it, and so what is asked and understood. */
interface StoreCall {
  readonly answer: Answer;
  readonly call: (client: Client) => Promise<unknown>;
}

const OBJECT = { key: 'a/b', version: 7, value: { nodes: [] } };
const GRANT = { name: 'readers/north', holder: 'b-1', fencingToken: 3, durationMs: 10_000 };
const LEASE = { name: 'readers/north', holder: 'b-1', fencingToken: 3, trustedUntilMs: 5_000 };
const MACHINE = { name: 'm1', zone: 'a', control: { host: '10.0.0.1', port: 9_100 }, state: 'live' };
const MACHINES = [
  MACHINE,
  { ...MACHINE, name: 'm2', state: 'leaving', admin: { host: '10.0.0.1', port: 9_200 }, more: 1 },
];

const get = (client: Client): Promise<unknown> => client.get('a b/ü?c/d%');
const put = (client: Client): Promise<unknown> => client.putIfVersion('a/b', { nodes: [] }, 6);
const acquire = (client: Client): Promise<unknown> => client.acquireLease('readers/north', 'b-1', 10_000);
const release = (client: Client): Promise<unknown> => client.releaseLease(LEASE);
const list = (client: Client): Promise<unknown> => client.listMachines();

async function watch(client: Client): Promise<unknown> {
  const ended = new AbortController();
  const seen: unknown[] = [];
  for await (const object of client.watch('a/b', 5, ended.signal)) {
    seen.push(object);
    if (seen.length === 2) ended.abort();
  }
  return seen;
}

const WATCH_LINES = [{ ...OBJECT, version: 6 }, OBJECT].map((object) => JSON.stringify(object));

const STORE_CALLS: Readonly<Record<string, StoreCall>> = {
  read: { answer: { status: 200, body: OBJECT }, call: get },
  readNothing: { answer: { status: 404 }, call: get },
  readOtherForm: { answer: { status: 200, body: { key: 'a' } }, call: get },
  readNoJson: { answer: { status: 200, body: '{' }, call: get },
  write: { answer: { status: 200, body: OBJECT }, call: put },
  writeConflict: { answer: { status: 409, body: { version: 9 } }, call: put },
  watch: { answer: { status: 200, body: `${WATCH_LINES[0]}\n\n${WATCH_LINES[1]}\n` }, call: watch },
  acquire: { answer: { status: 200, body: GRANT }, call: acquire },
  acquireHeld: { answer: { status: 409, body: { holder: 'b-2' } }, call: acquire },
  release: { answer: { status: 204 }, call: release },
  releaseForeign: { answer: { status: 409, body: { holder: 'b-2' } }, call: release },
  machines: { answer: { status: 200, body: { machines: MACHINES } }, call: list },
};

/** What a call came to: its value, or the kind of its error. */
function outcome(result: unknown): unknown {
  if (!isInstance(result)) return toPlain(result);
  if (result.isOk) return { value: toPlain(result.value) ?? null };
  return { error: (result.error as { kind: string }).kind };
}

async function runStoreCall({ answer, call }: StoreCall): Promise<unknown> {
  const asked: unknown[] = [];
  const open = (exchange: unknown): Promise<unknown> => {
    asked.push(exchange);
    return Promise.resolve({ statusCode: answer.status, headers: {}, body: bodyOf(answer) });
  };
  const client = createStoreClient({
    baseUrl: 'http://store.invalid',
    clock: CLOCK,
    random: () => 0.5,
    caller: 'contract',
    events: { emit: () => undefined },
  });
  const result = await withMethod(PlatformTransport.prototype, 'open', open, () => call(client));
  await client.close();
  return { asked: toPlain(asked), outcome: outcome(result) };
}

const EXCHANGES: readonly Parameters<PlatformTransport['open']>[0][] = [
  { method: 'GET', path: '/watches/a/b?after=5', acceptGzip: true },
  { method: 'PUT', path: '/objects/a/b?expectedVersion=6', body: { value: { text: 'ü' } } },
];

/** What the HTTP library is handed for an exchange, headers included; it is told that nothing can be sent. */
async function httpRequests(): Promise<unknown[]> {
  const handed: unknown[] = [];
  const dispatch = ({ origin, path, method, headers, body }: Agent.DispatchOptions): never => {
    handed.push({ origin: String(origin), path, method, headers, body });
    throw new Error('nothing is sent');
  };
  const transport = new PlatformTransport('http://store.invalid:9000/', 'contract', CLOCK);
  for (const exchange of EXCHANGES) {
    const open = (): Promise<unknown> => transport.open(exchange, new AbortController().signal);
    await withMethod(Agent.prototype, 'dispatch', dispatch, open).catch(() => undefined);
  }
  await transport.close();
  return handed;
}

/** Calls of the client for the store of trees, leases and machines. */
export async function computeTreeStore(): Promise<unknown> {
  const calls: Record<string, unknown> = {};
  for (const [name, call] of Object.entries(STORE_CALLS)) calls[name] = await runStoreCall(call);
  return { calls, httpRequests: await httpRequests() };
}

type StoredObject = Parameters<typeof decodeEvacuation>[0];

function stored(spec: unknown, name = 'main'): StoredObject {
  return { meta: { name, revision: 21, made: 4 }, spec };
}

const ROUTE = { name: 'web', hostname: '10.200.0.1', path_prefix: '/443/', service: 'orders' };
const SPLIT = [
  { service: 'orders', weight: 3 },
  { service: 'orders-next', weight: 1 },
  { service: 'old', weight: 0 },
];

const ROUTES = [
  ROUTE,
  { ...ROUTE, name: 'split', traffic_split: SPLIT, allowed_regions: ['north', 'south'] },
  { ...ROUTE, name: 'unused split', traffic_split: [{ service: 'old', weight: 0 }], allowed_regions: [] },
  { ...ROUTE, name: 'no service', service: undefined },
  { ...ROUTE, name: 'bad host', hostname: 'web.example' },
  { ...ROUTE, name: 'bad port', path_prefix: '/0/' },
  { ...ROUTE, name: 'bad split', traffic_split: [{ service: 'orders' }] },
  { ...ROUTE, name: 'bad regions', allowed_regions: 'north' },
  { hostname: '10.200.0.1' },
];
const SERVICES = [
  { name: 'orders', max_connections: 500, cold_per_s: 12.5 },
  { name: 'mail', max_connections: 10, cold_per_s: 0 },
  { name: 'strange rate', max_connections: 10, cold_per_s: 'fast' },
  { name: 'no limit' },
  { max_connections: 10 },
];

const CONFIG = { version: 17, routes: ROUTES, services: SERVICES, limits: { idle_timeout_ms: 300_000 } };
const SOUND_CONFIG = { ...CONFIG, routes: ROUTES.slice(0, 3), services: SERVICES.slice(0, 2) };
const CONFIGS = {
  whole: CONFIG,
  none: null,
  badVersion: { ...CONFIG, version: '17' },
  badRoutes: { ...CONFIG, routes: {} },
  badServices: { ...CONFIG, services: undefined },
  noTimeout: { ...CONFIG, limits: {} },
};

const BACKEND = {
  service: 'orders',
  address: '10.1.2.3:7001',
  zone: 'a',
  capacity: 8,
  state: 'ready',
  cold_remaining_ms: 2_500,
  call_count: 41,
};
const BACKENDS = {
  whole: BACKEND,
  draining: { ...BACKEND, state: 'draining', cold_remaining_ms: 0 },
  otherState: { ...BACKEND, state: 'asleep' },
  noCapacity: { ...BACKEND, capacity: 0 },
  noCold: { ...BACKEND, cold_remaining_ms: -1 },
  noCalls: { ...BACKEND, call_count: undefined },
  noService: { ...BACKEND, service: 1 },
  noZone: { ...BACKEND, zone: undefined },
  badAddress: { ...BACKEND, address: 'here:1' },
  none: 'text',
};

/** What `read` makes of a record, and how many problems it reports: their wording is for operators. */
function readRecord(spec: unknown, read: (decoder: RecordDecoder, object: StoredObject) => unknown): unknown {
  const decoder = new RecordDecoder();
  const decoded = read(decoder, stored(spec));
  return { decoded: toPlain(decoded ?? null), problems: decoder.problems.length };
}

/** Records of each kind as the product reads them. */
export function computePlatformRecords(): Promise<unknown> {
  return Promise.resolve({
    configs: mapValues<unknown>(CONFIGS, (spec) =>
      readRecord(spec, (decoder, it) => decoder.decodeConfig(it)),
    ),
    backends: mapValues<unknown>(BACKENDS, (spec) =>
      readRecord(spec, (decoder, it) => decoder.decodeBackend(it)),
    ),
    neverMade: toPlain(
      new RecordDecoder().decodeBackend({ meta: { name: 'b', revision: 3 }, spec: BACKEND }),
    ),
    callCounts: mapValues<unknown>(BACKENDS, (spec) => decodeCallCount(stored(spec)) ?? null),
    evacuation: decodeEvacuation(stored({ anything: 1 }, 'zone-b')),
  });
}

type Source = (source: StoreSource, signal: AbortSignal) => Promise<unknown>;

/** One call of the source with the answers to its requests, in order. */
interface SourceCall {
  readonly answers: readonly Answer[];
  readonly call: Source;
}

const backendPage = (name: string, more: boolean, at: number): Answer => ({
  status: 200,
  body: { items: [stored(BACKEND, name)], more, at },
});
const changes = (name: string, spec: unknown): Answer => {
  const events = [
    { object: stored(spec, name), gone: false },
    { object: stored(spec, 'left'), gone: true },
  ];
  return { status: 200, body: { events, at: 25 } };
};

const readBackends: Source = (source, signal) => source.read('backends', 'current', signal);

const SOURCE_CALLS: Readonly<Record<string, SourceCall>> = {
  readRoutes: {
    answers: [
      { status: 200, body: { items: [stored(SOUND_CONFIG), stored({}, 'other')], more: false, at: 22 } },
    ],
    call: (source, signal) => source.read('routes', 'any', signal),
  },
  readBackends: {
    answers: [backendPage('b &1', true, 23), backendPage('b2', false, 22)],
    call: readBackends,
  },
  readCordons: {
    answers: [{ status: 200, body: { items: [stored({}, 'zone-b')], more: false, at: 22 } }],
    call: (source, signal) => source.read('cordons', 'any', signal),
  },
  callCounts: {
    answers: [backendPage('b2', true, 22)],
    call: (source, signal) => source.readCallCounts('b1', signal),
  },
  watchRoutes: {
    answers: [changes('main', SOUND_CONFIG)],
    call: (source, signal) => source.watch('routes', 20, 1_500, signal),
  },
  watchBackends: {
    answers: [changes('b1', BACKEND)],
    call: (source, signal) => source.watch('backends', 20, 1_500, signal),
  },
  watchCordons: {
    answers: [changes('zone-b', {})],
    call: (source, signal) => source.watch('cordons', 20, 1_500, signal),
  },
  otherForm: { answers: [{ status: 200, body: { items: [] } }], call: readBackends },
  noJson: { answers: [{ status: 200, body: '{' }], call: readBackends },
  historyGone: { answers: [{ status: 410 }], call: readBackends },
  throttled: { answers: [{ status: 429 }], call: readBackends },
  failed: { answers: [{ status: 503 }], call: readBackends },
};

async function runSourceCall({ answers, call }: SourceCall): Promise<unknown> {
  const asked: string[] = [];
  const request = (path: string): Promise<unknown> => {
    const answer = answers[asked.push(path) - 1];
    if (answer === undefined) return Promise.reject(new Error(`There is no answer to ${path}`));
    return Promise.resolve(Object.assign(bodyOf(answer), { statusCode: answer.status, headers: {} }));
  };
  const source = new StoreSource(new ObjectStore({ host: 'store.invalid', port: 1 }));
  const run = (): Promise<unknown> => call(source, new AbortController().signal);
  const result = await withMethod(ObjectStore.prototype, 'request', request, run);
  return { asked, outcome: outcome(result) };
}

/** Requests for routes, back ends, cordons and call counts, and what the answers are read as. */
export async function computePlatformStore(): Promise<unknown> {
  const outcomes: Record<string, unknown> = {};
  for (const [name, call] of Object.entries(SOURCE_CALLS)) outcomes[name] = await runSourceCall(call);
  return outcomes;
}
