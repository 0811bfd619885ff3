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

type SourceResponse = RoutingUpdate | RoutingSourceErrorKind;

const TIMINGS = freshnessTimings(3_000);

/** Starts a follower of back ends on a virtual clock, with a source that responds as `respond` returns. */
function startFollower(respond: (call: SourceCall, clock: VirtualClock) => Promise<SourceResponse>) {
  const clock = new VirtualClock();
  const source = new ScriptedSource((call) => respond(call, clock));
  const knowledge = new RoutingKnowledge({ clock, events: SILENT_EVENT_LOG, retentionMs: 60_000 });
  const availability = new SourceAvailability(clock, seededRandom(1), SILENT_EVENT_LOG);
  const abort = new AbortController();
  const problems = new ProblemLog(SILENT_EVENT_LOG);
  const history = new SourceHistoryLog(SILENT_EVENT_LOG);
  const options = { clock, source, knowledge, availability, timings: TIMINGS, problems, history };
  void new SourceFollower('backends', options).run(abort.signal);
  return { clock, source, knowledge, availability, problems, history, stop: () => abort.abort() };
}

function resolveAfter<T>(clock: VirtualClock, delayMs: number, value: T): Promise<T> {
  return new Promise((resolve) => clock.schedule(delayMs, () => resolve(value)));
}

const PENDING = new Promise<never>(() => undefined);
const FIRST_LIST = updateAt(5, { complete: true, backends: [backendAt('a', 5)] });

test('an empty response to a watch confirms the topic until the end of the wait', async (t) => {
  const { clock, knowledge, stop } = startFollower((call, virtualClock) =>
    call.kind === 'read'
      ? resolveAfter(virtualClock, 4, FIRST_LIST)
      : resolveAfter(virtualClock, call.waitMs + 4, updateAt(6)),
  );
  await clock.advanceAsync(TIMINGS.watchWaitMs + 30, 1);
  t.true(knowledge.ageOf('backends') < 40, String(knowledge.ageOf('backends')));
  await clock.advanceAsync(TIMINGS.watchWaitMs - 100, 1);
  t.true(knowledge.ageOf('backends') <= TIMINGS.watchWaitMs - 50, String(knowledge.ageOf('backends')));
  stop();
});

test('a watch waits until the topic reaches `readerAgeMs`, as a response with changes confirms only its request time', async (t) => {
  const CHANGE_AFTER_MS = [1_000, 500, 100];
  let revision = 6;
  const { clock, source, knowledge, stop } = startFollower((call, virtualClock) => {
    if (call.kind === 'read') return resolveAfter(virtualClock, 4, FIRST_LIST);
    if (call.waitMs === FIRST_WATCH_WAIT_MS) return resolveAfter(virtualClock, 4, updateAt(6));
    const changeMs = CHANGE_AFTER_MS.shift();
    if (changeMs === undefined) return PENDING;
    revision += 1;
    return resolveAfter(virtualClock, changeMs, updateAt(revision, { backends: [backendAt('b', revision)] }));
  });
  await clock.advanceAsync(2_500, 1);
  t.is(knowledge.backends.get('b')?.record.revision, 9);
  const waits = source.calls.filter(({ kind }) => kind === 'watch').map(({ waitMs }) => waitMs);
  t.is(waits[0], FIRST_WATCH_WAIT_MS);
  t.is(waits[1], TIMINGS.watchWaitMs);
  const expectedWaits = [1_000, 500, 100].map((ms) =>
    Math.min(TIMINGS.watchWaitMs, TIMINGS.readerAgeMs - ms - CHANGE_WATCH_DELAY_MS),
  );
  waits
    .slice(2)
    .forEach((waitMs, index) => t.true(Math.abs(waitMs - expectedWaits[index]!) <= 10, waits.join()));
  stop();
});

test('the age at a reader stays below `pullAfterMs`, whatever the interval of changes', async (t) => {
  for (const changeIntervalMs of [30, 200, 700, 1_300, 1_349, 1_500, 2_600]) {
    let sourceRevision = 6;
    let changedAtMs = 0;
    const { clock, knowledge, source, stop } = startFollower(async (call, virtualClock) => {
      if (call.kind === 'read') return resolveAfter(virtualClock, 4, FIRST_LIST);
      const endMs = virtualClock.now() + call.waitMs;
      while (virtualClock.now() < endMs && sourceRevision <= call.revision)
        await resolveAfter(virtualClock, 5, undefined);
      const hasChange = sourceRevision > call.revision;
      return updateAt(sourceRevision, hasChange ? { backends: [backendAt('b', sourceRevision)] } : {});
    });
    let maxAgeMs = 0;
    for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 5) {
      await clock.advanceAsync(5, 5);
      if (clock.now() - changedAtMs >= changeIntervalMs) {
        sourceRevision += 1;
        changedAtMs = clock.now();
      }
      if (elapsedMs > 500) maxAgeMs = Math.max(maxAgeMs, knowledge.ageOf('backends'));
    }
    t.true(maxAgeMs < TIMINGS.pullAfterMs, `${maxAgeMs} ms with a change each ${changeIntervalMs} ms`);
    t.true(source.calls.length <= 20_000 / CHANGE_WATCH_DELAY_MS + 3, `${source.calls.length} calls`);
    stop();
  }
});

test('the first read may be outdated and confirms nothing; a read after a gap must be current', async (t) => {
  let watches = 0;
  const { clock, source, knowledge, stop } = startFollower((call, virtualClock) => {
    if (call.kind === 'read') return resolveAfter(virtualClock, 4, FIRST_LIST);
    watches += 1;
    return watches === 1 ? resolveAfter<SourceResponse>(virtualClock, 4, 'routing.history-gone') : PENDING;
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

test('a read after a gap in the history detects a back end that departed in between', async (t) => {
  let reads = 0;
  const { clock, knowledge, stop } = startFollower((call, virtualClock) => {
    if (call.kind === 'watch')
      return reads === 1 ? resolveAfter<SourceResponse>(virtualClock, 50, 'routing.history-gone') : PENDING;
    reads += 1;
    return resolveAfter(virtualClock, 4, reads === 1 ? FIRST_LIST : updateAt(9, { complete: true }));
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
  test(`the known state stays after ${kind}, and calls are retried with backoff`, async (t) => {
    let calls = 0;
    const { clock, source, knowledge, availability, stop } = startFollower((_call, virtualClock) => {
      calls += 1;
      return resolveAfter<SourceResponse>(virtualClock, 4, calls === 1 ? FIRST_LIST : kind);
    });
    await clock.advanceAsync(10_000, 5);
    t.truthy(knowledge.backends.get('a'));
    t.false(knowledge.backends.get('a')?.departed);
    t.true(availability.isLost);
    t.true(availability.recordsMayLapse());
    const retries = source.calls.length - 1;
    t.true(retries >= 10_000 / (RETRY_MAX_MS * 1.5 + 10), `${retries} calls`);
    t.true(retries <= 30, `${retries} calls`);
    stop();
  });
}

test('a response to a watch that cannot be read hides no change', async (t) => {
  const { clock, source, knowledge, stop } = startFollower((call, virtualClock) => {
    if (call.kind === 'watch') {
      const isBeforeBrokenRecord = call.revision < 8;
      return isBeforeBrokenRecord ? resolveAfter(virtualClock, 4, 'routing.malformed' as const) : PENDING;
    }
    const isFirst = call.freshness === 'any';
    const leaving = updateAt(8, { complete: true, backends: [backendAt('a', 7, { draining: true })] });
    return resolveAfter(virtualClock, 4, isFirst ? FIRST_LIST : leaving);
  });
  await clock.advanceAsync(500, 5);
  t.true(knowledge.backends.get('a')?.record.draining);
  t.is(source.calls.at(-1)?.revision, 8, 'the next watch starts after the broken record');
  stop();
});

test('watches that can never be read cost few calls and keep the topic current', async (t) => {
  const RUN_MS = 10_000;
  const { clock, source, knowledge, stop } = startFollower((call, virtualClock) =>
    resolveAfter<SourceResponse>(virtualClock, 4, call.kind === 'read' ? FIRST_LIST : 'routing.malformed'),
  );
  await clock.advanceAsync(RUN_MS, 5);
  t.true(knowledge.ageOf('backends') < TIMINGS.pullAfterMs, String(knowledge.ageOf('backends')));
  t.true(source.calls.length <= 60, `${source.calls.length} calls`);
  stop();
});

test('records that disappear just after an outage count as lapsed', async (t) => {
  let isSourceDown = true;
  const { clock, knowledge, stop } = startFollower((call, virtualClock) => {
    if (call.kind === 'read') return resolveAfter<SourceResponse>(virtualClock, 4, FIRST_LIST);
    if (isSourceDown) return resolveAfter<SourceResponse>(virtualClock, 4, 'routing.unavailable');
    return resolveAfter(virtualClock, 4, updateAt(9, { removals: [{ id: 'a', revision: 5 }] }));
  });
  await clock.advanceAsync(3_000, 5);
  isSourceDown = false;
  await clock.advanceAsync(1_600, 5);
  t.true(knowledge.backends.get('a')?.departed);
  t.true(knowledge.backends.get('a')?.lapsed);
  stop();
});

test('a stopped follower makes no further call', async (t) => {
  const { clock, source, stop } = startFollower((call, virtualClock) =>
    call.kind === 'read'
      ? resolveAfter<SourceResponse>(virtualClock, 4, FIRST_LIST)
      : resolveAfter<SourceResponse>(virtualClock, 4, 'routing.unavailable'),
  );
  await clock.advanceAsync(100, 1);
  stop();
  const { length } = source.calls;
  await clock.advanceAsync(5_000, 10);
  t.true(source.calls.length <= length + 1);
});

test('an exception in the source does not stop the follower', async (t) => {
  let reads = 0;
  const { clock, knowledge, stop } = startFollower((call, virtualClock) => {
    if (call.kind === 'watch') return PENDING;
    reads += 1;
    if (reads === 1) throw new TypeError('unforeseen');
    return resolveAfter(virtualClock, 4, FIRST_LIST);
  });
  await clock.advanceAsync(500, 5);
  t.truthy(knowledge.backends.get('a'));
  stop();
});

test('a malformed record is logged once per revision, however often it is read', async (t) => {
  const malformedRecord = {
    name: 'b',
    revision: 5,
    problem: 'address is not an address with a port; left out',
  };
  let revision = 5;
  const { clock, problems, knowledge, stop } = startFollower((call, virtualClock) => {
    revision += 1;
    const problem = { ...malformedRecord, revision: revision < 12 ? 5 : 12 };
    if (call.kind === 'read')
      return resolveAfter(virtualClock, 4, { ...FIRST_LIST, problems: [malformedRecord] });
    return resolveAfter(virtualClock, 100, updateAt(revision, { problems: [problem] }));
  });
  await clock.advanceAsync(400, 1);
  t.is(problems.count, 1);
  t.true(knowledge.backends.get('a') !== undefined, 'the other records are applied');
  await clock.advanceAsync(2_000, 1);
  t.true(revision > 12);
  t.is(problems.count, 2);
  stop();
});

test('a response of another epoch causes a read, even when its revision is higher', async (t) => {
  const RESTORED = updateAt(30, {
    epoch: 1,
    complete: true,
    backends: [backendAt('a', 28, { draining: true })],
  });
  let reads = 0;
  const { clock, knowledge, stop } = startFollower((call, virtualClock) => {
    if (call.kind === 'read')
      return resolveAfter(virtualClock, 4, (reads += 1) === 1 ? FIRST_LIST : RESTORED);
    if (knowledge.epochOf('backends') === 1)
      return resolveAfter(virtualClock, call.waitMs, updateAt(30, { epoch: 1 }));
    return resolveAfter(virtualClock, 4, updateAt(30, { epoch: 1 }));
  });
  await clock.advanceAsync(100, 1);
  t.is(reads, 2);
  t.like(knowledge.confirmationOf('backends'), { epoch: 1, revision: 30 });
  t.true(knowledge.backends.get('a')?.record.draining);
  stop();
});

test('calls back off while the source has lost its history after each read', async (t) => {
  const { clock, source, history, stop } = startFollower((call, virtualClock) =>
    resolveAfter<SourceResponse>(virtualClock, 4, call.kind === 'read' ? FIRST_LIST : 'routing.history-gone'),
  );
  await clock.advanceAsync(10_000, 10);
  // Once the backoff has grown, at least half of the longest delay passes between two rounds of a read and a watch.
  const maxCalls = 2 * (10_000 / (RETRY_MAX_MS / 2) + 8);
  t.true(source.calls.length <= maxCalls, `${source.calls.length} calls`);
  t.true(history.counts.historyGone > 1);
  stop();
});
