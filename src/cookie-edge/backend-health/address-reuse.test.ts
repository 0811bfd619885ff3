/** Whether open flows continue or are reset when two back ends are known at one address. */
import test from 'ava';
import { hashString } from '../../common/hash.js';
import { HOUSEKEEPING_TICK_MS } from '../forwarding/constants.js';
import { ForwarderHarness } from '../forwarding/cookie-test-support.js';
import type { RoutedBackend, RoutingUpdate } from '../routing/index.js';
import { backendAt, updateAt } from '../routing/routing-test-support.js';
import { CREATION_HISTORY_UPTIME_MS } from './constants.js';
import { REQUEST, SERVICES } from './dead-backends-test-support.js';

const ADDRESS = { endpoint: { host: '10.128.0.1', port: 8_080 } };

/** Revision of the list with which a daemon starts. */
const LISTED_REVISION = 30;

/** A daemon that has just started and read the list `records`. */
function startWithList(records: readonly RoutedBackend[]): ForwarderHarness {
  return new ForwarderHarness().applyRecords(records, { services: SERVICES }, LISTED_REVISION);
}

/** Applies an update that follows revision `since`; -1 for a complete state. */
function applyUpdate(harness: ForwarderHarness, since: number, update: RoutingUpdate): void {
  const origin = { since, confirmedAtMs: harness.clock.now(), mayHaveLapsed: false };
  harness.knowledge.apply('backends', update, origin);
}

/** Delivers a packet of a flow that another daemon placed at `id`; returns its back end, or undefined after a reset. */
function forwardByCookie(harness: ForwarderHarness, port: number, id: string): string | undefined {
  return harness.sendMidFlow(port, hashString(id), REQUEST)?.backend;
}

test('flows at a reused address are not reset when the record of the crashed predecessor was created anew later', (t) => {
  const crashed = backendAt('x', 20, ADDRESS);
  const successor = backendAt('y', 15, { ...ADDRESS, service: 'beta' });
  for (const list of [
    [crashed, successor],
    [successor, crashed],
  ]) {
    const harness = startWithList(list);
    t.is(forwardByCookie(harness, 41_000, 'y'), 'y', 'while both are listed');
    harness.removeRecord('x', LISTED_REVISION + 1);
    harness.clock.advance(HOUSEKEEPING_TICK_MS);
    t.is(forwardByCookie(harness, 41_001, 'y'), 'y', 'after the late record has expired');
    t.is(harness.sendMidFlow(41_000, hashString('y'))?.backend, 'y');
    t.is(harness.resets.length, 0);
  }
});

test('a late record of a crashed back end and its removal in one update do not reset flows of its successor', (t) => {
  const successor = backendAt('y', 15, { ...ADDRESS, service: 'beta' });
  const harness = startWithList([successor]);
  const recorded = backendAt('x', LISTED_REVISION + 1, ADDRESS);
  const removals = [{ id: 'x', revision: LISTED_REVISION + 2 }];
  applyUpdate(harness, LISTED_REVISION, updateAt(LISTED_REVISION + 2, { backends: [recorded], removals }));
  t.is(forwardByCookie(harness, 41_000, 'y'), 'y');
  harness.clock.advance(HOUSEKEEPING_TICK_MS);
  t.is(forwardByCookie(harness, 41_001, 'y'), 'y');
  t.is(harness.resets.length, 0);
});

test('flows of a lapsed back end are not reset when the record of its predecessor was created anew', (t) => {
  const predecessor = backendAt('p', 20, { ...ADDRESS, service: 'beta' });
  const harness = startWithList([predecessor]);
  const departed = [{ record: backendAt('l', 15, ADDRESS), departedAtMs: 0, lapsed: true }];
  applyUpdate(harness, LISTED_REVISION, updateAt(LISTED_REVISION + 1, { departed }));
  t.is(forwardByCookie(harness, 41_000, 'l'), 'l');
  harness.clock.advance(HOUSEKEEPING_TICK_MS);
  t.is(forwardByCookie(harness, 41_001, 'l'), 'l');
  t.is(harness.resets.length, 0);
});

test('flows of a crashed back end are reset once a peer reports that it was created before its successor', (t) => {
  const crashed = backendAt('x', 20, ADDRESS);
  const successor = backendAt('y', 15, { ...ADDRESS, service: 'beta' });
  const harness = startWithList([crashed, successor]);
  const departed = [{ record: backendAt('x', 5, { ...ADDRESS, revision: 20 }), departedAtMs: 0 }];
  const peerState = { complete: true, backends: [successor], departed };
  applyUpdate(harness, -1, updateAt(LISTED_REVISION + 1, peerState));
  t.is(forwardByCookie(harness, 41_000, 'x'), 'x', 'not before other peers have had time to send theirs');
  harness.clock.advance(CREATION_HISTORY_UPTIME_MS + HOUSEKEEPING_TICK_MS);
  t.is(forwardByCookie(harness, 41_001, 'x'), undefined);
  t.is(forwardByCookie(harness, 41_002, 'y'), 'y');
});

test('a superseded back end that is recorded again keeps flows forwarded by cookie, but gets no new ones', (t) => {
  const harness = startWithList([backendAt('x', 5, ADDRESS)]);
  harness.clock.advance(CREATION_HISTORY_UPTIME_MS);
  const successor = backendAt('y', LISTED_REVISION + 1, { ...ADDRESS, service: 'beta' });
  applyUpdate(harness, LISTED_REVISION, updateAt(LISTED_REVISION + 1, { backends: [successor] }));
  harness.removeRecord('x', LISTED_REVISION + 2);
  harness.clock.advance(HOUSEKEEPING_TICK_MS);
  t.is(forwardByCookie(harness, 41_000, 'x'), undefined);
  const recordedAgain = backendAt('x', LISTED_REVISION + 3, ADDRESS);
  applyUpdate(harness, LISTED_REVISION + 2, updateAt(LISTED_REVISION + 3, { backends: [recordedAgain] }));
  harness.clock.advance(HOUSEKEEPING_TICK_MS);
  t.is(forwardByCookie(harness, 41_001, 'x'), 'x');
  t.is(harness.open(42_000)?.backend, undefined, 'no new flow');
});

test('a later record at the address resets no flow before peers have sent when both back ends were first created', (t) => {
  const options = { hasReceivedDeparted: () => false };
  const harness = new ForwarderHarness(undefined, 1, [], options);
  harness.applyRecords([backendAt('x', 5, ADDRESS)], { services: SERVICES }, LISTED_REVISION);
  const successor = backendAt('y', LISTED_REVISION + 1, { ...ADDRESS, service: 'beta' });
  applyUpdate(harness, LISTED_REVISION, updateAt(LISTED_REVISION + 1, { backends: [successor] }));
  harness.removeRecord('x', LISTED_REVISION + 2);
  harness.clock.advance(2 * CREATION_HISTORY_UPTIME_MS);
  t.is(forwardByCookie(harness, 41_000, 'x'), 'x');
  t.is(harness.resets.length, 0);
});
