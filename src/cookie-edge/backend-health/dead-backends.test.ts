/** When a back end gets a dead verdict, and what happens to its flows. */
import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { pause } from '../../common/pause.js';
import type { Endpoint } from '../../common/types.js';
import { HOUSEKEEPING_TICK_MS } from '../forwarding/constants.js';
import { backends, ForwarderHarness } from '../forwarding/cookie-test-support.js';
import { backendAt, updateAt } from '../routing/routing-test-support.js';
import type { ProbeOutcome } from './backend-prober.js';
import { DEAD_RECHECK_DELAY_MS, PROBE_SPACING_MS, PROBE_TIMEOUT_MS } from './constants.js';
import {
  hostOf,
  openFlowAtEach,
  advanceInSteps,
  waitForProbes,
  retransmitRequest,
  REQUEST,
  createHarnessWithProbes,
  type UnreachableHosts,
} from './dead-backends-test-support.js';

const DEAD_EVENT = 1259;
const RESET_EVENT = 1260;
const REVIVED_EVENT = 1257;

for (const outcome of ['silent', 'refused'] as const) {
  test(`flows at a back end whose probes are ${outcome} are reset, including idle ones, and it gets no new ones`, async (t) => {
    const { harness, unreachable } = createHarnessWithProbes(3);
    const flows = openFlowAtEach(harness);
    const packetsToA = harness.sent.filter(({ backend }) => backend === 'a').length;
    unreachable.set(hostOf('a'), outcome);
    await retransmitRequest(harness, flows.get('a')!, [flows.get('b')!]);
    t.true(harness.events().includes(DEAD_EVENT));
    t.is(harness.resets.length, 4, `all flows at a: 4 of 12, over 3 back ends (${packetsToA} packets to a)`);
    t.is(harness.events().filter((number) => number === RESET_EVENT).length, 4);
    const laterBackends = Array.from(
      { length: 12 },
      (_unused, index) => harness.open(42_000 + index)?.backend,
    );
    t.false(laterBackends.includes('a'));
  });
}

test('an opening at a dead back end is not reset, because a retransmission of its SYN may be open elsewhere', async (t) => {
  const { harness, unreachable } = createHarnessWithProbes(2);
  const flows = openFlowAtEach(harness);
  const opening = [44_000, 44_001, 44_002].find((port) => harness.open(port)?.backend === 'a');
  unreachable.set(hostOf('a'), 'refused');
  await retransmitRequest(harness, flows.get('a')!, [flows.get('b')!]);
  t.true(harness.resets.length > 0);
  t.not(opening, undefined);
  t.false(harness.resets.some(({ sourcePort }) => sourcePort === opening));
  t.is(harness.open(opening!, 1)?.backend, 'b', 'its next retransmission is placed anew');
});

test('a reset is addressed to the caller of the flow and carries its last acknowledgement', async (t) => {
  const { harness, unreachable } = createHarnessWithProbes(2);
  const flows = openFlowAtEach(harness);
  const { port, cookie } = flows.get('a')!;
  harness.sendMidFlow(port, cookie, { acknowledgement: 77_777 });
  unreachable.set(hostOf('a'), 'refused');
  await retransmitRequest(harness, flows.get('a')!, [flows.get('b')!]);
  const reset = harness.resets.find(({ sourcePort }) => sourcePort === port);
  t.like(reset, { sourceAddress: 0x64400007, destinationPort: 8_443, acknowledgement: 77_777 });
});

test('flows at a busy back end that acknowledges late but answers probes are not reset', async (t) => {
  const { harness, probed } = createHarnessWithProbes(3);
  const flows = openFlowAtEach(harness);
  for (let round = 0; round < 5; round += 1) {
    await retransmitRequest(harness, flows.get('a')!, [flows.get('b')!]);
    harness.clock.advance(1_000);
  }
  t.true(probed.length > 0);
  t.is(harness.resets.length, 0);
});

// Guards against the loss of all open flows of a back end that is full: it accepts each probe and resets it.
test('flows at a full back end that resets probes stay open, and its verdict ends', async (t) => {
  const { harness, unreachable } = createHarnessWithProbes(3);
  const flows = openFlowAtEach(harness);
  unreachable.set(hostOf('a'), 'reset');
  await retransmitRequest(harness, flows.get('a')!, [flows.get('b')!]);
  t.false(harness.events().includes(DEAD_EVENT));
  t.deepEqual(harness.resets, []);
  unreachable.set(hostOf('b'), 'refused');
  await retransmitRequest(harness, flows.get('b')!, [flows.get('c')!]);
  t.true(harness.events().includes(DEAD_EVENT));
  unreachable.set(hostOf('b'), 'reset');
  await advanceInSteps(harness.clock, DEAD_RECHECK_DELAY_MS + PROBE_TIMEOUT_MS);
  t.true(harness.events().includes(REVIVED_EVENT), 'a process listens again');
});

test('a refused probe proves a back end dead even while no other back end gives signs of life', async (t) => {
  const { harness, unreachable } = createHarnessWithProbes(2);
  const flows = openFlowAtEach(harness);
  unreachable.set(hostOf('a'), 'refused');
  harness.clock.advance(1_000);
  await retransmitRequest(harness, flows.get('a')!, []);
  t.is(harness.resets.length, 6);
});

test('a daemon that is cut off from all back ends resets no flow', async (t) => {
  const { harness, unreachable } = createHarnessWithProbes(3);
  const flows = openFlowAtEach(harness);
  for (const id of ['a', 'b', 'c']) unreachable.set(hostOf(id), 'silent');
  harness.clock.advance(1_000);
  for (const flow of flows.values()) await retransmitRequest(harness, flow, []);
  t.is(harness.resets.length, 0);
});

/** A harness in which an unanswered probe takes its whole timeout. */
function createHarnessWithTimedProbes(count: number): {
  harness: ForwarderHarness;
  flows: ReturnType<typeof openFlowAtEach>;
  unreachable: UnreachableHosts;
} {
  const clock = new VirtualClock();
  const unreachable: UnreachableHosts = new Map();
  const probe = async ({ host }: Endpoint, timeoutMs: number): Promise<ProbeOutcome> => {
    const outcome = unreachable.get(host) ?? 'answered';
    if (outcome === 'silent') await pause(clock, timeoutMs);
    return outcome;
  };
  const harness = new ForwarderHarness(clock, 1, [], { probe }).applyRecords(backends(count));
  return { harness, flows: openFlowAtEach(harness), unreachable };
}

/** A harness with two back ends, of which `a` no longer answers. */
function createHarnessWithSilentBackend(): Omit<
  ReturnType<typeof createHarnessWithTimedProbes>,
  'unreachable'
> {
  const { harness, flows, unreachable } = createHarnessWithTimedProbes(2);
  unreachable.set(hostOf('a'), 'silent');
  return { harness, flows };
}

test('a possible death is gossiped when the second probe is sent, and not again with the proof shortly after', async (t) => {
  const { harness, flows } = createHarnessWithSilentBackend();
  await retransmitRequest(harness, flows.get('a')!, [flows.get('b')!]);
  await advanceInSteps(harness.clock, PROBE_SPACING_MS - 50);
  t.deepEqual(harness.gossipedEjections, []);
  await advanceInSteps(harness.clock, 50);
  t.deepEqual(harness.gossipedEjections, ['a']);
  await advanceInSteps(harness.clock, PROBE_TIMEOUT_MS);
  t.deepEqual(harness.gossipedEjections, ['a']);
  t.is(harness.resets.length, 6);
});

test('an unanswered probe is not gossiped while no other back end gives signs of life', async (t) => {
  const { harness, flows } = createHarnessWithSilentBackend();
  harness.clock.advance(1_000);
  await retransmitRequest(harness, flows.get('a')!, []);
  await advanceInSteps(harness.clock, PROBE_SPACING_MS + 50);
  t.deepEqual(harness.gossipedEjections, []);
});

test('an unanswered probe is not gossiped after another daemon gossiped an ejection of the same back end', async (t) => {
  const { harness, flows } = createHarnessWithSilentBackend();
  harness.forwarder.applyEjectionReport('a', harness.clock.now());
  harness.sendMidFlow(flows.get('b')!.port, flows.get('b')!.cookie, { acknowledgement: 9_000 });
  await advanceInSteps(harness.clock, PROBE_SPACING_MS + 100);
  t.deepEqual(harness.gossipedEjections, []);
});

test('the second probe does not wait for the timeout of the first', async (t) => {
  const { harness, flows } = createHarnessWithSilentBackend();
  await retransmitRequest(harness, flows.get('a')!, [flows.get('b')!]);
  await advanceInSteps(harness.clock, PROBE_TIMEOUT_MS + PROBE_SPACING_MS - 50);
  t.is(harness.resets.length, 0, 'one unanswered probe proves nothing');
  await advanceInSteps(harness.clock, 50);
  t.is(harness.resets.length, 6);
});

test('no flow is reset when the first probe is answered after the second one was sent', async (t) => {
  const clock = new VirtualClock();
  let sent = 0;
  const probe = async (_endpoint: Endpoint, timeoutMs: number): Promise<ProbeOutcome> => {
    sent += 1;
    const isFirst = sent === 1;
    await pause(clock, isFirst ? PROBE_SPACING_MS + 100 : timeoutMs);
    return isFirst ? 'answered' : 'silent';
  };
  const harness = new ForwarderHarness(clock, 1, [], { probe }).applyRecords(backends(2));
  const flows = openFlowAtEach(harness);
  await retransmitRequest(harness, flows.get('a')!, [flows.get('b')!]);
  await advanceInSteps(clock, 3 * PROBE_TIMEOUT_MS);
  t.is(sent, 2);
  t.is(harness.resets.length, 0);
});

test('no flow is reset when a sign of life comes while probes are in progress', async (t) => {
  const { harness } = createHarnessWithProbes(2, {
    probe: () => {
      const { port, cookie } = flows.get('a')!;
      harness.sendMidFlow(port, cookie, { acknowledgement: 5_000 });
      return Promise.resolve('silent');
    },
  });
  const flows = openFlowAtEach(harness);
  await retransmitRequest(harness, flows.get('a')!, [flows.get('b')!]);
  t.is(harness.resets.length, 0);
});

test('probes that end late prove nothing, because this process was paused', async (t) => {
  const { harness } = createHarnessWithProbes(2, {
    probe: () => {
      harness.clock.advance(PROBE_TIMEOUT_MS + 10 * HOUSEKEEPING_TICK_MS);
      return Promise.resolve('silent');
    },
  });
  const flows = openFlowAtEach(harness);
  await retransmitRequest(harness, flows.get('a')!, [flows.get('b')!]);
  t.is(harness.resets.length, 0);
});

/**
 * Advances the clock while callers of `aliveFlows` acknowledge new data and one new flow is opened each step; returns
 * the back ends of the new flows.
 */
async function openFlowsDuring(
  harness: ForwarderHarness,
  aliveFlows: readonly { port: number; cookie: number }[],
  milliseconds: number,
  fromPort: number,
): Promise<Set<string | undefined>> {
  const STEP_MS = 50;
  const chosenBackends = new Set<string | undefined>();
  for (let step = 0; step * STEP_MS < milliseconds; step += 1) {
    for (const { port, cookie } of aliveFlows) {
      harness.sendMidFlow(port, cookie, { acknowledgement: 100_000 + harness.clock.now() });
    }
    chosenBackends.add(harness.open(fromPort + step)?.backend);
    await advanceInSteps(harness.clock, STEP_MS);
  }
  return chosenBackends;
}

for (const outcome of ['silent', 'refused'] as const) {
  test(`no flow serves as a trial at a back end whose probes stay ${outcome}, and its ejection is gossiped again`, async (t) => {
    const { harness, flows, unreachable } = createHarnessWithTimedProbes(3);
    const aliveFlows = [flows.get('b')!, flows.get('c')!];
    unreachable.set(hostOf('a'), outcome);
    await retransmitRequest(harness, flows.get('a')!, aliveFlows);
    await openFlowsDuring(harness, aliveFlows, PROBE_SPACING_MS + PROBE_TIMEOUT_MS, 42_000);
    t.false((await openFlowsDuring(harness, aliveFlows, 7_000, 43_000)).has('a'));
    t.true(harness.gossipedEjections.filter((id) => id === 'a').length >= 5);
  });
}

test('a dead back end gets new flows again as soon as it answers a probe', async (t) => {
  const { harness, unreachable } = createHarnessWithProbes(3);
  const flows = openFlowAtEach(harness);
  const aliveFlows = [flows.get('b')!, flows.get('c')!];
  unreachable.set(hostOf('a'), 'refused');
  await retransmitRequest(harness, flows.get('a')!, aliveFlows);
  unreachable.delete(hostOf('a'));
  t.false((await openFlowsDuring(harness, aliveFlows, 900, 43_000)).has('a'));
  t.true((await openFlowsDuring(harness, aliveFlows, 600, 44_000)).has('a'));
});

test('a dead back end is not revived by probe answers of the process that now has its address', async (t) => {
  const { harness, unreachable } = createHarnessWithProbes(3);
  const flows = openFlowAtEach(harness);
  const aliveFlows = [flows.get('b')!, flows.get('c')!];
  unreachable.set(hostOf('a'), 'refused');
  await retransmitRequest(harness, flows.get('a')!, aliveFlows);
  const successor = backendAt('z', 20, { endpoint: { host: hostOf('a'), port: 8_080 }, service: 'beta' });
  const origin = { since: 10, confirmedAtMs: 0, mayHaveLapsed: false };
  harness.knowledge.apply('backends', updateAt(20, { backends: [successor] }), origin);
  unreachable.delete(hostOf('a'));
  t.false((await openFlowsDuring(harness, aliveFlows, 4_000, 43_000)).has('a'));
});

test('a packet of a flow that another daemon placed at a dead back end is answered with a reset', async (t) => {
  const { harness, unreachable } = createHarnessWithProbes(2);
  const flows = openFlowAtEach(harness);
  unreachable.set(hostOf('a'), 'refused');
  await retransmitRequest(harness, flows.get('a')!, [flows.get('b')!]);
  t.is(harness.sendMidFlow(49_999, flows.get('a')!.cookie, REQUEST)?.backend, undefined);
  harness.clock.advance(2_500);
  t.is(harness.sendMidFlow(49_999, flows.get('a')!.cookie, REQUEST)?.backend, 'a', 'the verdict has expired');
});

test('two deaths in a zone cause probes of its other back ends, and of none in another zone', async (t) => {
  const { harness, unreachable, probed } = createHarnessWithProbes(0);
  const zones = ['north', 'north', 'north', 'south', 'south', 'south'];
  harness.applyRecords(backends(6).map((backend, index) => ({ ...backend, zone: zones[index]! })));
  const flows = openFlowAtEach(harness);
  for (const id of ['a', 'b', 'c']) unreachable.set(hostOf(id), 'silent');
  await retransmitRequest(harness, flows.get('a')!, [flows.get('d')!]);
  t.false(probed.includes(hostOf('c')));
  await retransmitRequest(harness, flows.get('b')!, [flows.get('d')!]);
  harness.sendMidFlow(flows.get('d')!.port, flows.get('d')!.cookie, { acknowledgement: 90_000 });
  await waitForProbes();
  t.true(probed.includes(hostOf('c')));
  t.false(probed.includes(hostOf('e')));
});
