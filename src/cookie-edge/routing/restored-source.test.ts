/**
 * Checks how a daemon reconciles its state with a source that was restored from an older backup: what it keeps, what
 * it applies from the backup at once, and what it applies only after `RESTORED_HOLD_MS`.
 */
import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { RESTORED_HOLD_MS } from './constants.js';
import { RoutingKnowledge, type UpdateOrigin } from './knowledge.js';
import { backendAt, PEER, tableAt, updateAt } from './routing-test-support.js';
import type { RoutedBackend, RoutingUpdate } from './types.js';

const ZONE = 'north';

function originSince(since: number, confirmedAtMs = Number.NEGATIVE_INFINITY): UpdateOrigin {
  return { since, confirmedAtMs, mayHaveLapsed: false };
}

/** Creates the state of a daemon at revision 21 of epoch 0: table version 24, back ends `a` and `b`, and a cordon. */
function createKnowledge(...backends: readonly RoutedBackend[]) {
  const clock = new VirtualClock();
  const options = { clock, events: SILENT_EVENT_LOG, retentionMs: 60_000, followsCordons: true };
  const knowledge = new RoutingKnowledge(options);
  const routes = [tableAt(21, { version: 24 })];
  const listed = backends.length > 0 ? backends : [backendAt('a', 3), backendAt('b', 4)];
  knowledge.apply('routes', updateAt(21, { complete: true, routes }), originSince(-1));
  knowledge.apply('backends', updateAt(21, { complete: true, backends: listed }), originSince(-1));
  const cordons = [{ zone: ZONE, revision: 20 }];
  knowledge.apply('cordons', updateAt(21, { complete: true, cordons }), originSince(-1));
  return { clock, knowledge };
}

function listAfterRestore(revision: number, overrides: Partial<RoutingUpdate> = {}): RoutingUpdate {
  return updateAt(revision, { epoch: 1, complete: true, ...overrides });
}

function changesAfterRestore(revision: number, overrides: Partial<RoutingUpdate>): RoutingUpdate {
  return updateAt(revision, { epoch: 1, ...overrides });
}

test('a list of the new epoch is applied although its revision is lower, and later changes continue from it', (t) => {
  const { knowledge } = createKnowledge();
  t.true(
    knowledge.apply('backends', listAfterRestore(16, { backends: [backendAt('a', 3)] }), originSince(-1, 0)),
  );
  t.is(knowledge.revisionOf('backends'), 16);
  const drainingRecord = backendAt('a', 18, { draining: true });
  t.true(
    knowledge.apply('backends', changesAfterRestore(18, { backends: [drainingRecord] }), originSince(16)),
  );
  t.true(knowledge.backends.get('a')?.record.draining);
});

test('changes of a new epoch without a complete list leave a gap, whatever their revision', (t) => {
  const { knowledge } = createKnowledge();
  const drainingRecord = backendAt('a', 25, { draining: true });
  t.false(
    knowledge.apply('backends', changesAfterRestore(25, { backends: [drainingRecord] }), originSince(21)),
  );
  t.false(knowledge.backends.get('a')?.record.draining);
  t.is(knowledge.revisionOf('backends'), 21);
});

test('a response of the earlier epoch neither changes nor confirms anything', (t) => {
  const { knowledge, clock } = createKnowledge();
  clock.advance(1_000);
  knowledge.apply('backends', listAfterRestore(16, { backends: [backendAt('a', 3)] }), originSince(-1, 0));
  const outdated = updateAt(30, { complete: true, backends: [backendAt('c', 29)] });
  t.true(knowledge.apply('backends', outdated, originSince(-1, 900)));
  t.is(knowledge.backends.get('c'), undefined);
  t.true(
    knowledge.applyConfirmation('backends', { revision: 30, changedRevision: 5, confirmedAtMs: 900 }, PEER),
  );
  t.is(knowledge.ageOf('backends'), 1_000);
});

test('a response about one topic does not confirm a topic of an earlier epoch', (t) => {
  const { knowledge } = createKnowledge();
  knowledge.apply('backends', listAfterRestore(16), originSince(-1, 0));
  t.is(knowledge.ageOf('backends'), 0);
  t.is(knowledge.ageOf('routes'), Number.POSITIVE_INFINITY);
});

test('a confirmation of a later epoch reveals a gap', (t) => {
  const { knowledge } = createKnowledge();
  const confirmation = { epoch: 1, revision: 16, changedRevision: 3, confirmedAtMs: 0 };
  t.false(knowledge.applyConfirmation('routes', confirmation, PEER));
});

test('the table in force stays when the backup has an older version, until a newer one is written', (t) => {
  const { knowledge } = createKnowledge();
  knowledge.apply(
    'routes',
    listAfterRestore(16, { routes: [tableAt(15, { epoch: 1, version: 20 })] }),
    originSince(-1),
  );
  t.is(knowledge.routes()?.table.version, 24);
  t.is(knowledge.tableRevision, -1, 'no change of the new epoch starts from a table of the earlier one');
  knowledge.apply(
    'routes',
    changesAfterRestore(17, { routes: [tableAt(17, { epoch: 1, version: 24 })] }),
    originSince(16),
  );
  t.is(knowledge.tableRevision, 17);
  knowledge.apply(
    'routes',
    changesAfterRestore(19, { routes: [tableAt(19, { epoch: 1, version: 27 })] }),
    originSince(17),
  );
  t.is(knowledge.routes()?.table.version, 27);
});

test('a table change keeps the epoch, so that the next change can start from the result', (t) => {
  const { knowledge: first } = createKnowledge();
  const { knowledge: second } = createKnowledge();
  const gossiped: RoutingUpdate[] = [];
  first.subscribe(({ topic, update, since }) => {
    if (topic !== 'routes') return;
    gossiped.push(update);
    t.true(second.apply('routes', update, originSince(since)), `version ${first.routes()?.table.version}`);
  });
  first.apply(
    'routes',
    listAfterRestore(17, { routes: [tableAt(17, { epoch: 1, version: 24 })] }),
    originSince(-1),
  );
  for (const version of [27, 29, 33]) {
    const table = tableAt(version, { epoch: 1, version });
    first.apply('routes', changesAfterRestore(version, { routes: [table] }), originSince(17));
    t.is(second.routes()?.table.version, version);
    t.is(second.tableRevision, version);
  }
  t.deepEqual(
    gossiped.map(({ routeChange }) => routeChange !== undefined),
    [false, true, true, true],
  );
});

test('a departed back end that a later list lacks is not reinstated', (t) => {
  const { knowledge, clock } = createKnowledge();
  knowledge.apply('backends', updateAt(22, { removals: [{ id: 'b', revision: 22 }] }), originSince(21));
  knowledge.apply('backends', listAfterRestore(16, { backends: [backendAt('b', 4)] }), originSince(-1));
  knowledge.apply('backends', listAfterRestore(18), originSince(-1));
  clock.advance(RESTORED_HOLD_MS);
  knowledge.prune();
  t.true(knowledge.backends.get('b')?.departed);
});

test('the table in force is gossiped, not the older one of the backup', (t) => {
  const { knowledge } = createKnowledge();
  const gossiped: RoutingUpdate[] = [];
  knowledge.subscribe(({ update }) => gossiped.push(update));
  knowledge.apply(
    'routes',
    listAfterRestore(16, { routes: [tableAt(15, { epoch: 1, version: 20 })] }),
    originSince(-1),
  );
  t.like(gossiped[0], { epoch: 1, revision: 16, complete: true });
  t.deepEqual(
    gossiped[0]?.routes.map(({ version }) => version),
    [24],
  );
});

test('a draining back end stays draining although the backup is older', (t) => {
  const { knowledge } = createKnowledge(backendAt('a', 20, { draining: true }));
  knowledge.apply('backends', listAfterRestore(16, { backends: [backendAt('a', 3)] }), originSince(-1));
  t.true(knowledge.backends.get('a')?.record.draining);
});

test('a departed back end that the backup lists stays departed for `RESTORED_HOLD_MS`', (t) => {
  const { knowledge, clock } = createKnowledge();
  knowledge.apply('backends', updateAt(22, { removals: [{ id: 'b', revision: 22 }] }), originSince(21));
  const listed = [backendAt('a', 3), backendAt('b', 4)];
  knowledge.apply('backends', listAfterRestore(16, { backends: listed }), originSince(-1));
  t.true(knowledge.backends.get('b')?.departed);
  clock.advance(RESTORED_HOLD_MS - 1);
  knowledge.prune();
  t.true(knowledge.backends.get('b')?.departed);
  clock.advance(1);
  knowledge.prune();
  t.false(knowledge.backends.get('b')?.departed);
});

test('a departed back end that the backup lists returns when it writes its record, and not when that is removed', (t) => {
  for (const isWrittenAgain of [true, false]) {
    const { knowledge, clock } = createKnowledge();
    knowledge.apply('backends', updateAt(22, { removals: [{ id: 'b', revision: 22 }] }), originSince(21));
    knowledge.apply('backends', listAfterRestore(16, { backends: [backendAt('b', 4)] }), originSince(-1));
    const next = isWrittenAgain
      ? changesAfterRestore(18, { backends: [backendAt('b', 18)] })
      : changesAfterRestore(18, { removals: [{ id: 'b', revision: 4 }] });
    knowledge.apply('backends', next, originSince(16));
    clock.advance(RESTORED_HOLD_MS);
    knowledge.prune();
    t.is(knowledge.backends.get('b')?.departed, !isWrittenAgain);
  }
});

test('a back end that the backup lacks counts as lapsed', (t) => {
  const { knowledge } = createKnowledge();
  knowledge.apply('backends', listAfterRestore(16, { backends: [backendAt('a', 3)] }), originSince(-1));
  t.like(knowledge.backends.get('b'), { departed: true, lapsed: true });
  knowledge.apply('backends', changesAfterRestore(18, { backends: [backendAt('b', 18)] }), originSince(16));
  t.false(knowledge.backends.get('b')?.departed);
});

test('reading a record again does not extend slow start', (t) => {
  const { knowledge, clock } = createKnowledge(backendAt('a', 3, { coldMs: 4_000 }));
  clock.advance(3_000);
  knowledge.apply(
    'backends',
    listAfterRestore(16, { backends: [backendAt('a', 3, { coldMs: 4_000 })] }),
    originSince(-1),
  );
  t.is(knowledge.backends.get('a')?.coldUntilMs, 4_000);
});

test('a cordon that the backup lacks stays for `RESTORED_HOLD_MS`, and longer only if it is written again', (t) => {
  for (const isWrittenAgain of [true, false]) {
    const { knowledge, clock } = createKnowledge();
    knowledge.apply('cordons', listAfterRestore(16), originSince(-1));
    t.true(knowledge.cordons.has(ZONE));
    const cordons = isWrittenAgain ? [{ zone: ZONE, revision: 18 }] : [];
    knowledge.apply('cordons', changesAfterRestore(18, { cordons }), originSince(16));
    clock.advance(RESTORED_HOLD_MS);
    knowledge.prune();
    t.is(knowledge.cordons.has(ZONE), isWrittenAgain);
  }
});

test('the source can be restored repeatedly', (t) => {
  const { knowledge } = createKnowledge();
  for (let epoch = 1; epoch <= 5; epoch += 1) {
    const list = updateAt(16, { epoch, complete: true, backends: [backendAt('a', 3)] });
    t.true(knowledge.apply('backends', list, originSince(-1)));
    const changes = updateAt(18, { epoch, backends: [backendAt(`new-${epoch}`, 18)] });
    t.true(knowledge.apply('backends', changes, originSince(16)));
    t.false(knowledge.backends.get(`new-${epoch}`)?.departed);
  }
});
