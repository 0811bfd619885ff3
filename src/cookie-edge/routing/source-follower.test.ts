import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { CHANGE_WATCH_DELAY_MS, FIRST_WATCH_WAIT_MS, RETRY_MAX_MS } from './constants.js';
import type { RoutingSourceErrorKind } from './errors.js';
import { freshnessTimings } from './freshness.js';
import { RoutingKnowledge } from './knowledge.js';
import { ProblemLog } from './problem-log.js';
import { backendAt, ScriptedSource, updateAt, type SourceCall } from './routing-test-support.js';
import { SourceAvailability } from './source-availability.js';
import { SourceFollower } from './source-follower.js';
import { SourceHistoryLog } from './source-history-log.js';
import type { RoutingUpdate } from './types.js';

type Answer = RoutingUpdate | RoutingSourceErrorKind;

const TIMINGS = freshnessTimings(3_000);

/** A follower of back ends on a virtual clock, whose source answers as the script says. */
function follow(script: (call: SourceCall, clock: VirtualClock) => Promise<Answer>) {
  const clock = new VirtualClock();
  const source = new ScriptedSource((call) => script(call, clock));
  const knowledge = new RoutingKnowledge({ clock, events: SILENT_EVENT_LOG, retentionMs: 60_000 });
  const availability = new SourceAvailability(clock, seededRandom(1), SILENT_EVENT_LOG);
  const abort = new AbortController();
  const problems = new ProblemLog(SILENT_EVENT_LOG);
  const history = new SourceHistoryLog(SILENT_EVENT_LOG);
  const options = { clock, source, knowledge, availability, timings: TIMINGS, problems, history };
  void new SourceFollower('backends', options).run(abort.signal);
  return { clock, source, knowledge, availability, problems, history, stop: () => abort.abort() };
}

function after<T>(clock: VirtualClock, delayMs: number, value: T): Promise<T> {
  return new Promise((resolve) => clock.schedule(delayMs, () => resolve(value)));
}

const NEVER = new Promise<never>(() => undefined);
const LIST = updateAt(5, { complete: true, backends: [backendAt('a', 5)] });

test('an empty answer of a watch confirms the time for which it was held back', async (t) => {
  const { clock, knowledge, stop } = follow((call, virtual) =>
    call.kind === 'read' ? after(virtual, 4, LIST) : after(virtual, call.waitMs + 4, updateAt(6)),
  );
  await clock.advanceAsync(TIMINGS.watchWaitMs + 30, 1);
  t.true(knowledge.ageOf('backends') < 40, String(knowledge.ageOf('backends')));
  await clock.advanceAsync(TIMINGS.watchWaitMs - 100, 1);
  t.true(knowledge.ageOf('backends') <= TIMINGS.watchWaitMs - 50, String(knowledge.ageOf('backends')));
  stop();
});

test('a watch waits as long as the age of what is known allows, since an answer with changes confirms little', async (t) => {
  const CHANGE_AFTER_MS = [1_000, 500, 100];
  let revision = 6;
  const { clock, source, knowledge, stop } = follow((call, virtual) => {
    if (call.kind === 'read') return after(virtual, 4, LIST);
    if (call.waitMs === FIRST_WATCH_WAIT_MS) return after(virtual, 4, updateAt(6));
    const changeMs = CHANGE_AFTER_MS.shift();
    if (changeMs === undefined) return NEVER;
    revision += 1;
    return after(virtual, changeMs, updateAt(revision, { backends: [backendAt('b', revision)] }));
  });
  await clock.advanceAsync(2_500, 1);
  t.is(knowledge.backends.get('b')?.record.revision, 9);
  const waits = source.calls.filter(({ kind }) => kind === 'watch').map(({ waitMs }) => waitMs);
  t.is(waits[0], FIRST_WATCH_WAIT_MS);
  t.is(waits[1], TIMINGS.watchWaitMs);
  const lefts = [1_000, 500, 100].map((ms) =>
    Math.min(TIMINGS.watchWaitMs, TIMINGS.readerAgeMs - ms - CHANGE_WATCH_DELAY_MS),
  );
  waits.slice(2).forEach((waitMs, index) => t.true(Math.abs(waitMs - lefts[index]!) <= 10, waits.join()));
  stop();
});

test('a reader keeps what it knows young enough for the others, whenever changes come', async (t) => {
  for (const gapMs of [30, 200, 700, 1_300, 1_349, 1_500, 2_600]) {
    let madeRevision = 6;
    let changedAtMs = 0;
    const { clock, knowledge, source, stop } = follow(async (call, virtual) => {
      if (call.kind === 'read') return after(virtual, 4, LIST);
      const endMs = virtual.now() + call.waitMs;
      while (virtual.now() < endMs && madeRevision <= call.revision) await after(virtual, 5, undefined);
      const hasChange = madeRevision > call.revision;
      return updateAt(madeRevision, hasChange ? { backends: [backendAt('b', madeRevision)] } : {});
    });
    let oldestMs = 0;
    for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 5) {
      await clock.advanceAsync(5, 5);
      if (clock.now() - changedAtMs >= gapMs) {
        madeRevision += 1;
        changedAtMs = clock.now();
      }
      if (elapsedMs > 500) oldestMs = Math.max(oldestMs, knowledge.ageOf('backends'));
    }
    t.true(oldestMs < TIMINGS.pullAfterMs, `${oldestMs} ms with a change each ${gapMs} ms`);
    t.true(source.calls.length <= 20_000 / CHANGE_WATCH_DELAY_MS + 3, `${source.calls.length} calls`);
    stop();
  }
});

test('the reading of a start may be old and confirms nothing; one after a gap must be current', async (t) => {
  let watches = 0;
  const { clock, source, knowledge, stop } = follow((call, virtual) => {
    if (call.kind === 'read') return after(virtual, 4, LIST);
    watches += 1;
    return watches === 1 ? after<Answer>(virtual, 4, 'routing.history-gone') : NEVER;
  });
  await clock.advanceAsync(6, 1);
  t.truthy(knowledge.backends.get('a'));
  t.is(knowledge.ageOf('backends'), Number.POSITIVE_INFINITY);
  await clock.advanceAsync(50, 1);
  const reads = source.calls.filter(({ kind }) => kind === 'read').map(({ freshness }) => freshness);
  t.deepEqual(reads, ['any', 'current']);
  t.true(knowledge.ageOf('backends') < 100);
  stop();
});

test('a back end that left in a gap of the history is noticed by reading everything', async (t) => {
  let reads = 0;
  const { clock, knowledge, stop } = follow((call, virtual) => {
    if (call.kind === 'watch')
      return reads === 1 ? after<Answer>(virtual, 50, 'routing.history-gone') : NEVER;
    reads += 1;
    return after(virtual, 4, reads === 1 ? LIST : updateAt(9, { complete: true }));
  });
  await clock.advanceAsync(100, 1);
  t.is(reads, 2);
  t.true(knowledge.backends.get('a')?.departed);
  stop();
});

const FAILURES: readonly RoutingSourceErrorKind[] = [
  'routing.unavailable',
  'routing.timeout',
  'routing.throttled',
  'routing.malformed',
];

for (const kind of FAILURES) {
  test(`what is known stays after ${kind}, and calls are repeated with growing waits`, async (t) => {
    const { clock, source, knowledge, availability, stop } = follow((call, virtual) =>
      call.kind === 'read' ? after<Answer>(virtual, 4, LIST) : after<Answer>(virtual, 4, kind),
    );
    await clock.advanceAsync(10_000, 5);
    t.truthy(knowledge.backends.get('a'));
    t.false(knowledge.backends.get('a')?.departed);
    t.true(availability.isLost);
    t.true(availability.recordsMayLapse());
    const watches = source.calls.length - 1;
    t.true(watches >= 10_000 / (RETRY_MAX_MS * 1.5 + 10), `${watches} calls`);
    t.true(watches <= 30, `${watches} calls`);
    stop();
  });
}

test('records that vanish just after an outage count as lapsed', async (t) => {
  let down = true;
  const { clock, knowledge, stop } = follow((call, virtual) => {
    if (call.kind === 'read') return after<Answer>(virtual, 4, LIST);
    if (down) return after<Answer>(virtual, 4, 'routing.unavailable');
    return after(virtual, 4, updateAt(9, { removals: [{ id: 'a', revision: 5 }] }));
  });
  await clock.advanceAsync(3_000, 5);
  down = false;
  await clock.advanceAsync(1_600, 5);
  t.true(knowledge.backends.get('a')?.departed);
  t.true(knowledge.backends.get('a')?.lapsed);
  stop();
});

test('a follower that is stopped makes no further call', async (t) => {
  const { clock, source, stop } = follow((call, virtual) =>
    call.kind === 'read' ? after<Answer>(virtual, 4, LIST) : after<Answer>(virtual, 4, 'routing.unavailable'),
  );
  await clock.advanceAsync(100, 1);
  stop();
  const { length } = source.calls;
  await clock.advanceAsync(5_000, 10);
  t.true(source.calls.length <= length + 1);
});

test('a source that throws does not end the follower', async (t) => {
  let reads = 0;
  const { clock, knowledge, stop } = follow((call, virtual) => {
    if (call.kind === 'watch') return NEVER;
    reads += 1;
    if (reads === 1) throw new TypeError('unforeseen');
    return after(virtual, 4, LIST);
  });
  await clock.advanceAsync(500, 5);
  t.truthy(knowledge.backends.get('a'));
  stop();
});

test('a malformed record is logged once for each of its revisions, however often it is read', async (t) => {
  const bad = { name: 'b', revision: 5, problem: 'address is not an address with a port; left out' };
  let revision = 5;
  const { clock, problems, knowledge, stop } = follow((call, virtual) => {
    revision += 1;
    const again = { ...bad, revision: revision < 12 ? 5 : 12 };
    if (call.kind === 'read') return after(virtual, 4, { ...LIST, problems: [bad] });
    return after(virtual, 100, updateAt(revision, { problems: [again] }));
  });
  await clock.advanceAsync(400, 1);
  t.is(problems.count, 1);
  t.true(knowledge.backends.get('a') !== undefined, 'the records beside it are taken in');
  await clock.advanceAsync(2_000, 1);
  t.true(revision > 12);
  t.is(problems.count, 2);
  stop();
});

test('an answer of another epoch is not taken for what follows, even when its revision is higher', async (t) => {
  const RESTORED = updateAt(30, {
    epoch: 1,
    complete: true,
    backends: [backendAt('a', 28, { draining: true })],
  });
  let reads = 0;
  const { clock, knowledge, stop } = follow((call, virtual) => {
    if (call.kind === 'read') return after(virtual, 4, (reads += 1) === 1 ? LIST : RESTORED);
    if (knowledge.epochOf('backends') === 1) return after(virtual, call.waitMs, updateAt(30, { epoch: 1 }));
    return after(virtual, 4, updateAt(30, { epoch: 1 }));
  });
  await clock.advanceAsync(100, 1);
  t.is(reads, 2);
  t.like(knowledge.confirmationOf('backends'), { epoch: 1, revision: 30 });
  t.true(knowledge.backends.get('a')?.record.draining);
  stop();
});

test('a source whose history is gone again after each read is called ever more seldom', async (t) => {
  const { clock, source, history, stop } = follow((call, virtual) =>
    after<Answer>(virtual, 4, call.kind === 'read' ? LIST : 'routing.history-gone'),
  );
  await clock.advanceAsync(10_000, 10);
  // At least half of the longest delay passes between two rounds of a read and a watch, once delays have grown.
  const most = 2 * (10_000 / (RETRY_MAX_MS / 2) + 8);
  t.true(source.calls.length <= most, `${source.calls.length} calls`);
  t.true(history.counts.historyGone > 1);
  stop();
});
