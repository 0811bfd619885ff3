/** Reading the roster during start-up: back ends added to the registry, and when the read is retried or skipped. */
import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { BackendSettlement, RoutingKnowledge } from '../routing/index.js';
import { backendAt, updateAt } from '../routing/routing-test-support.js';
import { RosterReader } from './roster-reader.js';
import { SimulatedRosterStore } from './roster-test-support.js';
import type { RosterEntry } from './types.js';

const ENTRIES: readonly RosterEntry[] = [
  { record: backendAt('lives', 5), hasLeft: false },
  { record: backendAt('leaving', 6, { draining: true }), hasLeft: false },
  { record: backendAt('left', 7), hasLeft: true },
];

function startReader(store: SimulatedRosterStore) {
  const clock = new VirtualClock();
  const events = SILENT_EVENT_LOG;
  const knowledge = new RoutingKnowledge({ clock, events, retentionMs: 60_000 });
  const settlement = new BackendSettlement({ clock, events, knowledge, recordsMayLapse: () => false });
  const reader = new RosterReader({ clock, events, knowledge, settlement, store });
  const abort = new AbortController();
  void reader.run(abort.signal);
  const applyList = (ids: readonly string[], revision: number, complete = true, epoch = 0): void => {
    const backends = ids.map((id) => backendAt(id, revision));
    const origin = { since: complete ? -1 : revision - 1, confirmedAtMs: clock.now(), mayHaveLapsed: false };
    knowledge.apply('backends', updateAt(revision, { epoch, complete, backends }), origin);
  };
  return { clock, knowledge, settlement, reader, applyList };
}

function storeWith(entries: readonly RosterEntry[], epoch = 0): SimulatedRosterStore {
  const store = new SimulatedRosterStore();
  store.storePage({ service: 'alpha', epoch, entries });
  return store;
}

test('back ends missing from the list are remembered: live ones as lapsed, draining and departed ones as departed', async (t) => {
  const { clock, knowledge, settlement, applyList } = startReader(storeWith(ENTRIES));
  applyList([], 50);
  await clock.advanceAsync(100, 10);
  const { backends } = knowledge;
  t.like(backends.get('lives'), { departed: true, lapsed: true, isNeverListed: true });
  t.like(backends.get('leaving'), { departed: true, lapsed: false });
  t.like(backends.get('left'), { departed: true, lapsed: false });
  t.is(settlement.state, 'settling');
  applyList(['lives'], 51, false);
  t.like(backends.get('lives'), { departed: false, lapsed: false, isNeverListed: undefined });
  t.is(settlement.state, 'settled', 'every back end that was awaited is listed');
});

test('a back end still missing from the list when the settling time ends counts as departed', async (t) => {
  const { clock, knowledge, settlement, applyList } = startReader(storeWith(ENTRIES));
  applyList([], 50);
  await clock.advanceAsync(3_000, 50);
  t.is(settlement.state, 'settled');
  t.like(knowledge.backends.get('lives'), { departed: true, lapsed: false });
});

test('the roster is not read if a settled peer answers first', async (t) => {
  const store = storeWith(ENTRIES);
  const { clock, settlement, applyList } = startReader(store);
  applyList([], 50);
  settlement.recordSettledPeer();
  await clock.advanceAsync(3_000, 50);
  t.is(store.readCount, 0);
});

test('a roster of an earlier epoch does not override records listed after a restore, whatever their revision', async (t) => {
  const { clock, knowledge, applyList } = startReader(storeWith(ENTRIES, 3));
  applyList([], 2, true, 4);
  await clock.advanceAsync(100, 10);
  t.like(knowledge.backends.get('lives'), { departed: true, lapsed: true });
  t.is(knowledge.backends.get('lives')?.record.createdRevision, -1);
  applyList(['lives'], 3, false, 4);
  t.like(knowledge.backends.get('lives'), { departed: false });
});

test('a failed read of the roster is retried while the list is not settled', async (t) => {
  const store = storeWith(ENTRIES);
  store.fault = 'unavailable';
  const { clock, knowledge, applyList } = startReader(store);
  applyList([], 50);
  await clock.advanceAsync(500, 10);
  t.is(knowledge.backends.get('lives'), undefined);
  store.fault = undefined;
  await clock.advanceAsync(500, 10);
  t.like(knowledge.backends.get('lives'), { lapsed: true });
});

test('a failing read of the roster is no longer retried once the list is settled', async (t) => {
  const store = storeWith(ENTRIES);
  store.fault = 'unavailable';
  const { clock, settlement, applyList } = startReader(store);
  applyList(['lives'], 50);
  await clock.advanceAsync(10_000, 50);
  t.is(settlement.state, 'settled');
  t.true(store.readCount <= 15, `${store.readCount} reads`);
});

test('an older list that arrives late does not bring back a remembered back end', async (t) => {
  const { clock, knowledge, applyList } = startReader(storeWith(ENTRIES));
  applyList([], 50);
  await clock.advanceAsync(100, 10);
  applyList(['lives'], 40);
  t.true(knowledge.backends.get('lives')?.departed);
});
