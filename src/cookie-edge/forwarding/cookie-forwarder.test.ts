import test from 'ava';
import { READS_A_TURN } from '../../common/pause-detector.js';
import { LAPSED_RECORD_TTL_MS } from '../placement/constants.js';
import { backendAt, SERVICE_PORT } from '../routing/routing-test-support.js';
import { HOUSEKEEPING_TICK_MS, MAX_ACKNOWLEDGEMENT_ADVANCE_BYTES } from './constants.js';
import { backends, leaveOpeningsUnanswered, ForwarderHarness } from './cookie-test-support.js';
import { COOKIE_FLOW_EVENTS } from './events.js';

test('a packet of a flow that this daemon never saw goes to the back end of its cookie', (t) => {
  const first = new ForwarderHarness().applyRecords(backends(5));
  const second = new ForwarderHarness().applyRecords(backends(5));
  for (let port = 1; port <= 20; port += 1) {
    const opened = first.establish(port);
    const established = first.sendMidFlow(port, opened.cookie);
    t.is(established?.backend, opened.backend);
    t.deepEqual(second.sendMidFlow(port, opened.cookie), established, 'by the cookie of its SYN');
    t.deepEqual(second.sendMidFlow(port, established!.cookie), established, 'by its later cookie');
  }
  t.is(second.forwarder.statistics.takenOver, 20);
});

/** Returns a flow at `a`, and both cookies of `b`: that of a SYN and that of an established flow. */
function flowAndCookiesOfAnotherBackend(harness: ForwarderHarness) {
  const port = portOpenedAt(harness, 'a', 1);
  const otherPort = portOpenedAt(harness, 'b', 100);
  const openingCookie = harness.sent.find((_sent, index) => harness.sentPorts[index] === otherPort)!.cookie;
  const establishedCookie = harness.sendMidFlow(otherPort, openingCookie)!.cookie;
  return { port, openingCookie, establishedCookie };
}

/** Opens flows until one is placed at `backend`, and returns its port. */
function portOpenedAt(harness: ForwarderHarness, backend: string, fromPort: number): number {
  let port = fromPort;
  while (harness.establish(port).backend !== backend) port += 1;
  return port;
}

test('the cookie of an established flow takes precedence over the cached flow', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(3));
  const { port, establishedCookie } = flowAndCookiesOfAnotherBackend(harness);
  t.is(harness.sendMidFlow(port, establishedCookie)?.backend, 'b');
  t.is(harness.sendMidFlow(port, 0)?.backend, 'b', 'the cache was updated');
});

test('an opening cookie does not move an open flow, and its packets carry the cookie of its back end', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(3));
  const { port, openingCookie, establishedCookie } = flowAndCookiesOfAnotherBackend(harness);
  t.not(openingCookie, establishedCookie);
  const kept = harness.sendMidFlow(port, openingCookie, { acknowledgement: 601 });
  t.is(kept?.backend, 'a');
  t.deepEqual(harness.sendMidFlow(port, kept!.cookie), kept);
  t.true(harness.events().includes(COOKIE_FLOW_EVENTS.cookieOverruled.number));
});

test('an opening cookie takes precedence over an earlier flow of the same addresses', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(3));
  const { port, openingCookie } = flowAndCookiesOfAnotherBackend(harness);
  const ofAnotherFlow = { acknowledgement: MAX_ACKNOWLEDGEMENT_ADVANCE_BYTES + 2 };
  t.is(harness.sendMidFlow(port, openingCookie, ofAnotherFlow)?.backend, 'b');
});

test('a packet with an unknown cookie and no cached flow is dropped, even if there is only one back end', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(1));
  t.is(harness.sendMidFlow(7, 0x01020304), undefined);
  t.is(harness.sendMidFlow(7, 0), undefined);
  t.deepEqual(harness.forwarder.statistics.drops, { 'unknown-cookie': 2 });
});

test('a placement is logged before its SYN is sent, with how long the SYN waited and the list it was chosen from', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(3), {}, 17);
  const loggedBeforeSending: number[] = [];
  harness.onSent(1, () => loggedBeforeSending.push(...harness.events()));
  harness.passToForwarder({ sourcePort: 1, syn: true, retransmissionCount: 1 }, 40);
  t.true(loggedBeforeSending.includes(COOKIE_FLOW_EVENTS.opened.number));
  const fields = harness.logged.find(({ event }) => event === COOKIE_FLOW_EVENTS.opened)?.fields;
  t.like(fields, { copy: 1, waitedMs: 40, candidates: 3, listRevision: 17 });
});

test('retransmissions of a SYN go to the same back end as the first', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(5));
  const opened = harness.open(1);
  for (let port = 2; port <= 9; port += 1) harness.establish(port);
  harness.clock.advance(200);
  t.deepEqual(harness.open(1, 1), opened);
  harness.clock.advance(400);
  t.deepEqual(harness.open(1, 2), opened);
});

test('daemons with the same routes and back ends place equal SYNs equally', (t) => {
  const one = new ForwarderHarness(undefined, 1).applyRecords(backends(14));
  const two = new ForwarderHarness(undefined, 99).applyRecords(backends(14));
  for (let port = 1; port <= 50; port += 1) t.deepEqual(one.open(port), two.open(port), `port ${port}`);
});

test('a SYN that waited in the socket during a pause of the process opens no flow', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(3));
  const opened = harness.establish(1);
  harness.stop();
  harness.clock.advance(5_000);
  t.is(harness.open(2), undefined);
  t.true(harness.events().includes(COOKIE_FLOW_EVENTS.staleSyn.number));
  t.truthy(harness.sendMidFlow(1, opened.cookie), 'open flows continue');
});

test('a SYN with the ports of a closed flow opens a new flow, not at a draining back end', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(3));
  const opened = harness.establish(1);
  harness.sendMidFlow(1, opened.cookie, { fin: true });
  const withDrainingBackend = backends(3).map((record) =>
    record.id === opened.backend ? { ...record, draining: true, revision: 20 } : record,
  );
  harness.applyRecords(withDrainingBackend, {}, 20);
  const reopened = harness.open(1);
  t.truthy(reopened?.backend);
  t.not(reopened?.backend, opened.backend);
});

const CHANGES_AFTER_THE_FIRST_SYN: readonly (readonly [
  string,
  (harness: ForwarderHarness, id: string) => void,
])[] = [
  [
    'drains',
    (harness, id) =>
      harness.applyRecords(
        backends(3).map((record) =>
          record.id === id ? { ...record, draining: true, revision: 20 } : record,
        ),
        {},
        20,
      ),
  ],
  ['has left', (harness, id) => harness.removeRecord(id, 20)],
  [
    'is no longer a target of the route',
    (harness, id) =>
      harness.applyRecords(
        backends(3).map((record) =>
          record.id === id ? { ...record, service: 'beta', revision: 20 } : record,
        ),
        {},
        20,
      ),
  ],
];

for (const [change, apply] of CHANGES_AFTER_THE_FIRST_SYN) {
  test(`a retransmitted SYN does not go to a back end that ${change} since the first SYN`, (t) => {
    const harness = new ForwarderHarness().applyRecords(backends(3));
    const first = harness.open(1)?.backend;
    apply(harness, first!);
    harness.clock.advance(200);
    const moved = harness.open(1, 1);
    t.truthy(moved?.backend);
    t.not(moved?.backend, first);
    t.deepEqual(harness.open(1, 2), moved);
  });
}

test('a retransmitted SYN is refused immediately if its route was removed since the first SYN', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(3));
  harness.open(1);
  const open = harness.establish(2);
  harness.applyRecords(backends(3), { routes: [] }, 20);
  harness.clock.advance(200);
  t.deepEqual(harness.open(1, 1), { backend: undefined, cookie: 0 });
  t.deepEqual(harness.forwarder.statistics.refusals, { 'no-route': 1 });
  t.is(harness.open(2, 1)?.backend, open.backend, 'an open flow keeps its back end');
});

test('a retransmitted SYN stays at a leaving back end if no other can take it', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(1));
  const first = harness.open(1);
  harness.applyRecords([{ ...backends(1)[0]!, draining: true, revision: 20 }], {}, 20);
  t.deepEqual(harness.open(1, 1), first);
});

test('a retransmitted SYN that waited during a pause of the process is dropped', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(3));
  t.truthy(harness.open(1));
  harness.stop();
  harness.clock.advance(5_000);
  t.is(harness.open(1, 1), undefined);
  t.deepEqual(harness.forwarder.statistics.drops, { 'old-opening': 1 });
});

test('every SYN of the backlog after a pause is dropped, and later ones are placed', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(3));
  harness.pauseProcess(4_000);
  for (let read = 1; read <= 3 * READS_A_TURN; read += 1) {
    t.is(harness.open(read), undefined, `datagram ${read}`);
    if (read % READS_A_TURN === 0) harness.endEventLoopTurn();
  }
  t.is(harness.open(4_000), undefined, 'the last turn of the event loop has not ended');
  harness.endEventLoopTurn();
  t.truthy(harness.open(4_001));
});

test('housekeeping ticks on schedule do not count as a pause', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(3));
  harness.clock.advance(3 * HOUSEKEEPING_TICK_MS);
  t.truthy(harness.open(1), 'no pause was detected');
});

test('an opening is dropped, not refused, before the first complete list, so that its caller retransmits', (t) => {
  const harness = new ForwarderHarness();
  t.is(harness.open(1), undefined);
  t.deepEqual(harness.forwarder.statistics.drops, { starting: 1 });
  harness.applyRecords(backends(1));
  t.is(harness.open(1, 1)?.backend, 'a');
});

test('an opening to an address without a route is refused with a reset immediately', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(1));
  const answer = harness.deliver({ syn: true, destinationPort: SERVICE_PORT + 1 });
  t.deepEqual(answer, { backend: undefined, cookie: 0 });
  t.deepEqual(harness.forwarder.statistics.refusals, { 'no-route': 1 });
});

const INELIGIBLE_BACKENDS: readonly (readonly [string, Parameters<typeof backendAt>[2], boolean])[] = [
  ['draining', { draining: true }, false],
  ['departed', {}, true],
  ['of another service', { service: 'beta' }, false],
];

for (const [name, change, departs] of INELIGIBLE_BACKENDS) {
  test(`a back end that is ${name} gets no new flow, and its open flows continue`, (t) => {
    const harness = new ForwarderHarness().applyRecords([backendAt('a', 1), backendAt('b', 2)]);
    let port = 1;
    while (harness.establish(port).backend !== 'a') port += 1;
    const cookie = harness.sent.at(-1)!.cookie;
    harness.applyRecords([backendAt('a', 11, change), backendAt('b', 2)], {}, 12);
    if (departs) harness.removeRecord('a', 13);
    for (let other = 100; other < 120; other += 1) t.is(harness.establish(other).backend, 'b');
    t.is(harness.sendMidFlow(port, cookie)?.backend, 'a');
  });
}

test('no back end exceeds its maximum connections; once all are full, openings are refused immediately', (t) => {
  const services = [{ name: 'alpha', maxConnections: 2 }];
  const harness = new ForwarderHarness().applyRecords(backends(2), { services });
  for (let port = 1; port <= 4; port += 1) t.truthy(harness.establish(port).backend);
  t.is(harness.open(5)?.backend, undefined);
  t.deepEqual(harness.forwarder.statistics.refusals, { 'no-backend': 1 });
  harness.sendMidFlow(1, harness.sent[0]!.cookie, { fin: true });
  t.truthy(harness.open(6)?.backend, 'closing a flow frees a connection');
});

test('flows that reach the idle timeout free their connections', (t) => {
  const services = [{ name: 'alpha', maxConnections: 1 }];
  const harness = new ForwarderHarness().applyRecords(backends(1), { services, idleTimeoutMs: 5_000 });
  harness.establish(1);
  harness.clock.advance(4_000);
  t.is(harness.open(2)?.backend, undefined);
  harness.clock.advance(2_500);
  t.is(harness.open(3)?.backend, 'a');
});

test('a back end that leaves openings unanswered while others respond is ejected', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(3));
  for (let port = 1; port <= 9; port += 1) harness.establish(port);
  harness.clock.advance(10);
  const [first] = leaveOpeningsUnanswered(harness, 'a', 2, 100);
  harness.clock.advance(300);
  harness.establish(500);
  harness.clock.advance(HOUSEKEEPING_TICK_MS);
  t.true(harness.events().includes(COOKIE_FLOW_EVENTS.backendEjected.number));
  for (let port = 600; port < 620; port += 1) t.not(harness.establish(port).backend, 'a');
  const moved = harness.open(first!, 1);
  t.not(moved?.backend, 'a', 'the retransmission goes to another back end');
  t.deepEqual(harness.open(first!, 2), moved);
});

test('no back end is ejected when all are silent, because the cause is this daemon or its links', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(3));
  for (let port = 1; port <= 9; port += 1) harness.establish(port);
  harness.clock.advance(100);
  for (let port = 100; port < 130; port += 1) harness.open(port);
  harness.clock.advance(1_000);
  t.is(harness.forwarder.ejections, 0);
});

test('an ejected back end gets one trial opening, and returns to service when it responds', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(2));
  for (let port = 1; port <= 6; port += 1) harness.establish(port);
  harness.clock.advance(10);
  leaveOpeningsUnanswered(harness, 'a', 2, 100);
  harness.clock.advance(200);
  harness.establish(500);
  harness.clock.advance(HOUSEKEEPING_TICK_MS);
  t.is(harness.forwarder.ejections, 1);
  harness.clock.advance(1_100);
  const placed = Array.from({ length: 6 }, (_unused, index) => harness.establish(700 + index).backend);
  t.true(placed.includes('a'));
  t.true(harness.events().includes(COOKIE_FLOW_EVENTS.backendRevived.number));
});

test('retransmitted data without an acknowledgement counts as a failure of the back end', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(3));
  const flows = Array.from({ length: 9 }, (_unused, index) => ({
    port: index + 1,
    opened: harness.establish(index + 1),
  }));
  const atA = flows.filter(({ opened }) => opened.backend === 'a');
  harness.clock.advance(10);
  for (const { port, opened } of atA)
    harness.sendMidFlow(port, opened.cookie, { sequence: 50, payloadBytes: 9 });
  harness.clock.advance(200);
  harness.establish(300);
  for (const { port, opened } of atA)
    harness.sendMidFlow(port, opened.cookie, { sequence: 50, payloadBytes: 9 });
  t.is(harness.forwarder.ejections, 1);
  const [{ port, opened } = flows[0]!] = atA;
  harness.sendMidFlow(port, opened.cookie, { acknowledgement: 400 });
  t.true(
    harness.events().includes(COOKIE_FLOW_EVENTS.backendRevived.number),
    'a new acknowledgement is a sign of life',
  );
});

test('a back end with a lapsed record is a last resort while packets show that it is alive', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(1));
  const opened = harness.establish(1);
  harness.removeRecord('a', 11, true);
  t.is(harness.open(2)?.backend, undefined, 'no sign of life since it lapsed');
  harness.clock.advance(100);
  harness.sendMidFlow(1, opened.cookie, { acknowledgement: 900 });
  t.is(harness.open(3)?.backend, 'a');
  harness.applyRecords([backendAt('b', 12)], {}, 12);
  t.is(harness.open(4)?.backend, 'b', 'a back end with a current record is preferred');
});

test('a lapsed record that has not returned after LAPSED_RECORD_TTL_MS counts as removed', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(1));
  const opened = harness.establish(1);
  harness.removeRecord('a', 11, true);
  harness.clock.advance(LAPSED_RECORD_TTL_MS - 10);
  harness.sendMidFlow(1, opened.cookie, { acknowledgement: 900 });
  t.is(harness.open(2)?.backend, 'a');
  harness.clock.advance(10);
  t.is(harness.open(3)?.backend, undefined);
  t.is(harness.sendMidFlow(1, opened.cookie)?.backend, 'a', 'its open flows continue');
  harness.applyRecords([backendAt('a', 12)], {}, 12);
  t.is(harness.open(4)?.backend, 'a', 'its record returned');
});

test('a draining back end with a lapsed record is not a last resort', (t) => {
  const harness = new ForwarderHarness().applyRecords([backendAt('a', 1, { draining: true })]);
  harness.removeRecord('a', 11, true);
  t.is(harness.open(1)?.backend, undefined);
});

test('new openings avoid a back end while an opening there waits unusually long', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(2));
  for (let port = 1; port <= 40; port += 1) {
    const opened = harness.open(port)!;
    harness.clock.advance(4);
    harness.sendMidFlow(port, opened.cookie);
  }
  harness.applyRecords([...backends(2), backendAt('c', 20)], {}, 20);
  t.is(harness.open(100)?.backend, 'c', 'the back end with the fewest flows');
  harness.clock.advance(4);
  t.is(harness.open(101)?.backend, 'c', 'the wait is within the usual response time');
  harness.clock.advance(30);
  t.not(harness.open(102)?.backend, 'c');
  harness.sendMidFlow(100, harness.sent.find(({ backend }) => backend === 'c')!.cookie);
  harness.sendMidFlow(101, harness.sent.find(({ backend }) => backend === 'c')!.cookie);
  t.is(harness.open(103)?.backend, 'c', 'it has responded');
});

test('a back end that a peer ejected is avoided until it shows a sign of life', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(3));
  const [opened] = ['a', 'b', 'c'].map((_id, index) => harness.establish(index + 1));
  harness.clock.advance(10);
  const ejectedId = opened!.backend!;
  t.true(harness.forwarder.applyEjectionReport(ejectedId, harness.clock.now()));
  t.false(harness.forwarder.applyEjectionReport(ejectedId, harness.clock.now()), 'already known');
  for (let port = 10; port < 18; port += 1) t.not(harness.establish(port).backend, ejectedId);
  harness.clock.advance(5);
  harness.sendMidFlow(1, opened!.cookie, { acknowledgement: 500 });
  t.is(harness.establish(20).backend, ejectedId);
  t.false(
    harness.forwarder.applyEjectionReport(ejectedId, harness.clock.now() - 10),
    'older than the sign of life',
  );
  t.false(harness.forwarder.applyEjectionReport('nobody', harness.clock.now()));
});

test('the only back end of a service gets flows although a peer ejected it', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(1));
  harness.clock.advance(10);
  harness.forwarder.applyEjectionReport('a', harness.clock.now());
  t.is(harness.open(1)?.backend, 'a');
});

test('a back end without long flows does not get every short flow', (t) => {
  const harness = new ForwarderHarness().applyRecords([backendAt('a', 1), backendAt('b', 2)]);
  for (let port = 1; port <= 12; port += 1) harness.establish(port);
  harness.applyRecords([backendAt('a', 1), backendAt('b', 2), backendAt('new', 11)], {}, 12);
  const counts = new Map<string, number>();
  for (let port = 1_000; port < 1_060; port += 1) {
    const { backend, cookie } = harness.establish(port);
    counts.set(backend!, (counts.get(backend!) ?? 0) + 1);
    harness.clock.advance(50);
    harness.sendMidFlow(port, cookie, { fin: true });
    harness.clock.advance(50);
  }
  const flowsOfNewBackend = counts.get('new') ?? 0;
  t.true(flowsOfNewBackend >= 10 && flowsOfNewBackend <= 40, `${flowsOfNewBackend} of 60`);
});
