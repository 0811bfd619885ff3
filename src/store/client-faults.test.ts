/** The platform client under the faults of the stand-in. */
import test from 'ava';
import Fastify from 'fastify';
import { VirtualClock } from '../common/clock.js';
import { startPlatformStandin, type PlatformStandin } from '../standin/platform/index.js';
import { connect, eventually, eventuallyOn, kindOf, settle, withStandin } from './client-test-support.js';

const KEY = 'settings/tree';
const LEASE = 'readers/region-1/0';

interface FaultCase {
  readonly name: string;
  readonly faults: Parameters<PlatformStandin['setFaults']>[0];
  readonly get: string;
  readonly put: string;
  readonly lease: string;
  /** Whether the write must, may or must not have taken effect. */
  readonly written: boolean;
}

const SHORT_DEADLINES = { callDeadlineMs: 1_500, attemptDeadlineMs: 700 };
const LONG_DEADLINES = { callDeadlineMs: 20_000, attemptDeadlineMs: 10_000 };

const FAULT_CASES: readonly FaultCase[] = [
  { name: 'no fault', faults: {}, get: 'ok', put: 'ok', lease: 'ok', written: true },
  {
    name: 'down',
    faults: { down: true },
    get: 'platform.unreachable',
    put: 'platform.unknown-outcome',
    lease: 'platform.unreachable',
    written: false,
  },
  {
    name: 'slow beyond the deadline',
    faults: { slowMs: 3_000 },
    get: 'platform.deadline',
    put: 'platform.unknown-outcome',
    lease: 'platform.deadline',
    written: true,
  },
  {
    name: 'answers lost after the write',
    faults: { lostAnswerAfterWrite: { probability: 1 } },
    get: 'ok',
    put: 'platform.unknown-outcome',
    lease: 'platform.unreachable',
    written: true,
  },
  {
    name: 'one answer lost after the write',
    faults: { lostAnswerAfterWrite: { count: 1 } },
    get: 'ok',
    put: 'platform.unknown-outcome',
    lease: 'ok',
    written: true,
  },
];

for (const fault of FAULT_CASES) {
  test(`fault: ${fault.name}`, async (t) => {
    const deadlines = fault.faults.slowMs ? SHORT_DEADLINES : LONG_DEADLINES;
    const clock = new VirtualClock();
    const run = async (standin: PlatformStandin): Promise<void> => {
      // One client for each call: the circuit of one must not answer for the next.
      const options = { ...deadlines, clock };
      const reader = connect(standin.url, options);
      const writer = connect(standin.url, options);
      const holder = connect(standin.url, options);
      standin.setFaults(fault.faults);
      t.is(kindOf(await settle(t, clock, reader.get(KEY))), fault.get);
      t.is(kindOf(await settle(t, clock, writer.putIfVersion(KEY, 'value', 0))), fault.put);
      t.is(kindOf(await settle(t, clock, holder.acquireLease(LEASE, 'member-1', 5_000))), fault.lease);
      if (fault.written) await eventuallyOn(t, clock, () => standin.store.get(KEY)?.value === 'value');
      else t.is(standin.store.get(KEY), undefined);
      t.is(standin.counters().byKind['put'], 1, 'a write is sent once');
      await Promise.all([reader.close(), writer.close(), holder.close()]);
    };
    await withStandin(run, {}, clock);
  });
}

test('a write that was never sent is unreachable, not unknown', async (t) => {
  const standin = await startPlatformStandin({ port: 0 });
  await standin.close();
  const client = connect(standin.url);
  t.is(kindOf(await client.putIfVersion(KEY, 'value', 0)), 'platform.unreachable');
  await client.close();
});

const ODD_ANSWERS = [
  {
    name: 'not JSON',
    status: 200,
    body: '<html>',
    get: 'platform.bad-answer',
    put: 'platform.unknown-outcome',
  },
  {
    name: 'wrong shape',
    status: 200,
    body: '{"a":1}',
    get: 'platform.bad-answer',
    put: 'platform.bad-answer',
  },
  { name: 'wrong path', status: 403, body: '{}', get: 'platform.bad-answer', put: 'platform.bad-answer' },
  {
    name: 'server error',
    status: 503,
    body: '{}',
    get: 'platform.unreachable',
    put: 'platform.unknown-outcome',
  },
];

for (const odd of ODD_ANSWERS) {
  test(`odd answer: ${odd.name}`, async (t) => {
    const server = Fastify();
    server.all('/*', (_request, reply) => reply.code(odd.status).type('application/json').send(odd.body));
    t.teardown(() => server.close());
    const url = await server.listen({ host: '127.0.0.1', port: 0 });
    // One client for each call: the circuit of one must not answer for the next.
    const reader = connect(url, LONG_DEADLINES);
    const writer = connect(url, LONG_DEADLINES);
    t.teardown(() => Promise.all([reader.close(), writer.close()]));
    t.is(kindOf(await reader.get(KEY)), odd.get);
    t.is(kindOf(await writer.putIfVersion(KEY, 'value', 0)), odd.put);
  });
}

test('a store that is down is not hammered, and a trial finds it again', async (t) => {
  const clock = new VirtualClock();
  await withStandin(
    async (standin, client) => {
      standin.setFaults({ down: true });
      t.is(kindOf(await settle(t, clock, client.get(KEY))), 'platform.unreachable');
      for (let call = 0; call < 100; call += 1) t.is(kindOf(await client.get(KEY)), 'platform.unreachable');
      t.is(client.circuitState(), 'open');
      t.true((standin.counters().byKind['get'] ?? 0) <= 5, `${standin.counters().byKind['get']} requests`);
      standin.setFaults({});
      clock.advance(20_000);
      t.is(kindOf(await client.get(KEY)), 'ok');
      t.is(client.circuitState(), 'closed');
    },
    { callDeadlineMs: 3_600_000, attemptDeadlineMs: 3_600_000 },
    clock,
  );
});

const WATCH_FAULTS = [
  { name: 'the store goes down and comes back', faults: { down: true } },
  { name: 'the watch falls silent', faults: { watchStall: true } },
];

for (const { name, faults } of WATCH_FAULTS) {
  test(`a watch goes on from the last version: ${name}`, async (t) => {
    const clock = new VirtualClock();
    await withStandin(
      async (standin, client) => {
        const ending = new AbortController();
        const seen: number[] = [];
        const watching = (async () => {
          for await (const object of client.watch(KEY, 0, ending.signal)) seen.push(object.version);
        })();
        standin.store.put(KEY, 'a', 0);
        await eventuallyOn(t, clock, () => seen.length === 1);
        standin.setFaults(faults);
        standin.store.put(KEY, 'b', 1);
        await eventuallyOn(t, clock, () => (standin.counters().byKind['watch'] ?? 0) >= 2);
        standin.setFaults({});
        await eventuallyOn(t, clock, () => seen.length === 2);
        t.deepEqual(seen, [1, 2]);
        ending.abort();
        await watching;
        await eventuallyOn(t, clock, () => standin.counters().watchers === 0);
        t.deepEqual(standin.counters().watchingCallers, []);
      },
      { watchSilenceMs: 500 },
      clock,
    );
  });
}

test('a lease is trusted from the moment its request was sent, not from its answer', async (t) => {
  const clock = new VirtualClock();
  await withStandin(
    async (standin, client) => {
      standin.setFaults({ slowMs: 3_000 });
      const grant = client.acquireLease(LEASE, 'member-1', 5_000);
      await eventually(t, () => standin.counters().byKind['lease'] === 1);
      clock.advance(3_000);
      const lease = (await grant).unwrapOr(undefined);
      t.is(lease?.trustedUntilMs, 5_000 * 0.99 - 500);
    },
    { callDeadlineMs: 60_000, attemptDeadlineMs: 60_000 },
    clock,
  );
});

test('the machine list lags', async (t) => {
  const clock = new VirtualClock();
  await withStandin(
    async (standin, client) => {
      const machine = {
        name: 'member-1',
        zone: 'a',
        control: { host: '127.0.0.1', port: 7_946 },
        state: 'live',
      };
      const body = JSON.stringify({ machines: [machine] });
      await fetch(`${standin.url}/machines`, {
        method: 'PUT',
        body,
        headers: { 'content-type': 'application/json' },
      });
      t.deepEqual((await client.listMachines()).unwrapOr([]), []);
      clock.advance(2_000);
      t.deepEqual((await client.listMachines()).unwrapOr([]), [machine] as never);
    },
    {},
    clock,
  );
});
