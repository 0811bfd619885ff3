import test from 'ava';
import { createBackendState } from '../placement/placement-test-support.js';
import { EMPTY_PACKET } from './cookie-test-support.js';
import { FlowCache, type FlowPhase } from './flow-cache.js';
import { resetTargetOf } from './reset-target.js';

/**
 * Phase and acknowledgement of a flow whose SYN was the second retransmission, and the retransmission count that its
 * reset carries.
 */
const CASES: readonly (readonly [FlowPhase, number, number])[] = [
  ['opening', 0, 2],
  ['open', 0, 0],
  ['open', 700, 0],
];

for (const [phase, acknowledgement, retransmissionCount] of CASES) {
  test(`a reset of a flow that is ${phase} with acknowledgement ${acknowledgement} carries the count ${retransmissionCount}`, (t) => {
    const syn = { ...EMPTY_PACKET, syn: true, retransmissionCount: 2 };
    const flow = new FlowCache(() => 1).add(syn, createBackendState('a'), 'opening', 0)!;
    flow.phase = phase;
    flow.acknowledgement = acknowledgement;
    t.deepEqual(resetTargetOf(flow), {
      sourceAddress: syn.sourceAddress,
      sourcePort: syn.sourcePort,
      destinationAddress: syn.destinationAddress,
      destinationPort: syn.destinationPort,
      acknowledgement,
      retransmissionCount,
    });
  });
}
