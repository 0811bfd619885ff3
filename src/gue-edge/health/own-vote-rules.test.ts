import test from 'ava';
import { isChanged, nextVersion, patchedVote, sharedFailures, type VotePatch } from './own-vote-rules.js';
import { CONFLICT_FRESH_MS, PASSIVE_FAILURE_THRESHOLD } from './constants.js';
import { Verdict } from './votes.js';

const LOAD = { openFlows: 1, capacity: 2, sampledAtMs: 3 };
const KNOWN = { verdict: Verdict.VERDICT_HEALTHY, passiveFailures: 1, load: LOAD };
const NOTHING = { verdict: Verdict.VERDICT_NONE, passiveFailures: 0, load: undefined };

const PATCHES: readonly (readonly [string, typeof KNOWN | undefined, VotePatch, object, boolean])[] = [
  ['nothing said of an unknown back end', undefined, {}, NOTHING, false],
  ['the same again', KNOWN, { passiveFailures: 1 }, KNOWN, false],
  [
    'a verdict',
    KNOWN,
    { verdict: Verdict.VERDICT_UNHEALTHY },
    { ...KNOWN, verdict: Verdict.VERDICT_UNHEALTHY },
    true,
  ],
  ['failures forgotten', KNOWN, { passiveFailures: 0 }, { ...KNOWN, passiveFailures: 0 }, true],
  ['a newer report of the same load', KNOWN, { load: { ...LOAD } }, KNOWN, true],
  [
    'a first verdict',
    undefined,
    { verdict: Verdict.VERDICT_HEALTHY },
    { ...NOTHING, verdict: Verdict.VERDICT_HEALTHY },
    true,
  ],
];
for (const [name, known, patch, expected, changed] of PATCHES) {
  test(`own vote: ${name}`, (t) => {
    const next = patchedVote(known, patch);
    t.deepEqual<unknown, unknown>(next, expected);
    t.is(isChanged(known, next), changed);
  });
}

const VERSIONS = [
  ['first', undefined, 100, 100],
  ['the clock is ahead', 50, 100, 100],
  ['two changes in one unit', 100, 100, 101],
  ['the clock was set back', 500, 100, 501],
  ['over the end of the range', 0xffff_ffff, 0xffff_ffff, 0],
] as const;
for (const [name, previous, fromClock, expected] of VERSIONS) {
  test(`version of an own vote: ${name}`, (t) => t.is(nextVersion(previous, fromClock), expected));
}

const NOW_MS = 10_000;
const SHARED = [
  ['none', 0, -Infinity, 0],
  ['one without answers', 1, -Infinity, 1],
  ['one beside a fresh answer', 1, NOW_MS - CONFLICT_FRESH_MS, 0],
  ['one after an older answer', 1, NOW_MS - CONFLICT_FRESH_MS - 1, 1],
  ['as many as eject, beside a fresh answer', PASSIVE_FAILURE_THRESHOLD, NOW_MS, PASSIVE_FAILURE_THRESHOLD],
  ['more than eject', PASSIVE_FAILURE_THRESHOLD + 5, -Infinity, PASSIVE_FAILURE_THRESHOLD],
] as const;
for (const [name, failures, lastAnsweredAtMs, expected] of SHARED) {
  test(`shared failures: ${name}`, (t) => {
    t.is<number, number>(sharedFailures({ failures: () => failures, lastAnsweredAtMs }, NOW_MS), expected);
  });
}
