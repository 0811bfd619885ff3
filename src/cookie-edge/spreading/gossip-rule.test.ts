import test from 'ava';
import {
  BAD_ANSWER_GATHER_MS,
  CHANGE_GATHER_MS,
  CONFIRMATION_GATHER_MS,
  CONFIRMATION_STEP_MS,
  EJECTION_GATHER_MS,
  REPEAT_CONFIRMATION_MS,
} from './constants.js';
import { isConfirmationStep, newestReports, pushDelayMs, type GossipTrigger } from './gossip-rule.js';

const NOW_MS = 10_000;
const NEVER = Number.POSITIVE_INFINITY;

const CASES: readonly (readonly [GossipTrigger, number, number])[] = [
  ['change', NEVER, 0],
  ['change', CHANGE_GATHER_MS + 50, 0],
  ['change', CHANGE_GATHER_MS, 0],
  ['change', CHANGE_GATHER_MS - 1, 1],
  ['change', 0, CHANGE_GATHER_MS],
  ['confirmation', 0, CONFIRMATION_GATHER_MS],
  ['repeated-confirmation', 0, REPEAT_CONFIRMATION_MS],
  ['ejection', NEVER, CONFIRMATION_GATHER_MS],
  ['ejection', 0, EJECTION_GATHER_MS],
  ['ejection', EJECTION_GATHER_MS - 1, CONFIRMATION_GATHER_MS],
  ['bad-answer', 0, BAD_ANSWER_GATHER_MS],
];

for (const [trigger, sinceMs, delayMs] of CASES) {
  test(`${trigger}, ${sinceMs} ms after the last push: pushed after ${delayMs} ms`, (t) => {
    t.is(pushDelayMs(trigger, NOW_MS, NOW_MS - sinceMs), delayMs);
  });
}

test('a confirmation is passed on when it is a step newer', (t) => {
  t.true(isConfirmationStep(1_000, 1_000 - CONFIRMATION_STEP_MS));
  t.false(isConfirmationStep(1_000, 1_001 - CONFIRMATION_STEP_MS));
  t.true(isConfirmationStep(Number.POSITIVE_INFINITY, 0));
});

test('the newest reports go first, and those of equal age in their order of arrival', (t) => {
  const reports = [
    { id: 'a', atMs: 1 },
    { id: 'b', atMs: 3 },
    { id: 'c', atMs: 3 },
    { id: 'd', atMs: 2 },
  ];
  t.deepEqual(
    newestReports(reports, 3).map(({ id }) => id),
    ['b', 'c', 'd'],
  );
});
