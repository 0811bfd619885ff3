import test from 'ava';
import fc from 'fast-check';
import { VirtualClock } from '../../common/clock.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { RoutingKnowledge, type UpdateOrigin } from './knowledge.js';
import { backendAt, SERVICE_ADDRESS, SERVICE_PORT, tableAt, updateAt } from './routing-test-support.js';
import type { RoutedBackend, RoutingUpdate } from './types.js';

const RETENTION_MS = 60_000;

function origin(since: number, confirmedAtMs = 0, mayHaveLapsed = false): UpdateOrigin {
  return { since, confirmedAtMs, mayHaveLapsed };
}

function createKnowledge(): { clock: VirtualClock; knowledge: RoutingKnowledge } {
  const clock = new VirtualClock();
  return {
    clock,
    knowledge: new RoutingKnowledge({ clock, events: SILENT_EVENT_LOG, retentionMs: RETENTION_MS }),
  };
}

/** Ids of the back ends that are not departed. */
function present(knowledge: RoutingKnowledge): string[] {
  return [...knowledge.backends.all()].filter(({ departed }) => !departed).map(({ id }) => id);
}

function list(revision: number, ...backends: RoutedBackend[]): RoutingUpdate {
  return updateAt(revision, { complete: true, backends });
}

test('a table that is older than the one in force is ignored, wherever it comes from', (t) => {
  const { knowledge } = createKnowledge();
  knowledge.apply('routes', updateAt(9, { complete: true, routes: [tableAt(9)] }), origin(-1));
  knowledge.apply('routes', updateAt(7, { complete: true, routes: [tableAt(7)] }), origin(-1));
  knowledge.apply('routes', updateAt(12, { routes: [tableAt(8)] }), origin(9));
  t.is(knowledge.routes()?.table.version, 9);
  knowledge.apply('routes', updateAt(13, { routes: [tableAt(13, { version: 5 })] }), origin(12));
  t.is(knowledge.routes()?.table.version, 9, 'a later revision of an older version');
  t.truthy(knowledge.routes()?.find(SERVICE_ADDRESS, SERVICE_PORT));
  t.is(knowledge.routes()?.find(SERVICE_ADDRESS, SERVICE_PORT + 1), undefined);
});

const ORDERS: readonly (readonly [string, readonly RoutingUpdate[], readonly string[]])[] = [
  ['record, then its removal', [list(3, backendAt('a', 3)), removal(5, 'a', 5)], []],
  ['removal of the same revision', [list(3, backendAt('a', 3)), removal(5, 'a', 3)], []],
  [
    'an older record after the removal',
    [list(3, backendAt('a', 3)), removal(5, 'a', 5), change(5, backendAt('a', 3))],
    [],
  ],
  [
    'it is recorded again later',
    [list(3, backendAt('a', 3)), removal(5, 'a', 5), change(7, backendAt('a', 7))],
    ['a'],
  ],
  ['not listed any more', [list(3, backendAt('a', 3), backendAt('b', 2)), list(6, backendAt('b', 2))], ['b']],
  [
    'listed before it was recorded',
    [list(3, backendAt('a', 3)), change(8, backendAt('b', 8)), list(6, backendAt('a', 3))],
    ['a', 'b'],
  ],
  ['a record from before the known revision', [list(9), change(9, backendAt('a', 4))], []],
  ['an old removal', [list(9, backendAt('a', 9)), removal(9, 'a', 4)], ['a']],
];

function removal(revision: number, id: string, removedAt: number): RoutingUpdate {
  return updateAt(revision, { removals: [{ id, revision: removedAt }] });
}

function change(revision: number, ...backends: RoutedBackend[]): RoutingUpdate {
  return updateAt(revision, { backends });
}

for (const [name, updates, expected] of ORDERS) {
  test(`records and removals are ordered by revision: ${name}`, (t) => {
    const { knowledge } = createKnowledge();
    for (const update of updates) knowledge.apply('backends', update, origin(0));
    t.deepEqual(present(knowledge), expected);
  });
}

test('the first list of back ends is one log line, further ones are a line each', (t) => {
  const events: string[] = [];
  const log = { emit: (event: { readonly message: string }) => void events.push(event.message) };
  const knowledge = new RoutingKnowledge({
    clock: new VirtualClock(),
    events: log,
    retentionMs: RETENTION_MS,
  });
  const many = Array.from({ length: 50 }, (_, index) => backendAt(`b-${index}`, 3));
  knowledge.apply('backends', list(3, ...many), origin(-1));
  t.is(events.length, 1);
  t.is(present(knowledge).length, 50);
  knowledge.apply('backends', change(4, backendAt('c', 4), backendAt('d', 4)), origin(3));
  t.is(events.length, 3);
});

test('a back end that left is remembered as long as a flow to it may be open', (t) => {
  const { clock, knowledge } = createKnowledge();
  knowledge.apply('backends', list(3, backendAt('a', 3)), origin(-1));
  knowledge.apply('backends', removal(4, 'a', 4), origin(3));
  clock.advance(RETENTION_MS - 1);
  knowledge.backends.prune();
  t.truthy(knowledge.backends.get('a'));
  clock.advance(1);
  knowledge.backends.prune();
  t.is(knowledge.backends.get('a'), undefined);
});

test('a record may only have lapsed when its owner had not said that it leaves', (t) => {
  const { knowledge } = createKnowledge();
  const leaving = backendAt('b', 3, { draining: true });
  knowledge.apply('backends', list(3, backendAt('a', 3), leaving), origin(-1));
  knowledge.apply('backends', list(9), origin(-1, 0, true));
  t.true(knowledge.backends.get('a')?.lapsed);
  t.false(knowledge.backends.get('b')?.lapsed);
});

test('changes that leave a gap are taken but not counted as complete', (t) => {
  const { knowledge } = createKnowledge();
  knowledge.apply('backends', list(3, backendAt('a', 3)), origin(-1));
  t.false(knowledge.apply('backends', change(9, backendAt('b', 9)), origin(7)));
  t.deepEqual(present(knowledge), ['a', 'b']);
  t.is(knowledge.revisionOf('backends'), 3);
});

test('a confirmation counts only where every change it speaks of is known', (t) => {
  const { clock, knowledge } = createKnowledge();
  clock.advance(10_000);
  knowledge.apply('backends', list(3, backendAt('a', 3)), origin(-1, 1_000));
  t.is(knowledge.ageOf('backends'), 9_000);
  t.false(knowledge.applyConfirmation('backends', { revision: 8, changedRevision: 5, confirmedAtMs: 9_000 }));
  t.is(knowledge.ageOf('backends'), 9_000);
  t.true(knowledge.applyConfirmation('backends', { revision: 8, changedRevision: 3, confirmedAtMs: 9_000 }));
  t.is(knowledge.ageOf('backends'), 1_000);
  t.is(knowledge.revisionOf('backends'), 8);
  t.true(knowledge.applyConfirmation('backends', { revision: 4, changedRevision: 3, confirmedAtMs: 9_900 }));
  t.is(knowledge.ageOf('backends'), 1_000, 'an older revision confirms nothing');
});

test('one who never knew departed back ends learns them from another', (t) => {
  const { knowledge } = createKnowledge();
  const departed = [{ record: backendAt('b', 5), departedAtMs: 0 }];
  const update = { ...list(9, backendAt('a', 3)), departed };
  knowledge.apply('backends', update, origin(-1));
  t.deepEqual(present(knowledge), ['a']);
  t.true(knowledge.backends.get('b')?.departed);
});

test('a back end that left is forgotten everywhere when it left long enough ago, however often it is told of', (t) => {
  const { clock, knowledge } = createKnowledge();
  clock.advance(RETENTION_MS);
  const departed = [
    { record: backendAt('b', 5), departedAtMs: 1 },
    { record: backendAt('c', 5), departedAtMs: 0 },
  ];
  knowledge.apply('backends', { ...list(9), departed }, origin(-1));
  t.true(knowledge.backends.get('b')?.departed);
  t.is(knowledge.backends.get('c'), undefined);
  clock.advance(1);
  knowledge.backends.prune();
  t.is(knowledge.backends.get('b'), undefined);
});

test('a complete update older than what is known brings nobody back, and tells of those who left in between', (t) => {
  const { knowledge } = createKnowledge();
  knowledge.apply('backends', list(9, backendAt('a', 3)), origin(-1));
  knowledge.apply('backends', list(5, backendAt('a', 3), backendAt('b', 4)), origin(-1));
  t.deepEqual(present(knowledge), ['a']);
  t.true(knowledge.backends.get('b')?.departed);
  t.is(knowledge.revisionOf('backends'), 9);
});

test('a change of the table is taken by whoever knows the table it starts from, and counts as a gap elsewhere', (t) => {
  const { knowledge: first } = createKnowledge();
  const passedOn: { readonly update: RoutingUpdate; readonly since: number }[] = [];
  first.subscribe((applied) => passedOn.push(applied));
  first.apply('routes', updateAt(3, { complete: true, routes: [tableAt(3)] }), origin(-1));
  first.applyConfirmation('routes', { revision: 8, changedRevision: 3, confirmedAtMs: 0 });
  first.apply('routes', updateAt(9, { routes: [tableAt(9, { routes: [] })] }), origin(8));
  const { update, since } = passedOn[1]!;
  t.deepEqual(update.routes, []);
  t.is(since, 3, 'nothing changed between 3 and 8');

  const { knowledge: current } = createKnowledge();
  current.apply('routes', updateAt(5, { complete: true, routes: [tableAt(3)] }), origin(-1));
  t.true(current.apply('routes', update, origin(since)));
  t.is(current.routes()?.table.version, 9);
  t.deepEqual(current.routes()?.table.routes, []);

  const { knowledge: older } = createKnowledge();
  older.apply('routes', updateAt(2, { complete: true, routes: [tableAt(2)] }), origin(-1));
  t.false(older.apply('routes', update, origin(since)));
  t.false(older.apply('routes', update, origin(2)), 'also where the revision would allow it');
  t.is(older.routes()?.table.version, 2);
  t.is(older.revisionOf('routes'), 2);
});

test('the same updates in any order and number lead to the same back ends', (t) => {
  const record = fc.record({ id: fc.constantFrom('a', 'b', 'c'), revision: fc.nat(20) });
  const step = fc.oneof(
    record.map(({ id, revision }) => change(20, backendAt(id, revision))),
    record.map(({ id, revision }) => removal(20, id, revision)),
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 8 }), fc.nat(), (steps, seed) => {
      const seen = [steps, [...steps].reverse(), rotate(steps, seed), [...steps, ...steps]].map((order) => {
        const { knowledge } = createKnowledge();
        const everyone = ['a', 'b', 'c'].map((id) => backendAt(id, 0));
        knowledge.apply('backends', list(0, ...everyone), origin(-1));
        for (const update of order) knowledge.apply('backends', update, origin(0));
        return present(knowledge).sort().join();
      });
      return new Set(seen).size === 1;
    }),
    { seed: 20_261_202, numRuns: 300 },
  );
  t.pass();
});

function rotate<T>(items: readonly T[], by: number): T[] {
  const start = items.length === 0 ? 0 : by % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}
