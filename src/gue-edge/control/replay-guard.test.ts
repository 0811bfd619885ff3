import test from 'ava';
import fc from 'fast-check';
import { VirtualClock } from '../../common/clock.js';
import { MAX_CLOCK_SKEW_MS, REPLAY_FORGET_MS, REPLAY_WINDOW } from './constants.js';
import { judgeIncarnation, ReplayGuard, type IncarnationVerdict } from './replay-guard.js';

function wallSeconds(clock: VirtualClock): number {
  return Math.floor(clock.wall() / 1_000);
}

test('within the window each sequence number is fresh exactly once, like a set that forgets old ones', (t) => {
  const steps = fc.array(fc.integer({ min: -2 * REPLAY_WINDOW, max: 2 * REPLAY_WINDOW }), { maxLength: 300 });
  fc.assert(
    fc.property(steps, (offsets) => {
      const clock = new VirtualClock();
      const guard = new ReplayGuard(clock);
      const seen = new Set<number>();
      let highest = 0;
      for (const offset of offsets) {
        const sequence = Math.max(1, highest + Math.trunc(offset / 3));
        const expected =
          seen.size > 0 && (seen.has(sequence) || sequence <= highest - REPLAY_WINDOW) ? 'replayed' : 'fresh';
        if (guard.judge('a', 1, sequence, wallSeconds(clock)) !== expected) return false;
        if (expected === 'fresh') seen.add(sequence);
        highest = Math.max(highest, sequence);
      }
      return true;
    }),
    { seed: 3, numRuns: 300 },
  );
  t.pass();
});

test('clocks, incarnations and forgetting', (t) => {
  const clock = new VirtualClock();
  const guard = new ReplayGuard(clock);
  const skewSeconds = MAX_CLOCK_SKEW_MS / 1_000;
  t.is(guard.judge('ahead', 1, 1, wallSeconds(clock) + skewSeconds + 1), 'stale');
  t.is(guard.judge('behind', 1, 1, wallSeconds(clock) - skewSeconds - 1), 'stale');
  t.is(guard.judge('near', 1, 1, wallSeconds(clock) + skewSeconds - 1), 'fresh');
  t.is(guard.judge('near', 1, 2, 0), 'fresh', 'a known sender may have any clock');
  t.is(guard.judge('near', 2, 1, 0), 'stale', 'a new incarnation must show a fresh clock');
  t.is(guard.judge('near', 2, 1, wallSeconds(clock)), 'fresh');
  t.is(guard.judge('near', 1, 3, wallSeconds(clock)), 'stale', 'the earlier incarnation is over');
  const recorded = wallSeconds(clock);
  clock.advance(REPLAY_FORGET_MS + 1);
  guard.prune();
  t.is(guard.size, 0);
  t.is(guard.judge('near', 2, 1, recorded), 'stale', 'a recording is useless after forgetting');
});

/** Incarnation, the known one, its silence, and the skew of the clocks. */
const INCARNATIONS: readonly (readonly [
  string,
  number,
  number | undefined,
  number,
  number,
  IncarnationVerdict,
])[] = [
  ['the known one, whatever its clock', 5, 5, 0, 10 * MAX_CLOCK_SKEW_MS, 'known'],
  ['a sender not known', 5, undefined, Infinity, MAX_CLOCK_SKEW_MS, 'new'],
  ['a sender not known, clock ahead', 5, undefined, Infinity, MAX_CLOCK_SKEW_MS + 1, 'clock-skew'],
  ['a sender not known, clock behind', 5, undefined, Infinity, -MAX_CLOCK_SKEW_MS - 1, 'clock-skew'],
  ['a later one', 6, 5, 0, 0, 'new'],
  ['a later one, clock behind', 6, 5, 0, -MAX_CLOCK_SKEW_MS - 1, 'clock-skew'],
  ['an earlier one', 4, 5, 2 * MAX_CLOCK_SKEW_MS, 0, 'earlier-incarnation'],
  ['an earlier one after long silence', 4, 5, 2 * MAX_CLOCK_SKEW_MS + 1, 0, 'new'],
  ['a recording of it', 4, 5, 2 * MAX_CLOCK_SKEW_MS + 1, -2 * MAX_CLOCK_SKEW_MS, 'clock-skew'],
];

for (const [name, incarnation, knownIncarnation, knownSilentMs, clockSkewMs, verdict] of INCARNATIONS) {
  test(`incarnation: ${name}`, (t) => {
    t.is(judgeIncarnation({ incarnation, knownIncarnation, knownSilentMs, clockSkewMs }), verdict);
  });
}

test('sequence numbers: fresh, replayed, or too old to tell', (t) => {
  const clock = new VirtualClock();
  const guard = new ReplayGuard(clock);
  const judge = (sequence: number): string => guard.judge('a', 1, sequence, wallSeconds(clock));
  const far = 2 * REPLAY_WINDOW;
  t.deepEqual([judge(5), judge(5), judge(7), judge(6)], ['fresh', 'replayed', 'fresh', 'fresh']);
  t.deepEqual([judge(far), judge(far - REPLAY_WINDOW)], ['fresh', 'replayed']);
  t.deepEqual([judge(far - REPLAY_WINDOW + 1), judge(far - 1)], ['fresh', 'fresh']);
});
