/** Writing the roster: what is written, when, and what happens after failed, late and conflicting writes. */
import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { ROSTER_EVENTS } from './events.js';
import { SimulatedRosterStore, WriterHarness } from './roster-test-support.js';

test('a leading reader reads once, writes missing back ends, and writes nothing in steady state', async (t) => {
  const store = new SimulatedRosterStore();
  const daemon = new WriterHarness(store);
  daemon.applyList(['a', 'b'], 10);
  await daemon.advanceConfirmed(60_000);
  t.deepEqual(store.entryLabels(), ['a', 'b']);
  t.is(store.writtenPages.length, 1);
  t.is(store.readCount, 1);
});

test('a draining back end is written as draining; a departed one stays until none of its flows can be open', async (t) => {
  const store = new SimulatedRosterStore();
  const daemon = new WriterHarness(store);
  daemon.applyList(['a', 'b'], 10);
  await daemon.advanceConfirmed(3_000);
  daemon.applyList(['a', 'b'], 11, { draining: true });
  await daemon.advanceConfirmed(3_000);
  t.deepEqual(store.entryLabels(), ['a~', 'b~']);
  daemon.applyList(['a'], 12);
  await daemon.advanceConfirmed(3_000);
  t.deepEqual(store.entryLabels(), ['a', 'b-~']);
  await daemon.advanceConfirmed(60_000);
  daemon.knowledge.prune();
  daemon.applyList(['a', 'c'], 13);
  await daemon.advanceConfirmed(3_000);
  t.deepEqual(store.entryLabels(), ['a', 'c']);
});

test('a rolling replacement of back ends causes at most one write in two seconds', async (t) => {
  const store = new SimulatedRosterStore();
  const daemon = new WriterHarness(store);
  for (let second = 0; second < 20; second += 1) {
    daemon.applyList([`b-${second}`, `b-${second + 1}`], 10 + second);
    await daemon.advanceConfirmed(1_000);
  }
  t.true(store.writtenPages.length <= 11, `${store.writtenPages.length} writes`);
  await daemon.advanceConfirmed(3_000);
  t.true(store.entryLabels().includes('b-20'));
});

for (const [name, disable] of [
  ['is not the leading reader', (daemon: WriterHarness) => void (daemon.isLeading = false)],
  ['does not consider its list complete', (daemon: WriterHarness) => void (daemon.isSettled = false)],
] as const) {
  test(`a daemon that ${name} neither reads nor writes`, async (t) => {
    const store = new SimulatedRosterStore();
    const daemon = new WriterHarness(store);
    disable(daemon);
    daemon.applyList(['a'], 10);
    await daemon.advanceConfirmed(10_000);
    t.is(store.readCount + store.writtenPages.length, 0);
  });
}

test('a writer that was paused or cut off does not overwrite newer changes', async (t) => {
  const clock = new VirtualClock();
  const store = new SimulatedRosterStore();
  const pausedDaemon = new WriterHarness(store, clock);
  pausedDaemon.applyList(['a'], 10);
  await pausedDaemon.advanceConfirmed(3_000);
  await pausedDaemon.advanceUnconfirmed(10_000);
  const activeDaemon = new WriterHarness(store, clock);
  activeDaemon.applyList(['b'], 20);
  await activeDaemon.advanceConfirmed(3_000);
  activeDaemon.stop();
  t.deepEqual(store.entryLabels(), ['b']);
  await pausedDaemon.advanceUnconfirmed(10_000);
  t.deepEqual(store.entryLabels(), ['b'], 'no write without a recent confirmation');
  pausedDaemon.applyList(['b', 'c'], 30);
  await pausedDaemon.advanceConfirmed(3_000);
  t.deepEqual(store.entryLabels(), ['a-', 'b', 'c']);
});

test('a write by another daemon between read and write is not overwritten', async (t) => {
  const store = new SimulatedRosterStore();
  const daemon = new WriterHarness(store);
  daemon.applyList(['a'], 10);
  store.beforeWrite = () => {
    store.beforeWrite = () => undefined;
    store.storePage({ service: 'alpha', entries: [] });
  };
  await daemon.advanceConfirmed(700);
  t.deepEqual(store.entryLabels(), []);
  t.true(daemon.emittedEvents.includes(ROSTER_EVENTS.writeConflict.number));
  await daemon.advanceConfirmed(3_000);
  t.deepEqual(store.entryLabels(), ['a'], 'reads again and writes the missing back end');
});

test('a writer that stops before a write succeeds leaves the page unchanged, and the next writer writes it', async (t) => {
  const clock = new VirtualClock();
  const store = new SimulatedRosterStore();
  const firstDaemon = new WriterHarness(store, clock);
  firstDaemon.applyList(['a'], 10);
  store.fault = 'unavailable';
  await firstDaemon.advanceConfirmed(3_000);
  firstDaemon.stop();
  t.deepEqual(store.entryLabels(), []);
  store.fault = undefined;
  const nextDaemon = new WriterHarness(store, clock);
  nextDaemon.applyList(['a'], 10);
  await nextDaemon.advanceConfirmed(3_000);
  t.deepEqual(store.entryLabels(), ['a']);
});

test('a timed-out write that the store applies late does not undo a newer write', async (t) => {
  const clock = new VirtualClock();
  const store = new SimulatedRosterStore();
  const firstDaemon = new WriterHarness(store, clock);
  firstDaemon.applyList(['a'], 10);
  store.fault = 'late';
  await firstDaemon.advanceConfirmed(1_000);
  firstDaemon.stop();
  store.fault = undefined;
  const nextDaemon = new WriterHarness(store, clock);
  nextDaemon.applyList(['b'], 20);
  await nextDaemon.advanceConfirmed(3_000);
  store.completeLateWrite();
  t.deepEqual(store.entryLabels(), ['b']);
});

test('a writer reads its own late write before it writes again', async (t) => {
  const store = new SimulatedRosterStore();
  const daemon = new WriterHarness(store);
  daemon.applyList(['a'], 10);
  store.fault = 'late';
  await daemon.advanceConfirmed(1_000);
  store.completeLateWrite();
  store.fault = undefined;
  daemon.applyList(['a', 'b'], 11);
  await daemon.advanceConfirmed(5_000);
  t.deepEqual(store.entryLabels(), ['a', 'b']);
  t.false(daemon.emittedEvents.includes(ROSTER_EVENTS.writeConflict.number));
});

test('after a restore of the store from an older backup the roster is read and written again', async (t) => {
  const store = new SimulatedRosterStore();
  const daemon = new WriterHarness(store);
  daemon.applyList(['a'], 10);
  await daemon.advanceConfirmed(3_000);
  const backup = new Map(store.pages);
  daemon.applyList(['a', 'b'], 11);
  await daemon.advanceConfirmed(3_000);
  store.pages = backup;
  daemon.applyList(['a', 'b'], 5, {}, 1);
  await daemon.advanceConfirmed(8_000);
  t.deepEqual(store.entryLabels(), ['a', 'b']);
  t.is(store.pages.get('alpha')?.page.epoch, 1);
});

test('an unreadable page is replaced', async (t) => {
  const store = new SimulatedRosterStore();
  store.unreadable.push({ service: 'alpha', revision: 7, problem: 'it is not an object' });
  const daemon = new WriterHarness(store);
  daemon.applyList(['a'], 10);
  await daemon.advanceConfirmed(3_000);
  t.deepEqual(store.entryLabels(), ['a']);
  t.true(daemon.emittedEvents.includes(ROSTER_EVENTS.unreadable.number));
});

test('a page above the size limit is not written, and this is logged', async (t) => {
  const store = new SimulatedRosterStore();
  const daemon = new WriterHarness(store, new VirtualClock(), 100);
  daemon.applyList(['a'], 10);
  await daemon.advanceConfirmed(5_000);
  t.is(store.writtenPages.length, 0);
  t.true(daemon.emittedEvents.includes(ROSTER_EVENTS.tooLarge.number));
});
