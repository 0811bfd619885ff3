/** Checks when a cached flow expires, by its phase. */
import test from 'ava';
import { TRANSIENT_FLOW_TIMEOUT_MS } from './constants.js';
import type { FlowPhase } from './flow-cache.js';
import { idleTimeoutMs, isExpired } from './flow-expiry-rule.js';

const IDLE_MS = 60_000;

const CASES: readonly (readonly [phase: FlowPhase, silentMs: number, isExpired: boolean])[] = [
  ['opening', TRANSIENT_FLOW_TIMEOUT_MS - 1, false],
  ['opening', TRANSIENT_FLOW_TIMEOUT_MS, true],
  ['open', TRANSIENT_FLOW_TIMEOUT_MS, false],
  ['open', IDLE_MS - 1, false],
  ['open', IDLE_MS, true],
  ['closing', TRANSIENT_FLOW_TIMEOUT_MS - 1, false],
  ['closing', TRANSIENT_FLOW_TIMEOUT_MS, true],
];

for (const [phase, silentMs, expected] of CASES) {
  test(`a flow that is ${phase} and silent for ${silentMs} ms is ${expected ? 'removed' : 'kept'}`, (t) => {
    t.is(isExpired(phase, silentMs, IDLE_MS), expected);
  });
}

test('the idle timeout is the configured one, bounded by the maximum lifetime of a flow', (t) => {
  t.is(idleTimeoutMs(undefined, 100), 100);
  t.is(idleTimeoutMs(40, 100), 40);
  t.is(idleTimeoutMs(400, 100), 100);
});
