/** What a start makes of the roster, beside its list and its peers. */
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

function start(store: SimulatedRosterStore) {
  const clock = new VirtualClock();
  const events = SILENT_EVENT_LOG;
  const knowledge = new RoutingKnowledge({ clock, events, retentionMs: 60_000 });
  const settlement = new BackendSettlement({ clock, events, knowledge, recordsMayLapse: () => false });
  const reader = new RosterReader({ clock, events, knowledge, settlement, store });
  const abort = new AbortController();
  void reader.run(abort.signal);
  const list = (ids: readonly string[], revision: number, complete = true, epoch = 0): void => {
    const backends = ids.map((id) => backendAt(id, revision));
    const origin = { since: complete ? -1 : revision - 1, confirmedAtMs: clock.now(), mayHaveLapsed: false };
    knowledge.apply('backends', updateAt(revision, { epoch, complete, backends }), origin);
  };
  return { clock, knowledge, settlement, reader, list };
}

function storeWith(entries: readonly RosterEntry[], epoch = 0): SimulatedRosterStore {
  const store = new SimulatedRosterStore();
  store.store({ service: 'alpha', epoch, entries });
  return store;
}

test('who is not listed is remembered: the living as lapsed, who leaves or left as departed', async (t) => {
  const { clock, knowledge, settlement, list } = start(storeWith(ENTRIES));
  list([], 50);
  await clock.advanceAsync(100, 10);
  const { backends } = knowledge;
  t.like(backends.get('lives'), { departed: true, lapsed: true, remembered: true });
  t.like(backends.get('leaving'), { departed: true, lapsed: false });
  t.like(backends.get('left'), { departed: true, lapsed: false });
  t.is(settlement.state, 'settling');
  list(['lives'], 51, false);
  t.like(backends.get('lives'), { departed: false, lapsed: false, remembered: undefined });
  t.is(settlement.state, 'settled', 'all that are expected are listed');
});

test('when the time is over, who is still missing has left', async (t) => {
  const { clock, knowledge, settlement, list } = start(storeWith(ENTRIES));
  list([], 50);
  await clock.advanceAsync(3_000, 50);
  t.is(settlement.state, 'settled');
  t.like(knowledge.backends.get('lives'), { departed: true, lapsed: false });
});

test('a settled peer makes the read needless', async (t) => {
  const store = storeWith(ENTRIES);
  const { clock, settlement, list } = start(store);
  list([], 50);
  settlement.recordSettledPeer();
  await clock.advanceAsync(3_000, 50);
  t.is(store.reads, 0);
});

test('a roster from before a restore of the store is a hint: a record of any revision goes before it', async (t) => {
  const { clock, knowledge, list } = start(storeWith(ENTRIES, 3));
  list([], 2, true, 4);
  await clock.advanceAsync(100, 10);
  t.like(knowledge.backends.get('lives'), { departed: true, lapsed: true });
  t.is(knowledge.backends.get('lives')?.record.createdRevision, -1);
  list(['lives'], 3, false, 4);
  t.like(knowledge.backends.get('lives'), { departed: false });
});

test('a store that refuses the roster is asked again, for as long as the list is not settled', async (t) => {
  const store = storeWith(ENTRIES);
  store.fault = 'unavailable';
  const { clock, knowledge, list } = start(store);
  list([], 50);
  await clock.advanceAsync(500, 10);
  t.is(knowledge.backends.get('lives'), undefined);
  store.fault = undefined;
  await clock.advanceAsync(500, 10);
  t.like(knowledge.backends.get('lives'), { lapsed: true });
});

test('a store that never answers about the roster is left alone once the list is settled', async (t) => {
  const store = storeWith(ENTRIES);
  store.fault = 'unavailable';
  const { clock, settlement, list } = start(store);
  list(['lives'], 50);
  await clock.advanceAsync(10_000, 50);
  t.is(settlement.state, 'settled');
  t.true(store.reads <= 15, `${store.reads} reads`);
});

test('an older list that comes late does not bring back who is only remembered', async (t) => {
  const { clock, knowledge, list } = start(storeWith(ENTRIES));
  list([], 50);
  await clock.advanceAsync(100, 10);
  list(['lives'], 40);
  t.true(knowledge.backends.get('lives')?.departed);
});
