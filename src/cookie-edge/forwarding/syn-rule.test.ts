import test from 'ava';
import type { FlowPhase } from './flow-cache.js';
import { classifySyn, type SynKind } from './syn-rule.js';

/**
 * Retransmission count, phase of the cached flow, whether the SYN may have waited through a pause, and the expected
 * kind.
 */
const CASES: readonly (readonly [number, FlowPhase | undefined, boolean, SynKind])[] = [
  [0, undefined, true, 'stale'],
  [1, 'opening', true, 'stale'],
  [0, undefined, false, 'new-flow'],
  [2, undefined, false, 'new-flow'],
  [0, 'opening', false, 'retransmission'],
  [1, 'opening', false, 'retransmission'],
  [0, 'open', false, 'retransmission'],
  [0, 'closing', false, 'new-flow'],
  [1, 'closing', false, 'retransmission'],
];

for (const [count, phase, mayHaveWaited, expected] of CASES) {
  test(`a SYN with retransmission count ${count} of a flow that is ${phase ?? 'unknown'}, ${mayHaveWaited ? 'after' : 'without'} a pause: ${expected}`, (t) => {
    t.is(classifySyn(count, phase, mayHaveWaited), expected);
  });
}
