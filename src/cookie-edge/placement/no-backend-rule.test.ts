/** What becomes of an opening without a candidate, in each state of the list. */
import test from 'ava';
import { decideWithoutBackend, type NoBackendOutcome, type NoBackendSituation } from './no-backend-rule.js';

const CASES: readonly (readonly [NoBackendSituation['knowledge'], boolean, boolean, NoBackendOutcome])[] = [
  ['settled', false, false, 'refuse'],
  ['settled', true, false, 'refuse'],
  ['settling', false, false, 'hold'],
  ['settling', true, false, 'refuse'],
  ['settling', false, true, 'refuse'],
  ['unknown', false, false, 'hold'],
];

for (const [knowledge, hasServingRecord, isKnownEmpty, expected] of CASES) {
  test(`${knowledge}, a back end ${hasServingRecord ? '' : 'not '}recorded, known empty ${isKnownEmpty}: ${expected}`, (t) => {
    t.is(decideWithoutBackend({ knowledge, hasServingRecord, isKnownEmpty }), expected);
  });
}
