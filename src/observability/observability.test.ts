import test from 'ava';
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { VirtualClock } from '../common/clock.js';
import { AdminServer, type AdminSource, type Readiness } from './admin-server.js';
import { ADMIN_MAX_BODY_BYTES, EVENT_BURST, EVENT_WINDOW_MS } from './constants.js';
import { checkEvents, collectEvents, renderCatalogue, type CatalogueEntry } from './event-catalogue.js';
import { ConsolaEventLog, type EventLogOptions } from './event-log.js';
import type { EventDefinition } from './event.js';

const SOURCE = fileURLToPath(new URL('..', import.meta.url));
const PAGE = fileURLToPath(new URL('../../docs/EVENTS.md', import.meta.url));
const EVENT: EventDefinition = { number: 1000, level: 'info', message: 'Something happened', action: 'none' };

function logTo(lines: string[], options: Partial<EventLogOptions> = {}): ConsolaEventLog {
  return new ConsolaEventLog({
    format: 'json',
    level: 'info',
    memberId: 'balancer-1',
    clock: new VirtualClock(0),
    write: (line) => lines.push(line),
    ...options,
  });
}

test('a JSON line has time, level, number, member, message and fields', (t) => {
  const lines: string[] = [];
  logTo(lines).emit(EVENT, { count: 3, missing: undefined });
  t.deepEqual(
    lines.map((line) => JSON.parse(line) as unknown),
    [
      {
        time: '1970-01-01T00:00:00.000Z',
        level: 'info',
        event: 1000,
        member: 'balancer-1',
        message: 'Something happened',
        count: 3,
      },
    ],
  );
});

test('a text line quotes values with spaces', (t) => {
  const lines: string[] = [];
  logTo(lines, { format: 'text' }).emit(EVENT, { path: 'a b', count: 3, missing: undefined });
  t.deepEqual(lines, [
    '1970-01-01T00:00:00.000Z INFO  SQ1000 balancer-1 Something happened path="a b" count=3',
  ]);
});

test('events below the level are left out, also after the level changes', (t) => {
  const lines: string[] = [];
  const log = logTo(lines, { level: 'warn' });
  log.emit(EVENT);
  log.setLevel('info');
  log.emit(EVENT);
  t.is(lines.length, 1);
});

test('a flood of one event is bounded and counted, others pass', (t) => {
  const lines: string[] = [];
  const clock = new VirtualClock(0);
  const log = logTo(lines, { clock });
  for (let count = 0; count < EVENT_BURST + 30; count += 1) log.emit(EVENT);
  log.emit({ ...EVENT, number: 1001 });
  t.is(lines.length, EVENT_BURST + 1);
  clock.advance(EVENT_WINDOW_MS);
  log.emit(EVENT);
  t.is((JSON.parse(lines.at(-1) as string) as { suppressed: number }).suppressed, 30);
});

test('the admin server answers each page and refuses the rest', async (t) => {
  let readiness: Readiness = { ready: false, reasons: ['no settings'] };
  const server = await AdminServer.listen(
    { host: '127.0.0.1', port: 0 },
    {
      readiness: () => readiness,
      status: (view) => ({ id: 'balancer-1', view }),
      metrics: () => Promise.reject(new Error('no metrics')),
    },
  );
  t.teardown(() => server.close());
  const ask = async (path: string, method: 'GET' | 'POST' = 'GET'): Promise<[number, unknown]> => {
    const answer = await request(`http://127.0.0.1:${server.endpoint.port}${path}`, { method });
    return [answer.statusCode, await answer.body.json()];
  };
  t.deepEqual(await ask('/livez'), [200, { alive: true }]);
  t.deepEqual(await ask('/readyz'), [503, { ready: false, reasons: ['no settings'] }]);
  readiness = { ready: true, reasons: [] };
  t.deepEqual(await ask('/readyz?verbose'), [200, { ready: true, reasons: [] }]);
  t.deepEqual(await ask('/status'), [200, { id: 'balancer-1', view: 'full' }]);
  t.deepEqual(await ask('/status?view=summary'), [200, { id: 'balancer-1', view: 'summary' }]);
  t.is((await ask('//'))[0], 404);
  t.deepEqual(await ask('/metrics'), [500, { error: 'no metrics' }]);
  t.is((await ask('/status', 'POST'))[0], 405);
  t.is((await ask('/other'))[0], 404);
});

const FAULT_REQUESTS: readonly [string, 'GET' | 'PUT', string | undefined, number][] = [
  ['a JSON body', 'PUT', '{"blocked":[]}', 200],
  ['a malformed body', 'PUT', '{', 400],
  ['a body that is refused', 'PUT', '"refuse"', 400],
  ['an oversized body', 'PUT', `"${'x'.repeat(ADMIN_MAX_BODY_BYTES)}"`, 400],
  ['a read', 'GET', undefined, 405],
];

test('faults are taken only where they are enabled, and only as a good PUT', async (t) => {
  const taken: unknown[] = [];
  const source: AdminSource = {
    readiness: () => ({ ready: true, reasons: [] }),
    status: () => 0,
    metrics: () => Promise.reject(new Error('no metrics')),
  };
  const setFaults = (body: unknown): void => {
    if (body === 'refuse') throw new RangeError('refused');
    taken.push(body);
  };
  const enabled = await AdminServer.listen({ host: '127.0.0.1', port: 0 }, { ...source, setFaults });
  const disabled = await AdminServer.listen({ host: '127.0.0.1', port: 0 }, source);
  t.teardown(() => Promise.all([enabled.close(), disabled.close()]));
  for (const [name, method, body, code] of FAULT_REQUESTS) {
    const answer = await request(`http://127.0.0.1:${enabled.endpoint.port}/faults`, { method, body });
    t.is(answer.statusCode, code, name);
    await answer.body.dump();
  }
  t.deepEqual(taken, [{ blocked: [] }]);
  const answer = await request(`http://127.0.0.1:${disabled.endpoint.port}/faults`, { method: 'GET' });
  t.is(answer.statusCode, 404);
});

test('an admin address in use is a typed error', async (t) => {
  const source = {
    readiness: () => ({ ready: true, reasons: [] }),
    status: () => 0,
    metrics: () => Promise.reject(),
  };
  const server = await AdminServer.listen({ host: '127.0.0.1', port: 0 }, source);
  t.teardown(() => server.close());
  await t.throwsAsync(AdminServer.listen(server.endpoint, source), { name: 'ObservabilityError' });
});

test('event numbers are unique and in range, and docs/EVENTS.md lists them all', async (t) => {
  const entries = await collectEvents(SOURCE);
  t.true(entries.length > 0);
  t.notThrows(() => checkEvents(entries));
  t.is(readFileSync(PAGE, 'utf8'), renderCatalogue(entries), 'run npx tsx tools/generate-events.mjs');
});

test('a number used twice or out of range is found', (t) => {
  const entry: CatalogueEntry = { ...EVENT, slice: 'gue-edge/daemon', name: 'first' };
  const faulty = [entry, { ...entry, name: 'second' }, { ...entry, slice: 'gue-edge/flow', number: 1300 }];
  const error = t.throws(() => checkEvents(faulty));
  t.regex(error.message, /gue-edge\/daemon\.second and gue-edge\/daemon\.first share number 1000/);
  t.regex(error.message, /gue-edge\/flow\.first has number 1300, outside/);
});
