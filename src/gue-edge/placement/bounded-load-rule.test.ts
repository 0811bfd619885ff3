import test from 'ava';
import { chooseBoundedLoad, type BoundedLoadInput } from './bounded-load-rule.js';
import type { Candidate } from './candidates.js';
import { simulatedBackend } from './simulated-service.js';

function candidate(id: number, excess: number, zone = 'zone-a'): Candidate {
  const health = {
    backendId: id,
    condition: 'healthy',
    eligible: true,
    warmup: 1,
    reportedLoad: undefined,
    evidence: [],
  } as const;
  const backend = simulatedBackend(`backend-${id}`, { id, zone });
  return { backend, id, weight: 1, ownFlows: 0, health, share: 10, excess };
}

const INPUT: Omit<BoundedLoadInput, 'weighed'> = {
  fingerprint: { high: 1, low: 2 },
  firstId: 1,
  zone: 'zone-a',
  zonePreference: 0,
  biasFlows: 3,
  toleratedExcess: () => 3,
};

const CHOICES: readonly (readonly [
  string,
  readonly Candidate[],
  Partial<BoundedLoadInput>,
  number,
  string,
])[] = [
  ['the first choice is not a candidate', [candidate(2, 5), candidate(3, -1)], {}, 3, 'first-not-eligible'],
  ['no first choice', [candidate(2, 0)], { firstId: undefined }, 2, 'first-not-eligible'],
  ['nothing else', [candidate(1, 50)], {}, 1, 'no-alternative'],
  ['within tolerance', [candidate(1, 2.9), candidate(2, -9)], {}, 1, 'first-within-tolerance'],
  ['at the tolerance', [candidate(1, 3), candidate(2, -9)], {}, 2, 'alternative'],
  ['a gain of one flow', [candidate(1, 4), candidate(2, 3)], {}, 1, 'gain-too-small'],
  ['a gain of more than one flow', [candidate(1, 4), candidate(2, 2.9)], {}, 2, 'alternative'],
  [
    'the least loaded alternative',
    [candidate(1, 4), candidate(2, 0), candidate(3, -1)],
    {},
    3,
    'alternative',
  ],
  [
    'into the own zone earlier',
    [candidate(1, 2, 'zone-b'), candidate(2, -1)],
    { zonePreference: 0.5 },
    2,
    'alternative',
  ],
  [
    'not out of the own zone',
    [candidate(1, 2), candidate(2, -1)],
    { zonePreference: 0.5 },
    1,
    'first-within-tolerance',
  ],
  [
    'not into the own zone above the share',
    [candidate(1, 2, 'zone-b'), candidate(2, 0)],
    { zonePreference: 0.5 },
    1,
    'first-within-tolerance',
  ],
  [
    'a first choice at its share stays',
    [candidate(1, 0.4, 'zone-b'), candidate(2, -9)],
    { zonePreference: 1 },
    1,
    'first-within-tolerance',
  ],
  [
    'the alternative of the own zone',
    [candidate(1, 9), candidate(2, -2, 'zone-b'), candidate(3, -1)],
    { zonePreference: 1 },
    3,
    'alternative',
  ],
];
for (const [name, weighed, change, id, reason] of CHOICES) {
  test(`bounded load: ${name}`, (t) => {
    const choice = chooseBoundedLoad({ ...INPUT, weighed, ...change });
    t.is(choice.candidate.id, id);
    t.is<string, string>(choice.reason, reason);
  });
}
