import test from 'ava';
import {
  BAD_ANSWER_BATCH_MS,
  CHANGE_BATCH_MS,
  CONFIRMATION_BATCH_MS,
  MIN_CONFIRMATION_ADVANCE_MS,
  EJECTION_BATCH_MS,
  REPEAT_CONFIRMATION_MS,
} from './constants.js';
import { shouldForwardConfirmation, newestReports, pushDelayMs, type GossipTrigger } from './gossip-rule.js';

const NOW_MS = 10_000;
const NEVER = Number.POSITIVE_INFINITY;

const CASES: readonly (readonly [GossipTrigger, number, number])[] = [
  ['change', NEVER, 0],
  ['change', CHANGE_BATCH_MS + 50, 0],
  ['change', CHANGE_BATCH_MS, 0],
  ['change', CHANGE_BATCH_MS - 1, 1],
  ['change', 0, CHANGE_BATCH_MS],
  ['confirmation', 0, CONFIRMATION_BATCH_MS],
  ['repeated-confirmation', 0, REPEAT_CONFIRMATION_MS],
  ['ejection', NEVER, CONFIRMATION_BATCH_MS],
  ['ejection', 0, EJECTION_BATCH_MS],
  ['ejection', EJECTION_BATCH_MS - 1, CONFIRMATION_BATCH_MS],
  ['bad-answer', 0, BAD_ANSWER_BATCH_MS],
];

for (const [trigger, sinceMs, delayMs] of CASES) {
  test(`${trigger}, ${sinceMs} ms after the last push: the delay is ${delayMs} ms`, (t) => {
    t.is(pushDelayMs(trigger, NOW_MS, NOW_MS - sinceMs), delayMs);
  });
}

test('a confirmation is forwarded when it is enough newer', (t) => {
  t.true(shouldForwardConfirmation(1_000, 1_000 - MIN_CONFIRMATION_ADVANCE_MS));
  t.false(shouldForwardConfirmation(1_000, 1_001 - MIN_CONFIRMATION_ADVANCE_MS));
  t.true(shouldForwardConfirmation(Number.POSITIVE_INFINITY, 0));
});

test('the newest reports go first, and reports of equal age keep their order of arrival', (t) => {
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
