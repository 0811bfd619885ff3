/** The writer of the roster: what it writes, when, and what becomes of it in each failure. */
import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { ROSTER_EVENTS } from './events.js';
import { SimulatedRosterStore, WriterHarness } from './roster-test-support.js';

test('a leader reads once, writes what is missing, and nothing in steady state', async (t) => {
  const store = new SimulatedRosterStore();
  const daemon = new WriterHarness(store);
  daemon.list(['a', 'b'], 10);
  await daemon.run(60_000);
  t.deepEqual(store.names(), ['a', 'b']);
  t.is(store.writes.length, 1);
  t.is(store.reads, 1);
});

test('who leaves is written as leaving, who has left is kept until no flow can be open', async (t) => {
  const store = new SimulatedRosterStore();
  const daemon = new WriterHarness(store);
  daemon.list(['a', 'b'], 10);
  await daemon.run(3_000);
  daemon.list(['a', 'b'], 11, { draining: true });
  await daemon.run(3_000);
  t.deepEqual(store.names(), ['a~', 'b~']);
  daemon.list(['a'], 12);
  await daemon.run(3_000);
  t.deepEqual(store.names(), ['a', 'b-~']);
  await daemon.run(60_000);
  daemon.knowledge.prune();
  daemon.list(['a', 'c'], 13);
  await daemon.run(3_000);
  t.deepEqual(store.names(), ['a', 'c']);
});

test('a replacement of back ends one by one is written at most once in two seconds', async (t) => {
  const store = new SimulatedRosterStore();
  const daemon = new WriterHarness(store);
  for (let second = 0; second < 20; second += 1) {
    daemon.list([`b-${second}`, `b-${second + 1}`], 10 + second);
    await daemon.run(1_000);
  }
  t.true(store.writes.length <= 11, `${store.writes.length} writes`);
  await daemon.run(3_000);
  t.true(store.names().includes('b-20'));
});

for (const [name, unset] of [
  ['does not lead', (daemon: WriterHarness) => void (daemon.isLeading = false)],
  ['does not believe its list', (daemon: WriterHarness) => void (daemon.isSettled = false)],
] as const) {
  test(`a daemon that ${name} neither reads nor writes`, async (t) => {
    const store = new SimulatedRosterStore();
    const daemon = new WriterHarness(store);
    unset(daemon);
    daemon.list(['a'], 10);
    await daemon.run(10_000);
    t.is(store.reads + store.writes.length, 0);
  });
}

test('a writer that was cut off or frozen does not put back what changed meanwhile', async (t) => {
  const clock = new VirtualClock();
  const store = new SimulatedRosterStore();
  const frozen = new WriterHarness(store, clock);
  frozen.list(['a'], 10);
  await frozen.run(3_000);
  await frozen.freeze(10_000);
  const other = new WriterHarness(store, clock);
  other.list(['b'], 20);
  await other.run(3_000);
  other.stop();
  t.deepEqual(store.names(), ['b']);
  await frozen.freeze(10_000);
  t.deepEqual(store.names(), ['b'], 'it does not write without a confirmation');
  frozen.list(['b', 'c'], 30);
  await frozen.run(3_000);
  t.deepEqual(store.names(), ['a-', 'b', 'c']);
});

test('a write between the read and the write of another daemon is not lost', async (t) => {
  const store = new SimulatedRosterStore();
  const daemon = new WriterHarness(store);
  daemon.list(['a'], 10);
  store.beforeWrite = () => {
    store.beforeWrite = () => undefined;
    store.store({ service: 'alpha', entries: [] });
  };
  await daemon.run(700);
  t.deepEqual(store.names(), []);
  t.true(daemon.events.includes(ROSTER_EVENTS.writeConflict.number));
  await daemon.run(3_000);
  t.deepEqual(store.names(), ['a'], 'it reads again and writes what is missing');
});

test('a writer that is killed between read and write leaves the page as it was; the next one writes', async (t) => {
  const clock = new VirtualClock();
  const store = new SimulatedRosterStore();
  const first = new WriterHarness(store, clock);
  first.list(['a'], 10);
  store.fault = 'unavailable';
  await first.run(3_000);
  first.stop();
  t.deepEqual(store.names(), []);
  store.fault = undefined;
  const next = new WriterHarness(store, clock);
  next.list(['a'], 10);
  await next.run(3_000);
  t.deepEqual(store.names(), ['a']);
});

test('a write without an answer that is done late does not undo a later one', async (t) => {
  const clock = new VirtualClock();
  const store = new SimulatedRosterStore();
  const first = new WriterHarness(store, clock);
  first.list(['a'], 10);
  store.fault = 'late';
  await first.run(1_000);
  first.stop();
  store.fault = undefined;
  const next = new WriterHarness(store, clock);
  next.list(['b'], 20);
  await next.run(3_000);
  store.doLateWrite();
  t.deepEqual(store.names(), ['b']);
});

test('an own write that is done late is seen before the next one', async (t) => {
  const store = new SimulatedRosterStore();
  const daemon = new WriterHarness(store);
  daemon.list(['a'], 10);
  store.fault = 'late';
  await daemon.run(1_000);
  store.doLateWrite();
  store.fault = undefined;
  daemon.list(['a', 'b'], 11);
  await daemon.run(5_000);
  t.deepEqual(store.names(), ['a', 'b']);
  t.false(daemon.events.includes(ROSTER_EVENTS.writeConflict.number));
});

test('after a restore of the store from an older copy the roster is read again and written anew', async (t) => {
  const store = new SimulatedRosterStore();
  const daemon = new WriterHarness(store);
  daemon.list(['a'], 10);
  await daemon.run(3_000);
  const copy = new Map(store.pages);
  daemon.list(['a', 'b'], 11);
  await daemon.run(3_000);
  store.pages = copy;
  daemon.list(['a', 'b'], 5, {}, 1);
  await daemon.run(8_000);
  t.deepEqual(store.names(), ['a', 'b']);
  t.is(store.pages.get('alpha')?.page.epoch, 1);
});

test('a page that cannot be read is replaced', async (t) => {
  const store = new SimulatedRosterStore();
  store.unreadable.push({ service: 'alpha', revision: 7, problem: 'it is not an object' });
  const daemon = new WriterHarness(store);
  daemon.list(['a'], 10);
  await daemon.run(3_000);
  t.deepEqual(store.names(), ['a']);
  t.true(daemon.events.includes(ROSTER_EVENTS.unreadable.number));
});

test('a page above the limit is not written, and the log says so', async (t) => {
  const store = new SimulatedRosterStore();
  const daemon = new WriterHarness(store, new VirtualClock(), 100);
  daemon.list(['a'], 10);
  await daemon.run(5_000);
  t.is(store.writes.length, 0);
  t.true(daemon.events.includes(ROSTER_EVENTS.tooLarge.number));
});
