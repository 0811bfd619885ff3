/** What a failed write of an edit means, and with which error an edit is given up. */
import test from 'ava';
import type { StoreErrorKind } from '../store/errors.js';
import { MAX_EDIT_ATTEMPTS } from './constants.js';
import {
  giveUpKind,
  judgeReadBack,
  mayHaveTakenEffect,
  type ReadBackFacts,
  type ReadBackVerdict,
} from './edit-attempts.js';
import type { TreeErrorKind } from './errors.js';

/**
 * Error of the store, whether the write may have taken effect, and the error of an edit given up for it without
 * doubt.
 */
const FAILURES: readonly (readonly [StoreErrorKind, boolean, TreeErrorKind])[] = [
  ['platform.version-conflict', false, 'settings.too-many-races'],
  ['platform.unreachable', false, 'settings.platform-unavailable'],
  ['platform.unknown-outcome', true, 'settings.platform-unavailable'],
  ['platform.deadline', true, 'settings.platform-unavailable'],
  ['platform.bad-answer', true, 'settings.platform-unavailable'],
];

for (const [kind, mayHave, givenUp] of FAILURES) {
  test(`failure: ${kind}`, (t) => {
    t.is(mayHaveTakenEffect(kind), mayHave);
    t.is(giveUpKind(false, kind), givenUp);
    t.is(giveUpKind(true, kind), 'settings.outcome-unknown');
  });
}

const LOST: ReadBackFacts = {
  isTokenFound: false,
  isNewerVersion: false,
  isOutcomeOpen: true,
  attempts: 1,
  isLate: false,
};

const READ_BACKS: readonly (readonly [string, Partial<ReadBackFacts>, ReadBackVerdict['kind'], boolean])[] = [
  ['the token is there', { isTokenFound: true }, 'applied', false],
  ['the token is there, though late', { isTokenFound: true, isLate: true }, 'applied', false],
  ['the same version', {}, 'retry', true],
  ['a newer version without the token', { isNewerVersion: true }, 'retry', false],
  ['a refused write', { isOutcomeOpen: false }, 'retry', false],
  ['the last attempt but one', { attempts: MAX_EDIT_ATTEMPTS - 1 }, 'retry', true],
  ['the last attempt', { attempts: MAX_EDIT_ATTEMPTS }, 'give-up', true],
  ['the last attempt, overtaken', { attempts: MAX_EDIT_ATTEMPTS, isNewerVersion: true }, 'give-up', false],
  ['late', { isLate: true }, 'give-up', true],
];

for (const [name, facts, kind, isOutcomeOpen] of READ_BACKS) {
  test(`read back: ${name}`, (t) =>
    t.deepEqual(judgeReadBack({ ...LOST, ...facts }), { kind, isOutcomeOpen }));
}
