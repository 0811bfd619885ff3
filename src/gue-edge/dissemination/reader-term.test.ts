/** What an answer about a reader lease means, and how long a reader goes on. */
import test from 'ava';
import type { Lease } from '../../store/index.js';
import { CANDIDATE_PAUSE_MS, UNREACHABLE_PAUSE_MS } from './constants.js';
import {
  candidatePauseMs,
  isLeaseTrusted,
  judgeTerm,
  leaseAfterAnswer,
  type LeaseAnswer,
  type TermVerdict,
} from './reader-term.js';

function lease(fencingToken: number): Lease {
  return { name: 'readers/r/0', holder: 'a', fencingToken, trustedUntilMs: 100 };
}

const ANSWERS: readonly (readonly [string, Lease | undefined, LeaseAnswer, number | undefined])[] = [
  ['granted', undefined, { kind: 'granted', lease: lease(2) }, 2],
  ['renewed', lease(1), { kind: 'granted', lease: lease(2) }, 2],
  ['refused', undefined, { kind: 'refused' }, undefined],
  ['refused at the renewal', lease(1), { kind: 'refused' }, undefined],
  ['unanswered', undefined, { kind: 'unanswered' }, undefined],
  ['unanswered at the renewal', lease(1), { kind: 'unanswered' }, 1],
];

for (const [name, held, answer, token] of ANSWERS) {
  test(`lease: ${name}`, (t) => t.is(leaseAfterAnswer(held, answer)?.fencingToken, token));
}

test('a lease is trusted until its time, exclusive', (t) => {
  t.true(isLeaseTrusted(lease(1), 99));
  t.false(isLeaseTrusted(lease(1), 100));
  t.false(isLeaseTrusted(undefined, 0));
});

const TERMS: readonly (readonly [string, boolean, boolean, boolean, TermVerdict])[] = [
  ['trusted candidate', true, false, true, 'go-on'],
  ['lease lost', false, false, true, 'lease-lost'],
  ['lease lost at the end', false, true, true, 'lease-lost'],
  ['the daemon stops', true, true, true, 'ending'],
  ['others are candidates now', true, false, false, 'no-candidate'],
];

for (const [name, isTrusted, isEnding, isCandidate, verdict] of TERMS) {
  test(`term: ${name}`, (t) => t.is(judgeTerm({ isTrusted, isEnding, isCandidate }), verdict));
}

test('a candidate asks sooner after a store that gave no answer', (t) => {
  t.deepEqual([candidatePauseMs(true), candidatePauseMs(false)], [UNREACHABLE_PAUSE_MS, CANDIDATE_PAUSE_MS]);
});
