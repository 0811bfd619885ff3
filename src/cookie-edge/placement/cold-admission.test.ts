import test from 'ava';
import { ColdAdmission } from './cold-admission.js';
import { stateOf } from './placement-test-support.js';

const COLD_UNTIL_MS = 10_000;
/** Two owners at a rate of 4 a second: 500 ms between the flows of one. */
const RATE = 4;
const SPACING_MS = 500;

/** Time of the last flow, time of the next, whether this balancer is an owner, rate; whether the flow is admitted. */
const CASES: readonly (readonly [number | undefined, number, boolean, number | undefined, boolean])[] = [
  [undefined, 0, true, RATE, true],
  [undefined, 0, false, RATE, false],
  [undefined, 0, false, undefined, true],
  [undefined, COLD_UNTIL_MS, false, RATE, true],
  [1_000, 1_000 + SPACING_MS - 1, true, RATE, false],
  [1_000, 1_000 + SPACING_MS, true, RATE, true],
  [1_000, 1_000 + SPACING_MS, false, RATE, false],
  [undefined, 0, true, 0, true],
  [1_000, 9_999, true, 0, false],
];

for (const [lastMs, nowMs, isOwner, rate, expected] of CASES) {
  test(`after a flow at ${lastMs ?? 'no time'}, one at ${nowMs} ms by ${isOwner ? 'an owner' : 'another'}, rate ${rate ?? 'none'}: ${expected}`, (t) => {
    const admission = new ColdAdmission({ overage: 2, slack: 10, isOwner: () => isOwner });
    const { backend } = stateOf('a', {}, { coldUntilMs: COLD_UNTIL_MS });
    if (lastMs !== undefined) admission.recordPlacement(backend, lastMs);
    t.is(admission.canAdmit(backend, rate, nowMs), expected);
    admission.forget(backend);
    t.is(admission.canAdmit(backend, rate, nowMs), rate === undefined || nowMs >= COLD_UNTIL_MS || isOwner);
  });
}
