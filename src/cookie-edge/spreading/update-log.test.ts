import test from 'ava';
import { backendAt, tableAt, updateAt } from '../routing/routing-test-support.js';
import { NOTHING_KNOWN } from './constants.js';
import type { KnownTopic } from './types.js';
import { UpdateLog } from './update-log.js';

function knownAt(revision: number): KnownTopic {
  return { revision, table: NOTHING_KNOWN };
}

/** Returns a log with one change per revision. Each changes a back end of its own and the back end `often`. */
function logWithRevisions(...revisions: readonly number[]): UpdateLog {
  const log = new UpdateLog();
  let since = 0;
  for (const revision of revisions) {
    const backends = [backendAt(`b-${revision}`, revision), backendAt('often', revision)];
    log.record({ topic: 'backends', since, update: updateAt(revision, { backends }) });
    since = revision;
  }
  return log;
}

/** Returns the records, as `id@revision`, that the log returns to a requester at `revision`. */
function recordsAfter(log: UpdateLog, revision: number): string[] | undefined {
  return log
    .changesSince('backends', knownAt(revision))
    ?.update.backends.map(({ id, revision: recordRevision }) => `${id}@${recordRevision}`);
}

test('a lagging daemon gets only the latest record of each back end', (t) => {
  t.deepEqual(recordsAfter(logWithRevisions(5, 7, 9), 5), ['b-7@7', 'often@9', 'b-9@9']);
});

test('a daemon that knows a part of a long change gets only the rest', (t) => {
  const log = new UpdateLog();
  const backends = [3, 5, 7, 9].map((revision) => backendAt(`b-${revision}`, revision));
  const removals = [{ id: 'gone', revision: 2 }];
  log.record({ topic: 'backends', since: 1, update: updateAt(9, { backends, removals }) });
  t.deepEqual(recordsAfter(log, 6), ['b-7@7', 'b-9@9']);
  t.deepEqual(
    log.changesSince('backends', knownAt(6))?.update.removals,
    removals,
    'removals carry older revisions',
  );
  t.is(log.changesSince('backends', knownAt(6))?.update.revision, 9);
});

test('an update starts where its content starts, so that a daemon that knows less detects the gap', (t) => {
  const log = new UpdateLog();
  const backends = [3, 5, 7, 9].map((revision) => backendAt(`b-${revision}`, revision));
  log.record({ topic: 'backends', since: 1, update: updateAt(9, { backends }) });
  t.is(log.changesSince('backends', knownAt(6))?.since, 6);
  t.is(log.changesSince('backends', knownAt(1))?.since, 1);
});

test('table changes are not merged across a change that was not logged', (t) => {
  const log = new UpdateLog();
  const change = (fromRevision: number, revision: number) =>
    updateAt(revision, {
      routeChange: { ...tableAt(revision), fromRevisions: [fromRevision], removedRoutes: [], digest: 0 },
    });
  log.record({ topic: 'routes', since: 3, update: change(3, 7) });
  log.record({ topic: 'routes', since: 7, update: change(9, 12) });
  t.is(log.changesSince('routes', { revision: 3, table: 3 }), undefined);
  t.is(log.changesSince('routes', { revision: 7, table: 7 }), undefined, 'nothing leads from 7 to 9');
  const updateFromNine = log.changesSince('routes', { revision: 9, table: 9 });
  t.deepEqual(updateFromNine?.update.routeChange?.fromRevisions, [9]);
});

test('the log returns nothing for a revision that it does not reach back to', (t) => {
  t.is(logWithRevisions(5, 7).changesSince('backends', knownAt(-1)), undefined);
});
