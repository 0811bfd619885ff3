/**
 * Guards against treating a back end that restarted under its id as the old process, whose connections and state are
 * lost. Load, failures, ejection, draining and slow start of the old incarnation must not apply to the new one.
 */
import test from 'ava';
import type { RoutedBackend } from '../routing/index.js';
import { backendAt, updateAt } from '../routing/routing-test-support.js';
import { HOUSEKEEPING_TICK_MS } from './constants.js';
import { backends, leaveOpeningsUnanswered, ForwarderHarness } from './cookie-test-support.js';

const FIRST_INCARNATION = 1_700_000_000_000;
const SECOND_INCARNATION = FIRST_INCARNATION + 60_000;
const RESTARTED_EVENT = 2017;

function recordsWithIncarnation(count: number, incarnation = FIRST_INCARNATION): RoutedBackend[] {
  return backends(count).map((backend) => ({ ...backend, incarnation }));
}

/** Applies a changed record of `a`. */
function updateRecordOfA(harness: ForwarderHarness, revision: number, change: Partial<RoutedBackend>): void {
  const [first] = recordsWithIncarnation(1);
  const record = { ...first!, revision, ...change };
  const origin = { since: revision - 1, confirmedAtMs: harness.clock.now(), mayHaveLapsed: false };
  harness.knowledge.apply('backends', updateAt(revision, { backends: [record] }), origin);
}

/** Waits until pending openings count as unanswered while `b` responds to one. */
function failOpeningsWhileBAnswers(harness: ForwarderHarness): void {
  harness.clock.advance(300);
  for (let port = 43_000; harness.establish(port).backend !== 'b'; port += 1);
  harness.clock.advance(HOUSEKEEPING_TICK_MS);
}

test('flows of the old incarnation go to the new process, which resets them; the daemon resets none', (t) => {
  const harness = new ForwarderHarness().applyRecords(recordsWithIncarnation(1));
  const { cookie } = harness.establish(41_000);
  updateRecordOfA(harness, 11, { incarnation: SECOND_INCARNATION });
  t.is(harness.sendMidFlow(41_000, cookie)?.backend, 'a');
  t.is(harness.resets.length, 0);
  t.is(harness.events().filter((number) => number === RESTARTED_EVENT).length, 1);
});

test('flows of the old incarnation do not count as load of the new one', (t) => {
  const harness = new ForwarderHarness().applyRecords(recordsWithIncarnation(2));
  for (let port = 41_000; port < 41_008; port += 1) harness.establish(port);
  updateRecordOfA(harness, 11, { incarnation: SECOND_INCARNATION });
  const placed = [42_000, 42_001, 42_002].map((port) => harness.open(port)?.backend);
  t.deepEqual(placed, ['a', 'a', 'a']);
});

test('an ejection of the old incarnation does not keep new flows from the new one', (t) => {
  const harness = new ForwarderHarness().applyRecords(recordsWithIncarnation(2));
  leaveOpeningsUnanswered(harness, 'a', 2, 41_000);
  failOpeningsWhileBAnswers(harness);
  t.is(harness.forwarder.ejections, 1);
  updateRecordOfA(harness, 11, { incarnation: SECOND_INCARNATION });
  const placed = [42_000, 42_001, 42_002, 42_003].map((port) => harness.open(port)?.backend);
  t.true(placed.includes('a'));
});

test('openings at the old incarnation that fail later do not count against the new one', (t) => {
  const harness = new ForwarderHarness().applyRecords(recordsWithIncarnation(2));
  leaveOpeningsUnanswered(harness, 'a', 2, 41_000);
  updateRecordOfA(harness, 11, { incarnation: SECOND_INCARNATION });
  failOpeningsWhileBAnswers(harness);
  t.is(harness.forwarder.ejections, 0);
});

test('a new incarnation gets flows at its new address, even if a departed back end used that address', (t) => {
  const harness = new ForwarderHarness().applyRecords([
    ...recordsWithIncarnation(1),
    backendAt('later', 9, { incarnation: 5 }),
  ]);
  const endpoint = harness.knowledge.backends.get('later')!.record.endpoint;
  harness.removeRecord('later', 11);
  updateRecordOfA(harness, 12, { incarnation: SECOND_INCARNATION, endpoint });
  t.deepEqual(harness.open(42_000)?.endpoint, endpoint);
});

test('the record of a new incarnation replaces service, zone and capacity', (t) => {
  const harness = new ForwarderHarness().applyRecords(recordsWithIncarnation(1));
  updateRecordOfA(harness, 11, {
    incarnation: SECOND_INCARNATION,
    service: 'beta',
    zone: 'south',
    capacity: 9,
  });
  const { backends: registry } = harness.knowledge;
  t.is(registry.ofService('alpha').size, 0);
  t.like(registry.get('a')?.record, { service: 'beta', zone: 'south', capacity: 9 });
  t.is(registry.ofService('beta').size, 1);
});

test('a new incarnation gets flows although the previous one drained and departed', (t) => {
  const harness = new ForwarderHarness().applyRecords(recordsWithIncarnation(1));
  updateRecordOfA(harness, 11, { draining: true });
  t.is(harness.open(42_000)?.backend, undefined);
  harness.removeRecord('a', 12);
  updateRecordOfA(harness, 13, { incarnation: SECOND_INCARNATION });
  t.is(harness.open(42_001)?.backend, 'a');
});

test('a late removal of the old incarnation does not remove the new one', (t) => {
  const harness = new ForwarderHarness().applyRecords(recordsWithIncarnation(1));
  updateRecordOfA(harness, 13, { incarnation: SECOND_INCARNATION });
  harness.removeRecord('a', 12);
  t.is(harness.open(42_001)?.backend, 'a');
});

test('a record with the same incarnation, or without one, keeps the known back end', (t) => {
  for (const incarnation of [FIRST_INCARNATION, undefined]) {
    const harness = new ForwarderHarness().applyRecords(recordsWithIncarnation(1));
    const known = harness.knowledge.backends.get('a');
    updateRecordOfA(harness, 11, { incarnation, draining: true });
    t.is(harness.knowledge.backends.get('a'), known);
  }
});

test('two successive restarts, the second with a clock set back, are two incarnations', (t) => {
  const harness = new ForwarderHarness().applyRecords(recordsWithIncarnation(1));
  updateRecordOfA(harness, 11, { incarnation: SECOND_INCARNATION });
  updateRecordOfA(harness, 12, { incarnation: FIRST_INCARNATION - 5_000 });
  t.is(harness.knowledge.backends.get('a')?.record.incarnation, FIRST_INCARNATION - 5_000);
  t.is(harness.events().filter((number) => number === RESTARTED_EVENT).length, 2);
});

test('a late record of an older incarnation changes nothing', (t) => {
  const harness = new ForwarderHarness().applyRecords(recordsWithIncarnation(1));
  updateRecordOfA(harness, 13, { incarnation: SECOND_INCARNATION });
  updateRecordOfA(harness, 11, { incarnation: FIRST_INCARNATION, draining: true });
  t.is(harness.knowledge.backends.get('a')?.record.incarnation, SECOND_INCARNATION);
  t.is(harness.open(42_001)?.backend, 'a');
});

test('slow start of a new incarnation begins with its own start', (t) => {
  const harness = new ForwarderHarness().applyRecords(recordsWithIncarnation(1));
  harness.clock.advance(10_000);
  updateRecordOfA(harness, 11, { incarnation: SECOND_INCARNATION, coldMs: 2_000 });
  t.is(harness.knowledge.backends.get('a')?.coldUntilMs, 12_000);
});
