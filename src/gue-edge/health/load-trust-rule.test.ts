import test from 'ava';
import { LOAD_MAX_AGE_MS } from './constants.js';
import { judgeLoads, type LoadObservation, type LoadTrust } from './load-trust-rule.js';

const NOW_MS = 100_000;

function observe(backendId: number, change: Partial<LoadObservation> = {}): LoadObservation {
  const report = { openFlows: 300, capacity: 1_000, sampledAtMs: NOW_MS };
  return { backendId, report, ownFlows: 100, failing: false, ...change };
}

const OTHERS = [observe(2), observe(3), observe(4)];
const old = { openFlows: 300, capacity: 1_000, sampledAtMs: NOW_MS - LOAD_MAX_AGE_MS - 1 };
const CASES: readonly (readonly [string, LoadObservation, readonly LoadObservation[], LoadTrust])[] = [
  ['no report', observe(1, { report: undefined }), OTHERS, 'missing'],
  ['an old report', observe(1, { report: old }), OTHERS, 'old'],
  ['age before failures', observe(1, { report: old, failing: true }), OTHERS, 'old'],
  ['openings fail', observe(1, { failing: true, ownFlows: 900 }), OTHERS, 'failing'],
  ['agrees with the own count', observe(1), OTHERS, 'trusted'],
  ['far below the own count', observe(1, { ownFlows: 200 }), OTHERS, 'contradicted'],
  ['far above the own count', observe(1, { ownFlows: 20 }), OTHERS, 'contradicted'],
  ['too few others to compare with', observe(1, { ownFlows: 900 }), [observe(2)], 'trusted'],
];
for (const [name, entry, others, expected] of CASES) {
  test(`trust in a reported load: ${name}`, (t) => {
    t.is(judgeLoads([entry, ...others], NOW_MS).get(1), expected);
  });
}
