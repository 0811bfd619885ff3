import test from 'ava';
import {
  answersHere,
  conflictWarmup,
  ejectionLengthMs,
  fadedShare,
  isFailing,
  isUsable,
  judgeCondition,
  judgeConflict,
  rememberedEjections,
  slowStartElapsedMs,
  slowStartShare,
} from './backend-belief-rules.js';
import {
  BASE_EJECTION_MS,
  CONFLICT_FADE_MS,
  CONFLICT_FRESH_MS,
  EJECTION_FORGET_MS,
  INITIAL_WARMUP,
  MAX_EJECTION_MS,
} from './constants.js';

const FAILURES = [
  ['none', 0, 0, false, false],
  ['own ones below the threshold', 2, 0, false, false],
  ['own ones at the threshold, although others are answered', 3, 0, true, true],
  ['own and remote ones together', 1, 2, false, true],
  ['remote ones alone', 0, 3, false, true],
  ['remote ones beside answers here', 2, 4, true, false],
] as const;
for (const [name, ownFailures, remoteFailures, answered, expected] of FAILURES) {
  test(`failures that eject: ${name}`, (t) => {
    t.is(isFailing({ ownFailures, remoteFailures, answersHere: answered }), expected);
  });
}

test('an answer contradicts for a while', (t) => {
  t.true(answersHere(0, CONFLICT_FRESH_MS));
  t.false(answersHere(0, CONFLICT_FRESH_MS + 1));
  t.false(answersHere(-Infinity, 0));
});

test('the length of ejections doubles up to the largest', (t) => {
  t.is(ejectionLengthMs(1), BASE_EJECTION_MS);
  t.is(ejectionLengthMs(2), 2 * BASE_EJECTION_MS);
  t.is(ejectionLengthMs(9), MAX_EJECTION_MS);
});

const REMEMBERED = [
  ['before the last one ended', 2, -1, 2],
  ['within the first step', 2, EJECTION_FORGET_MS - 1, 2],
  ['after one step', 2, EJECTION_FORGET_MS, 1],
  ['after more steps than ejections', 2, 5 * EJECTION_FORGET_MS, 0],
  ['never ejected', 0, Infinity, 0],
] as const;
for (const [name, ejections, quietMs, expected] of REMEMBERED) {
  test(`remembered ejections: ${name}`, (t) => t.is(rememberedEjections(ejections, quietMs), expected));
}

const CONFLICTS = [
  ['probes good', 'healthy', true, true, 'none'],
  ['probes unknown', 'unknown', true, true, 'none'],
  ['no answers either', 'unhealthy', false, true, 'none'],
  ['answers of a back end in use', 'unhealthy', true, true, 'conflict'],
  ['answers of a back end out of use', 'unhealthy', true, false, 'unchanged'],
] as const;
for (const [name, probeState, answered, usable, expected] of CONFLICTS) {
  test(`conflict: ${name}`, (t) => {
    t.is(judgeConflict({ probeState, answersHere: answered, usable }), expected);
  });
}

const CONDITIONS = [
  ['draining hides all else', true, 'unhealthy', true, 'draining'],
  ['failing probes hide an ejection', false, 'unhealthy', true, 'unhealthy'],
  ['ejected beside good probes', false, 'healthy', true, 'ejected'],
  ['ejected without votes', false, 'unknown', true, 'ejected'],
  ['good probes', false, 'healthy', false, 'healthy'],
  ['no votes', false, 'unknown', false, 'unknown'],
] as const;
for (const [name, draining, probeState, ejected, expected] of CONDITIONS) {
  test(`condition: ${name}`, (t) => t.is(judgeCondition({ draining, probeState, ejected }), expected));
}

const USES = [
  ['healthy', false, true],
  ['unknown', false, true],
  ['unhealthy', false, false],
  ['unhealthy', true, true],
  ['ejected', true, false],
  ['draining', true, false],
] as const;
for (const [condition, inConflict, expected] of USES) {
  test(`usable: ${condition}, ${inConflict ? 'in' : 'without'} conflict`, (t) => {
    t.is(isUsable(condition, inConflict), expected);
  });
}

test('a conflict fades new flows and never raises their share', (t) => {
  t.is(fadedShare(0), 1);
  t.is(fadedShare(CONFLICT_FADE_MS), 0);
  t.is(conflictWarmup(0.8, 1), 0.8);
  t.is(conflictWarmup(0.8, 0.5), 0.5);
  t.is(conflictWarmup(-1, 1), INITIAL_WARMUP);
});

test('slow start rises evenly, and is resumed at a share', (t) => {
  t.is(slowStartShare(0, 10_000), INITIAL_WARMUP);
  t.is(slowStartShare(10_000, 10_000), 1);
  t.is(slowStartShare(Infinity, 10_000), 1);
  t.is(slowStartShare(0, 0), 1);
  const elapsedMs = slowStartElapsedMs(0.4, 10_000);
  t.true(Math.abs(slowStartShare(elapsedMs, 10_000) - 0.4) < 1e-9);
});
