import test from 'ava';
import fc from 'fast-check';
import { VirtualClock } from '../../common/clock.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { RoutingKnowledge, type UpdateOrigin } from './knowledge.js';
import { backendAt, PEER, SERVICE_ADDRESS, SERVICE_PORT, tableAt, updateAt } from './routing-test-support.js';
import type { RoutedBackend, RoutingUpdate } from './types.js';

const RETENTION_MS = 60_000;

function originSince(since: number, confirmedAtMs = 0, mayHaveLapsed = false): UpdateOrigin {
  return { since, confirmedAtMs, mayHaveLapsed };
}

function createKnowledge(): { clock: VirtualClock; knowledge: RoutingKnowledge } {
  const clock = new VirtualClock();
  return {
    clock,
    knowledge: new RoutingKnowledge({ clock, events: SILENT_EVENT_LOG, retentionMs: RETENTION_MS }),
  };
}

/** Returns the ids of the back ends that have not departed. */
function listedIds(knowledge: RoutingKnowledge): string[] {
  return [...knowledge.backends.all()].filter(({ departed }) => !departed).map(({ id }) => id);
}

function completeUpdate(revision: number, ...backends: RoutedBackend[]): RoutingUpdate {
  return updateAt(revision, { complete: true, backends });
}

test('a table older than the one in force is ignored', (t) => {
  const { knowledge } = createKnowledge();
  knowledge.apply('routes', updateAt(9, { complete: true, routes: [tableAt(9)] }), originSince(-1));
  knowledge.apply('routes', updateAt(7, { complete: true, routes: [tableAt(7)] }), originSince(-1));
  knowledge.apply('routes', updateAt(12, { routes: [tableAt(8)] }), originSince(9));
  t.is(knowledge.routes()?.table.version, 9);
  knowledge.apply('routes', updateAt(13, { routes: [tableAt(13, { version: 5 })] }), originSince(12));
  t.is(knowledge.routes()?.table.version, 9, 'a later revision of an older version');
  t.truthy(knowledge.routes()?.find(SERVICE_ADDRESS, SERVICE_PORT));
  t.is(knowledge.routes()?.find(SERVICE_ADDRESS, SERVICE_PORT + 1), undefined);
});

const UPDATE_SEQUENCES: readonly (readonly [string, readonly RoutingUpdate[], readonly string[]])[] = [
  ['a record, then its removal', [completeUpdate(3, backendAt('a', 3)), removalUpdate(5, 'a', 5)], []],
  [
    'a removal of the same revision as the record',
    [completeUpdate(3, backendAt('a', 3)), removalUpdate(5, 'a', 3)],
    [],
  ],
  [
    'an older record after the removal',
    [completeUpdate(3, backendAt('a', 3)), removalUpdate(5, 'a', 5), recordsUpdate(5, backendAt('a', 3))],
    [],
  ],
  [
    'a later record after the removal',
    [completeUpdate(3, backendAt('a', 3)), removalUpdate(5, 'a', 5), recordsUpdate(7, backendAt('a', 7))],
    ['a'],
  ],
  [
    'a record missing from a later complete update',
    [completeUpdate(3, backendAt('a', 3), backendAt('b', 2)), completeUpdate(6, backendAt('b', 2))],
    ['b'],
  ],
  [
    'a record missing from an older complete update',
    [
      completeUpdate(3, backendAt('a', 3)),
      recordsUpdate(8, backendAt('b', 8)),
      completeUpdate(6, backendAt('a', 3)),
    ],
    ['a', 'b'],
  ],
  ['a record from before the known revision', [completeUpdate(9), recordsUpdate(9, backendAt('a', 4))], []],
  [
    'a removal older than the record',
    [completeUpdate(9, backendAt('a', 9)), removalUpdate(9, 'a', 4)],
    ['a'],
  ],
];

function removalUpdate(revision: number, id: string, removalRevision: number): RoutingUpdate {
  return updateAt(revision, { removals: [{ id, revision: removalRevision }] });
}

function recordsUpdate(revision: number, ...backends: RoutedBackend[]): RoutingUpdate {
  return updateAt(revision, { backends });
}

for (const [name, updates, expected] of UPDATE_SEQUENCES) {
  test(`records and removals are ordered by revision: ${name}`, (t) => {
    const { knowledge } = createKnowledge();
    for (const update of updates) knowledge.apply('backends', update, originSince(0));
    t.deepEqual(listedIds(knowledge), expected);
  });
}

test('the first list of back ends is one log line, and later back ends are one line each', (t) => {
  const events: string[] = [];
  const eventLog = { emit: (event: { readonly message: string }) => void events.push(event.message) };
  const knowledge = new RoutingKnowledge({
    clock: new VirtualClock(),
    events: eventLog,
    retentionMs: RETENTION_MS,
  });
  const many = Array.from({ length: 50 }, (_, index) => backendAt(`b-${index}`, 3));
  knowledge.apply('backends', completeUpdate(3, ...many), originSince(-1));
  t.is(events.length, 1);
  t.is(listedIds(knowledge).length, 50);
  knowledge.apply('backends', recordsUpdate(4, backendAt('c', 4), backendAt('d', 4)), originSince(3));
  t.is(events.length, 3);
});

test('a departed back end is kept for the retention time', (t) => {
  const { clock, knowledge } = createKnowledge();
  knowledge.apply('backends', completeUpdate(3, backendAt('a', 3)), originSince(-1));
  knowledge.apply('backends', removalUpdate(4, 'a', 4), originSince(3));
  clock.advance(RETENTION_MS - 1);
  knowledge.backends.prune();
  t.truthy(knowledge.backends.get('a'));
  clock.advance(1);
  knowledge.backends.prune();
  t.is(knowledge.backends.get('a'), undefined);
});

test('a record that disappears counts as lapsed unless its back end was draining', (t) => {
  const { knowledge } = createKnowledge();
  const drainingRecord = backendAt('b', 3, { draining: true });
  knowledge.apply('backends', completeUpdate(3, backendAt('a', 3), drainingRecord), originSince(-1));
  knowledge.apply('backends', completeUpdate(9), originSince(-1, 0, true));
  t.true(knowledge.backends.get('a')?.lapsed);
  t.false(knowledge.backends.get('b')?.lapsed);
});

test('changes after a gap are applied, but the known revision stays', (t) => {
  const { knowledge } = createKnowledge();
  knowledge.apply('backends', completeUpdate(3, backendAt('a', 3)), originSince(-1));
  t.false(knowledge.apply('backends', recordsUpdate(9, backendAt('b', 9)), originSince(7)));
  t.deepEqual(listedIds(knowledge), ['a', 'b']);
  t.is(knowledge.revisionOf('backends'), 3);
});

test('a confirmation counts only when all changes that it covers are known', (t) => {
  const { clock, knowledge } = createKnowledge();
  clock.advance(10_000);
  knowledge.apply('backends', completeUpdate(3, backendAt('a', 3)), originSince(-1, 1_000));
  t.is(knowledge.ageOf('backends'), 9_000);
  t.false(
    knowledge.applyConfirmation('backends', { revision: 8, changedRevision: 5, confirmedAtMs: 9_000 }, PEER),
  );
  t.is(knowledge.ageOf('backends'), 9_000);
  t.true(
    knowledge.applyConfirmation('backends', { revision: 8, changedRevision: 3, confirmedAtMs: 9_000 }, PEER),
  );
  t.is(knowledge.ageOf('backends'), 1_000);
  t.is(knowledge.revisionOf('backends'), 8);
  t.true(
    knowledge.applyConfirmation('backends', { revision: 4, changedRevision: 3, confirmedAtMs: 9_900 }, PEER),
  );
  t.is(knowledge.ageOf('backends'), 1_000, 'an older revision confirms nothing');
});

test('a daemon receives departed back ends from a peer', (t) => {
  const { knowledge } = createKnowledge();
  const departed = [{ record: backendAt('b', 5), departedAtMs: 0 }];
  const update = { ...completeUpdate(9, backendAt('a', 3)), departed };
  knowledge.apply('backends', update, originSince(-1));
  t.deepEqual(listedIds(knowledge), ['a']);
  t.true(knowledge.backends.get('b')?.departed);
});

test('the retention time of a departed back end counts from its departure, however often it is gossiped', (t) => {
  const { clock, knowledge } = createKnowledge();
  clock.advance(RETENTION_MS);
  const departed = [
    { record: backendAt('b', 5), departedAtMs: 1 },
    { record: backendAt('c', 5), departedAtMs: 0 },
  ];
  knowledge.apply('backends', { ...completeUpdate(9), departed }, originSince(-1));
  t.true(knowledge.backends.get('b')?.departed);
  t.is(knowledge.backends.get('c'), undefined);
  clock.advance(1);
  knowledge.backends.prune();
  t.is(knowledge.backends.get('b'), undefined);
});

test('an outdated complete update reinstates no back end, and adds those that departed since', (t) => {
  const { knowledge } = createKnowledge();
  knowledge.apply('backends', completeUpdate(9, backendAt('a', 3)), originSince(-1));
  knowledge.apply('backends', completeUpdate(5, backendAt('a', 3), backendAt('b', 4)), originSince(-1));
  t.deepEqual(listedIds(knowledge), ['a']);
  t.true(knowledge.backends.get('b')?.departed);
  t.is(knowledge.revisionOf('backends'), 9);
});

test('a table change is applied to the table that it starts from, and is a gap for any other table', (t) => {
  const { knowledge: first } = createKnowledge();
  const gossiped: { readonly update: RoutingUpdate; readonly since: number }[] = [];
  first.subscribe((applied) => gossiped.push(applied));
  first.apply('routes', updateAt(3, { complete: true, routes: [tableAt(3)] }), originSince(-1));
  first.applyConfirmation('routes', { revision: 8, changedRevision: 3, confirmedAtMs: 0 }, PEER);
  first.apply('routes', updateAt(9, { routes: [tableAt(9, { routes: [] })] }), originSince(8));
  const { update, since } = gossiped[1]!;
  t.deepEqual(update.routes, []);
  t.is(since, 3, 'nothing changed between 3 and 8');

  const { knowledge: current } = createKnowledge();
  current.apply('routes', updateAt(5, { complete: true, routes: [tableAt(3)] }), originSince(-1));
  t.true(current.apply('routes', update, originSince(since)));
  t.is(current.routes()?.table.version, 9);
  t.deepEqual(current.routes()?.table.routes, []);

  const { knowledge: older } = createKnowledge();
  older.apply('routes', updateAt(2, { complete: true, routes: [tableAt(2)] }), originSince(-1));
  t.false(older.apply('routes', update, originSince(since)));
  t.false(
    older.apply('routes', update, originSince(2)),
    'even when the revision of the topic would allow it',
  );
  t.is(older.routes()?.table.version, 2);
  t.is(older.revisionOf('routes'), 2);
});

test('the same updates, reordered or repeated, lead to the same back ends', (t) => {
  const recordArbitrary = fc.record({ id: fc.constantFrom('a', 'b', 'c'), revision: fc.nat(20) });
  const updateArbitrary = fc.oneof(
    recordArbitrary.map(({ id, revision }) => recordsUpdate(20, backendAt(id, revision))),
    recordArbitrary.map(({ id, revision }) => removalUpdate(20, id, revision)),
  );
  fc.assert(
    fc.property(fc.array(updateArbitrary, { maxLength: 8 }), fc.nat(), (updates, seed) => {
      const outcomes = [updates, [...updates].reverse(), rotate(updates, seed), [...updates, ...updates]].map(
        (order) => {
          const { knowledge } = createKnowledge();
          const allBackends = ['a', 'b', 'c'].map((id) => backendAt(id, 0));
          knowledge.apply('backends', completeUpdate(0, ...allBackends), originSince(-1));
          for (const update of order) knowledge.apply('backends', update, originSince(0));
          return listedIds(knowledge).sort().join();
        },
      );
      return new Set(outcomes).size === 1;
    }),
    { seed: 20_261_202, numRuns: 300 },
  );
  t.pass();
});

function rotate<T>(items: readonly T[], by: number): T[] {
  const start = items.length === 0 ? 0 : by % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}
