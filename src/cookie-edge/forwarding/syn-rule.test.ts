import test from 'ava';
import type { FlowPhase } from './flow-cache.js';
import { classifySyn, type SynKind } from './syn-rule.js';

/**
 * Retransmission count, phase of the cached flow, whether its route is in force, whether the SYN may have waited
 * through a pause, and the expected kind.
 */
const CASES: readonly (readonly [number, FlowPhase | undefined, boolean, boolean, SynKind])[] = [
  [0, undefined, true, true, 'stale'],
  [1, 'opening', true, true, 'stale'],
  [0, undefined, true, false, 'new-flow'],
  [2, undefined, true, false, 'new-flow'],
  [0, 'opening', true, false, 'retransmission'],
  [1, 'opening', true, false, 'retransmission'],
  [0, 'open', true, false, 'retransmission'],
  [0, 'closing', true, false, 'new-flow'],
  [1, 'closing', true, false, 'retransmission'],
  [1, 'opening', false, true, 'stale'],
  [1, 'opening', false, false, 'new-flow'],
  [1, 'open', false, false, 'retransmission'],
  [1, 'closing', false, false, 'retransmission'],
];

for (const [retransmissionCount, phase, hasRoute, mayHaveWaited, expected] of CASES) {
  const flow = `a flow that is ${phase ?? 'unknown'}${hasRoute ? '' : ' and has no route'}`;
  const pause = mayHaveWaited ? 'after' : 'without';
  test(`a SYN with retransmission count ${retransmissionCount} of ${flow}, ${pause} a pause: ${expected}`, (t) => {
    t.is(classifySyn({ retransmissionCount, phase, hasRoute, mayHaveWaited, isSuperseded: false }), expected);
  });
}

test('a SYN that was left to a peer is dropped unless this daemon has placed the flow since', (t) => {
  const evidence = { retransmissionCount: 0, hasRoute: true, mayHaveWaited: false, isSuperseded: true };
  t.is(classifySyn({ ...evidence, phase: undefined }), 'superseded');
  t.is(classifySyn({ ...evidence, phase: 'opening' }), 'retransmission');
});
