/** Each condition under which a late opening is deferred. */
import test from 'ava';
import { shouldDefer, type DeferralInputs } from './deferral-rule.js';

/** A late caller of a daemon whose share is used up: with 20 slots and 7 daemons, 3 requests are in progress. */
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
  ['is late while the share is used up', {}, true],
  ['is late while the share is not used up', { inProgress: 2 }, false],
  ['is not late', { waitedMs: 120 }, false],
  ['has waited 200 ms with a target of 545 ms', { targetLatencyMs: 545 }, false],
  ['belongs to a route without a target', { targetLatencyMs: undefined }, false],
  ['arrives after the recovery', { isRecovering: false }, false],
  ['is on its last chance', { isLastChance: true, inProgress: 50 }, false],
  ['finds no back end', { slots: 0 }, false],
  [
    'finds more daemons than slots and one request in progress',
    { slots: 5, daemonCount: 96, inProgress: 1 },
    true,
  ],
  ['finds more daemons than slots and none in progress', { slots: 5, daemonCount: 96, inProgress: 0 }, false],
  [
    'arrives before the fleet size is known, with one in progress',
    { daemonCount: undefined, inProgress: 1 },
    true,
  ],
  [
    'arrives before the fleet size is known, with none in progress',
    { daemonCount: undefined, inProgress: 0 },
    false,
  ],
];

for (const [name, change, expected] of CASES) {
  test(`an opening that ${name} ${expected ? 'is deferred' : 'is admitted at once'}`, (t) => {
    t.is(shouldDefer({ ...LATE_OPENING, ...change }), expected);
  });
}
