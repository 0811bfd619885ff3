/** Of two processes that start at one address, only the later one gets new flows. */
import test from 'ava';
import { HOUSEKEEPING_TICK_MS } from '../forwarding/constants.js';
import { backendAt, tableAt, updateAt } from '../routing/routing-test-support.js';
import { CREATION_HISTORY_UPTIME_MS } from './constants.js';
import { hostOf, openFlowAtEach, createHarnessWithProbes } from './dead-backends-test-support.js';

test('a later start at its address keeps new flows from a back end, and resets its flows once its record is gone', (t) => {
  const { harness } = createHarnessWithProbes(2);
  const flows = openFlowAtEach(harness);
  harness.clock.advance(CREATION_HISTORY_UPTIME_MS);
  const successor = backendAt('z', 20, { endpoint: { host: hostOf('a'), port: 8_080 }, service: 'beta' });
  const origin = { since: 10, confirmedAtMs: 0, mayHaveLapsed: false };
  harness.knowledge.apply('backends', updateAt(20, { backends: [successor] }), origin);
  const { port, cookie } = flows.get('a')!;
  const chosenBackends = Array.from(
    { length: 12 },
    (_unused, index) => harness.open(42_000 + index)?.backend,
  );
  t.deepEqual(new Set(chosenBackends), new Set(['b']), 'no new flows while both are recorded');
  t.is(harness.sendMidFlow(port, cookie)?.backend, 'a', 'open flows continue');
  t.is(harness.resets.length, 0);
  harness.removeRecord('a', 21);
  harness.clock.advance(HOUSEKEEPING_TICK_MS);
  t.is(harness.resets.length, 6);
  t.is(harness.sendMidFlow(port, cookie)?.backend, undefined, 'reset, and not forwarded to the address');
});

test('an earlier start gets no new flows even if its record is received after that of its successor', (t) => {
  const { harness } = createHarnessWithProbes(2);
  const earlier = backendAt('y', 0, { endpoint: { host: hostOf('a'), port: 8_080 }, createdRevision: 0 });
  const origin = { since: 10, confirmedAtMs: 0, mayHaveLapsed: false };
  harness.knowledge.apply('backends', updateAt(20, { backends: [{ ...earlier, revision: 20 }] }), origin);
  t.false(
    Array.from({ length: 12 }, (_unused, index) => harness.open(42_000 + index)?.backend).includes('y'),
  );
});

test('after a restore of the source, a new start takes precedence over one of the previous epoch at its address', (t) => {
  const { harness } = createHarnessWithProbes(2);
  const atAddressOfA = { endpoint: { host: hostOf('a'), port: 8_080 } };
  const origin = (since: number) => ({ since, confirmedAtMs: 0, mayHaveLapsed: false });
  const inFirstEpoch = updateAt(30, { backends: [backendAt('z', 30, atAddressOfA)] });
  harness.knowledge.apply('backends', inFirstEpoch, origin(10));
  const restored = updateAt(12, { epoch: 1, complete: true, backends: [] });
  harness.knowledge.apply('backends', restored, origin(-1));
  const startedAfterRestore = updateAt(14, { epoch: 1, backends: [backendAt('y', 14, atAddressOfA)] });
  harness.knowledge.apply('backends', startedAfterRestore, origin(12));
  const chosenBackends = Array.from({ length: 6 }, (_unused, index) => harness.open(42_000 + index)?.backend);
  t.deepEqual(new Set(chosenBackends), new Set(['y']));
});

test('a record of a service that is not configured does not dispute the address of a back end', (t) => {
  const { harness } = createHarnessWithProbes(2);
  openFlowAtEach(harness);
  const backendOfUnconfiguredService = backendAt('x', 20, {
    endpoint: { host: hostOf('a'), port: 8_080 },
    service: 'unheard-of',
  });
  const origin = { since: 10, confirmedAtMs: 0, mayHaveLapsed: false };
  harness.knowledge.apply('backends', updateAt(20, { backends: [backendOfUnconfiguredService] }), origin);
  t.is(harness.resets.length, 0);
  const chosenBackends = Array.from(
    { length: 12 },
    (_unused, index) => harness.open(42_000 + index)?.backend,
  );
  t.true(chosenBackends.includes('a'));
  const services = ['alpha', 'unheard-of'].map((name) => ({ name, maxConnections: 100 }));
  const table = tableAt(21, { services });
  harness.knowledge.apply('routes', updateAt(21, { routes: [table] }), origin);
  const laterBackends = Array.from({ length: 12 }, (_unused, index) => harness.open(43_000 + index)?.backend);
  t.false(laterBackends.includes('a'), 'once its service is configured, it is the later start');
  harness.clock.advance(CREATION_HISTORY_UPTIME_MS);
  harness.removeRecord('a', 22);
  harness.clock.advance(HOUSEKEEPING_TICK_MS);
  t.true(harness.resets.length > 0, 'and the flows of the earlier one are reset');
});
