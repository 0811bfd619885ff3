/** Outcome for an opening without a candidate, in each state of the list of back ends. */
import test from 'ava';
import { decideWithoutBackend, type NoBackendOutcome, type NoBackendInputs } from './no-backend-rule.js';

/** State of the list, is a serving back end recorded, are the services known to be empty, expected outcome. */
const CASES: readonly (readonly [NoBackendInputs['listState'], boolean, boolean, NoBackendOutcome])[] = [
  ['settled', false, false, 'refuse'],
  ['settled', true, false, 'refuse'],
  ['settling', false, false, 'hold'],
  ['settling', true, false, 'refuse'],
  ['settling', false, true, 'refuse'],
  ['unknown', false, false, 'hold'],
];

for (const [listState, hasServingRecord, isKnownEmpty, expected] of CASES) {
  test(`list ${listState}, serving back end ${hasServingRecord ? '' : 'not '}recorded, known empty ${isKnownEmpty}: ${expected}`, (t) => {
    t.is(decideWithoutBackend({ listState, hasServingRecord, isKnownEmpty }), expected);
  });
}
