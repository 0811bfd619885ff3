import test from 'ava';
import { OPENING_SILENCE_MS, PASSIVE_FAILURE_THRESHOLD, PASSIVE_WINDOW_MS } from './constants.js';
import { PassiveTracker } from './passive-tracker.js';
import type { PassiveEvidence } from './types.js';

type Step = readonly [PassiveEvidence, number];

const CASES: readonly (readonly [string, readonly Step[], number, number])[] = [
  ['nothing seen', [], 0, 0],
  ['a timeout', [['open-timeout', 0]], 0, 1],
  ['a reset', [['reset-on-open', 0]], 0, 1],
  ['a reset of an open flow says nothing', [['reset-mid-flow', 0]], 0, 0],
  ['at the end of the window', [['open-timeout', 0]], PASSIVE_WINDOW_MS, 1],
  ['after the window', [['open-timeout', 0]], PASSIVE_WINDOW_MS + 1, 0],
  ['an opening that is still young', [['opened', 0]], OPENING_SILENCE_MS - 1, 0],
  ['a silent opening', [['opened', 0]], OPENING_SILENCE_MS, 1],
  ['a silent opening after the window', [['opened', 0]], PASSIVE_WINDOW_MS + 1, 0],
  [
    'silent openings up to the threshold',
    Array(9).fill(['opened', 0]),
    OPENING_SILENCE_MS,
    PASSIVE_FAILURE_THRESHOLD,
  ],
  [
    'one opening counts once',
    [
      ['opened', 0],
      ['open-timeout', 10],
    ],
    OPENING_SILENCE_MS,
    1,
  ],
  [
    'an answer clears all',
    [
      ['open-timeout', 0],
      ['opened', 1],
      ['answered', 2],
    ],
    OPENING_SILENCE_MS + 1,
    0,
  ],
];
for (const [name, steps, nowMs, expected] of CASES) {
  test(`failures in a row: ${name}`, (t) => {
    const tracker = new PassiveTracker();
    for (const [evidence, atMs] of steps) tracker.record(evidence, atMs);
    t.is(tracker.failures(nowMs), expected);
  });
}

test('a pause forgives silence, not reported failures', (t) => {
  const tracker = new PassiveTracker();
  tracker.record('open-timeout', 0);
  tracker.record('opened', 0);
  tracker.forgiveSilence();
  t.is(tracker.failures(OPENING_SILENCE_MS), 1);
});
