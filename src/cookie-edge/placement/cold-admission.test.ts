import test from 'ava';
import { ColdAdmission } from './cold-admission.js';
import { createBackendState } from './placement-test-support.js';

const COLD_UNTIL_MS = 10_000;
/** Two owners share a rate of 4 flows/s, so that each of them waits 500 ms between its flows. */
const RATE = 4;
const SPACING_MS = 500;

/** Times in ms of the last and the next flow, whether this balancer is an owner, rate, whether the next is admitted. */
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
  test(`last flow at ${lastMs ?? 'no time'}, next at ${nowMs} ms, ${isOwner ? 'owner' : 'not an owner'}, rate ${rate ?? 'none'}: admitted ${expected}`, (t) => {
    const admission = new ColdAdmission({ overage: 2, slack: 10, isOwner: () => isOwner });
    const { backend } = createBackendState('a', {}, { coldUntilMs: COLD_UNTIL_MS });
    if (lastMs !== undefined) admission.recordPlacement(backend, lastMs);
    t.is(admission.canAdmit(backend, rate, nowMs), expected);
    admission.remove(backend);
    t.is(admission.canAdmit(backend, rate, nowMs), rate === undefined || nowMs >= COLD_UNTIL_MS || isOwner);
  });
}
