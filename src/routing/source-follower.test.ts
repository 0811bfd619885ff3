import test from 'ava';
import { VirtualClock } from '../common/clock.js';
import { seededRandom } from '../common/random.js';
import { SILENT_EVENT_LOG } from '../observability/event.js';
import { RETRY_MAX_MS, WATCH_WAIT_AFTER_CHANGE_MS, WATCH_WAIT_MS } from './constants.js';
import type { RoutingSourceErrorKind } from './errors.js';
import { RoutingKnowledge } from './knowledge.js';
import { backendAt, ScriptedSource, updateAt, type SourceCall } from './routing-test-support.js';
import { SourceCircuit } from './source-circuit.js';
import { SourceFollower } from './source-follower.js';
import type { RoutingUpdate } from './types.js';

type Answer = RoutingUpdate | RoutingSourceErrorKind;

/** A follower of back ends on a virtual clock, whose source answers as the script says. */
function follow(script: (call: SourceCall, clock: VirtualClock) => Promise<Answer>) {
  const clock = new VirtualClock();
  const source = new ScriptedSource((call) => script(call, clock));
  const knowledge = new RoutingKnowledge({ clock, events: SILENT_EVENT_LOG, retentionMs: 60_000 });
  const circuit = new SourceCircuit(clock, seededRandom(1), SILENT_EVENT_LOG);
  const abort = new AbortController();
  void new SourceFollower('backends', { clock, source, knowledge, circuit }).run(abort.signal);
  return { clock, source, knowledge, circuit, stop: () => abort.abort() };
}

function after<T>(clock: VirtualClock, delayMs: number, value: T): Promise<T> {
  return new Promise((resolve) => clock.schedule(delayMs, () => resolve(value)));
}

const NEVER = new Promise<never>(() => undefined);
const LIST = updateAt(5, { complete: true, backends: [backendAt('a', 5)] });

test('an empty answer of a watch proves the time for which it was held back', async (t) => {
  const { clock, knowledge, stop } = follow((call, virtual) =>
    call.kind === 'read' ? after(virtual, 4, LIST) : after(virtual, call.waitMs + 4, updateAt(6)),
  );
  await clock.advanceAsync(1_530, 1);
  t.true(knowledge.ageOf('backends') < 40, String(knowledge.ageOf('backends')));
  await clock.advanceAsync(1_400, 1);
  t.true(knowledge.ageOf('backends') <= 1_450, String(knowledge.ageOf('backends')));
  stop();
});

test('an answer with changes proves no more than when it was asked for, so the next watch is short', async (t) => {
  let watches = 0;
  const { clock, source, knowledge, stop } = follow((call, virtual) => {
    if (call.kind === 'read') return after(virtual, 4, LIST);
    watches += 1;
    if (watches > 1) return NEVER;
    return after(virtual, 1_000, updateAt(7, { backends: [backendAt('b', 7)] }));
  });
  await clock.advanceAsync(1_010, 1);
  t.truthy(knowledge.backends.get('b'));
  t.true(knowledge.ageOf('backends') >= 1_000);
  t.deepEqual(
    source.calls.map(({ waitMs }) => waitMs),
    [0, WATCH_WAIT_MS, WATCH_WAIT_AFTER_CHANGE_MS],
  );
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
    const { clock, source, knowledge, circuit, stop } = follow((call, virtual) =>
      call.kind === 'read' ? after<Answer>(virtual, 4, LIST) : after<Answer>(virtual, 4, kind),
    );
    await clock.advanceAsync(10_000, 5);
    t.truthy(knowledge.backends.get('a'));
    t.false(knowledge.backends.get('a')?.departed);
    t.true(circuit.isLost);
    t.true(circuit.recordsMayLapse());
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
