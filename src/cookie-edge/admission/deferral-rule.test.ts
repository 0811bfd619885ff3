/** Each condition under which a late opening yields. */
import test from 'ava';
import { shouldDefer, type DeferralInputs } from './deferral-rule.js';

/** A late caller at a daemon that has its share of 20 slots among 7 daemons in progress. */
const LATE_OPENING: DeferralInputs = {
  isRecovering: true,
  waitedMs: 200,
  targetLatencyMs: 121,
  isLastChance: false,
  inProgress: 3,
  slots: 20,
  daemonCount: 7,
};

const CASES: readonly (readonly [string, Partial<DeferralInputs>, boolean])[] = [
  ['is late while the share is in use', {}, true],
  ['is late while the share has room', { inProgress: 2 }, false],
  ['is not late', { waitedMs: 120 }, false],
  ['is late by the copy of its SYN, with a looser target', { targetLatencyMs: 545 }, false],
  ['is late for a route without a target', { targetLatencyMs: undefined }, false],
  ['comes long after the return', { isRecovering: false }, false],
  ['has its last chance', { isLastChance: true, inProgress: 50 }, false],
  ['meets no back end at all', { slots: 0 }, false],
  [
    'meets more daemons than slots, one request in progress',
    { slots: 5, daemonCount: 96, inProgress: 1 },
    true,
  ],
  ['meets more daemons than slots, none in progress', { slots: 5, daemonCount: 96, inProgress: 0 }, false],
  ['comes before the fleet is known, one in progress', { daemonCount: undefined, inProgress: 1 }, true],
  ['comes before the fleet is known, none in progress', { daemonCount: undefined, inProgress: 0 }, false],
];

for (const [name, change, expected] of CASES) {
  test(`an opening that ${name} ${expected ? 'yields' : 'goes at once'}`, (t) => {
    t.is(shouldDefer({ ...LATE_OPENING, ...change }), expected);
  });
}
