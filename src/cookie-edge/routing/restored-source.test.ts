/** What a daemon keeps, takes and lets wait when the source was restored from a copy older than what it knows. */
import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { RESTORED_HOLD_MS } from './constants.js';
import { RoutingKnowledge, type UpdateOrigin } from './knowledge.js';
import { backendAt, tableAt, updateAt } from './routing-test-support.js';
import type { RoutedBackend, RoutingUpdate } from './types.js';

const ZONE = 'north';

function origin(since: number, confirmedAtMs = Number.NEGATIVE_INFINITY): UpdateOrigin {
  return { since, confirmedAtMs, mayHaveLapsed: false };
}

/** A daemon that knows revision 21 of epoch 0: version 24, back ends `a` and `b`, and a cordon. */
function knowing(...backends: readonly RoutedBackend[]) {
  const clock = new VirtualClock();
  const options = { clock, events: SILENT_EVENT_LOG, retentionMs: 60_000, followsCordons: true };
  const knowledge = new RoutingKnowledge(options);
  const routes = [tableAt(21, { version: 24 })];
  const listed = backends.length > 0 ? backends : [backendAt('a', 3), backendAt('b', 4)];
  knowledge.apply('routes', updateAt(21, { complete: true, routes }), origin(-1));
  knowledge.apply('backends', updateAt(21, { complete: true, backends: listed }), origin(-1));
  const cordons = [{ zone: ZONE, revision: 20 }];
  knowledge.apply('cordons', updateAt(21, { complete: true, cordons }), origin(-1));
  return { clock, knowledge };
}

function restored(revision: number, change: Partial<RoutingUpdate> = {}): RoutingUpdate {
  return updateAt(revision, { epoch: 1, complete: true, ...change });
}

function changed(revision: number, change: Partial<RoutingUpdate>): RoutingUpdate {
  return updateAt(revision, { epoch: 1, ...change });
}

test('a list of the new epoch is taken though its revision is lower, and changes go on from there', (t) => {
  const { knowledge } = knowing();
  t.true(knowledge.apply('backends', restored(16, { backends: [backendAt('a', 3)] }), origin(-1, 0)));
  t.is(knowledge.revisionOf('backends'), 16);
  const leaving = backendAt('a', 18, { draining: true });
  t.true(knowledge.apply('backends', changed(18, { backends: [leaving] }), origin(16)));
  t.true(knowledge.backends.get('a')?.record.draining);
});

test('changes of a new epoch alone leave a gap, whatever their revision', (t) => {
  const { knowledge } = knowing();
  const leaving = backendAt('a', 25, { draining: true });
  t.false(knowledge.apply('backends', changed(25, { backends: [leaving] }), origin(21)));
  t.false(knowledge.backends.get('a')?.record.draining);
  t.is(knowledge.revisionOf('backends'), 21);
});

test('an answer of the earlier epoch changes and confirms nothing any more', (t) => {
  const { knowledge, clock } = knowing();
  clock.advance(1_000);
  knowledge.apply('backends', restored(16, { backends: [backendAt('a', 3)] }), origin(-1, 0));
  const late = updateAt(30, { complete: true, backends: [backendAt('c', 29)] });
  t.true(knowledge.apply('backends', late, origin(-1, 900)));
  t.is(knowledge.backends.get('c'), undefined);
  t.true(knowledge.applyConfirmation('backends', { revision: 30, changedRevision: 5, confirmedAtMs: 900 }));
  t.is(knowledge.ageOf('backends'), 1_000);
});

test('an answer about one topic does not confirm another one of an earlier epoch', (t) => {
  const { knowledge } = knowing();
  knowledge.apply('backends', restored(16), origin(-1, 0));
  t.is(knowledge.ageOf('backends'), 0);
  t.is(knowledge.ageOf('routes'), Number.POSITIVE_INFINITY);
});

test('a confirmation of a later epoch shows that something is missing', (t) => {
  const { knowledge } = knowing();
  const confirmation = { epoch: 1, revision: 16, changedRevision: 3, confirmedAtMs: 0 };
  t.false(knowledge.applyConfirmation('routes', confirmation));
});

test('the table in force stays when the copy holds an older version, until the newer one is written again', (t) => {
  const { knowledge } = knowing();
  knowledge.apply('routes', restored(16, { routes: [tableAt(15, { epoch: 1, version: 20 })] }), origin(-1));
  t.is(knowledge.routes()?.table.version, 24);
  t.is(knowledge.tableRevision, -1, 'no change of the new epoch starts from a table of the earlier one');
  knowledge.apply('routes', changed(17, { routes: [tableAt(17, { epoch: 1, version: 24 })] }), origin(16));
  t.is(knowledge.tableRevision, 17);
  knowledge.apply('routes', changed(19, { routes: [tableAt(19, { epoch: 1, version: 27 })] }), origin(17));
  t.is(knowledge.routes()?.table.version, 27);
});

test('a change of the table keeps the epoch, so that the next change starts from it', (t) => {
  const { knowledge: first } = knowing();
  const { knowledge: second } = knowing();
  const told: RoutingUpdate[] = [];
  first.subscribe(({ topic, update, since }) => {
    if (topic !== 'routes') return;
    told.push(update);
    t.true(second.apply('routes', update, origin(since)), `version ${first.routes()?.table.version}`);
  });
  first.apply('routes', restored(17, { routes: [tableAt(17, { epoch: 1, version: 24 })] }), origin(-1));
  for (const version of [27, 29, 33]) {
    const table = tableAt(version, { epoch: 1, version });
    first.apply('routes', changed(version, { routes: [table] }), origin(17));
    t.is(second.routes()?.table.version, version);
    t.is(second.tableRevision, version);
  }
  t.deepEqual(
    told.map(({ routeChange }) => routeChange !== undefined),
    [false, true, true, true],
  );
});

test('a back end that had left waits no longer once a later list lacks it', (t) => {
  const { knowledge, clock } = knowing();
  knowledge.apply('backends', updateAt(22, { removals: [{ id: 'b', revision: 22 }] }), origin(21));
  knowledge.apply('backends', restored(16, { backends: [backendAt('b', 4)] }), origin(-1));
  knowledge.apply('backends', restored(18), origin(-1));
  clock.advance(RESTORED_HOLD_MS);
  knowledge.prune();
  t.true(knowledge.backends.get('b')?.departed);
});

test('others are told the table in force, not the older one of the copy', (t) => {
  const { knowledge } = knowing();
  const told: RoutingUpdate[] = [];
  knowledge.subscribe(({ update }) => told.push(update));
  knowledge.apply('routes', restored(16, { routes: [tableAt(15, { epoch: 1, version: 20 })] }), origin(-1));
  t.like(told[0], { epoch: 1, revision: 16, complete: true });
  t.deepEqual(
    told[0]?.routes.map(({ version }) => version),
    [24],
  );
});

test('a back end that said that it leaves still does, though the copy is from before', (t) => {
  const { knowledge } = knowing(backendAt('a', 20, { draining: true }));
  knowledge.apply('backends', restored(16, { backends: [backendAt('a', 3)] }), origin(-1));
  t.true(knowledge.backends.get('a')?.record.draining);
});

test('a back end that had left and is listed by the copy waits before it gets new flows', (t) => {
  const { knowledge, clock } = knowing();
  knowledge.apply('backends', updateAt(22, { removals: [{ id: 'b', revision: 22 }] }), origin(21));
  const listed = [backendAt('a', 3), backendAt('b', 4)];
  knowledge.apply('backends', restored(16, { backends: listed }), origin(-1));
  t.true(knowledge.backends.get('b')?.departed);
  clock.advance(RESTORED_HOLD_MS - 1);
  knowledge.prune();
  t.true(knowledge.backends.get('b')?.departed);
  clock.advance(1);
  knowledge.prune();
  t.false(knowledge.backends.get('b')?.departed);
});

test('a back end that had left and is listed by the copy is back as soon as it writes, and gone when it does not', (t) => {
  for (const writes of [true, false]) {
    const { knowledge, clock } = knowing();
    knowledge.apply('backends', updateAt(22, { removals: [{ id: 'b', revision: 22 }] }), origin(21));
    knowledge.apply('backends', restored(16, { backends: [backendAt('b', 4)] }), origin(-1));
    const next = writes
      ? changed(18, { backends: [backendAt('b', 18)] })
      : changed(18, { removals: [{ id: 'b', revision: 4 }] });
    knowledge.apply('backends', next, origin(16));
    clock.advance(RESTORED_HOLD_MS);
    knowledge.prune();
    t.is(knowledge.backends.get('b')?.departed, !writes);
  }
});

test('a back end that the copy does not know yet may only have lapsed', (t) => {
  const { knowledge } = knowing();
  knowledge.apply('backends', restored(16, { backends: [backendAt('a', 3)] }), origin(-1));
  t.like(knowledge.backends.get('b'), { departed: true, lapsed: true });
  knowledge.apply('backends', changed(18, { backends: [backendAt('b', 18)] }), origin(16));
  t.false(knowledge.backends.get('b')?.departed);
});

test('a back end is not cold for longer because its record is read again', (t) => {
  const { knowledge, clock } = knowing(backendAt('a', 3, { coldMs: 4_000 }));
  clock.advance(3_000);
  knowledge.apply('backends', restored(16, { backends: [backendAt('a', 3, { coldMs: 4_000 })] }), origin(-1));
  t.is(knowledge.backends.get('a')?.coldUntilMs, 4_000);
});

test('a cordon that the copy lacks stays until it is written again, or has not been for a while', (t) => {
  for (const isWrittenAgain of [true, false]) {
    const { knowledge, clock } = knowing();
    knowledge.apply('cordons', restored(16), origin(-1));
    t.true(knowledge.cordons.has(ZONE));
    const cordons = isWrittenAgain ? [{ zone: ZONE, revision: 18 }] : [];
    knowledge.apply('cordons', changed(18, { cordons }), origin(16));
    clock.advance(RESTORED_HOLD_MS);
    knowledge.prune();
    t.is(knowledge.cordons.has(ZONE), isWrittenAgain);
  }
});

test('a source may be restored again and again', (t) => {
  const { knowledge } = knowing();
  for (let epoch = 1; epoch <= 5; epoch += 1) {
    const list = updateAt(16, { epoch, complete: true, backends: [backendAt('a', 3)] });
    t.true(knowledge.apply('backends', list, origin(-1)));
    const more = updateAt(18, { epoch, backends: [backendAt(`new-${epoch}`, 18)] });
    t.true(knowledge.apply('backends', more, origin(16)));
    t.false(knowledge.backends.get(`new-${epoch}`)?.departed);
  }
});
