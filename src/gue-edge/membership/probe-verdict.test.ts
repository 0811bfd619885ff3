/** What a probe without an answer says about its target and about the prober. */
import test from 'ava';
import { BLIND_PROBES } from './constants.js';
import { newRecord, type Lifecycle, type MemberRecord } from './member-record.js';
import { isAccusedBySilence, isCutOff, judgeUnansweredProbe, type ProbeVerdict } from './probe-verdict.js';

const ENDPOINT = { host: '10.0.0.1', port: 1 };

function member(incarnation: number, lifecycle: Lifecycle = 'active', suspected = false): MemberRecord {
  const identity = { id: 'a', zone: 'a', control: ENDPOINT, admin: ENDPOINT, data: ENDPOINT };
  return { ...newRecord(identity, { incarnation, refutation: 0 }, lifecycle, 0), suspected };
}

const PROBES: readonly (readonly [string, number, number, ProbeVerdict])[] = [
  ['no helper responded', 3, 0, 'blind'],
  ['one helper responded', 3, 1, 'connected'],
  ['all helpers responded', 3, 3, 'connected'],
  ['no helper to ask', 0, 0, 'no-helper'],
];

for (const [name, helpersAsked, negativeResponses, verdict] of PROBES) {
  test(`probe: ${name}`, (t) => t.is(judgeUnansweredProbe(helpersAsked, negativeResponses), verdict));
}

test('a member is cut off after several blind probes', (t) => {
  t.false(isCutOff(BLIND_PROBES - 1));
  t.true(isCutOff(BLIND_PROBES));
});

const TARGETS: readonly (readonly [string, MemberRecord | undefined, boolean])[] = [
  ['the same process', member(5), true],
  ['the same process, suspected already', member(5, 'active', true), true],
  ['the same process, leaving', member(5, 'leaving'), true],
  ['a later process', member(6), false],
  ['failed meanwhile', member(5, 'failed'), false],
  ['left meanwhile', member(5, 'left'), false],
  ['forgotten', undefined, false],
];

for (const [name, current, expected] of TARGETS) {
  test(`target: ${name}`, (t) => t.is(isAccusedBySilence(current, member(5)), expected));
}
