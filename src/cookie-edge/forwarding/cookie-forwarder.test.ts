import test from 'ava';
import { READS_A_TURN } from '../../common/pause-detector.js';
import { LAPSED_RECORD_MS } from '../placement/constants.js';
import { backendAt, SERVICE_PORT } from '../routing/routing-test-support.js';
import { HOUSEKEEPING_TICK_MS } from './constants.js';
import { backends, failOpenings, ForwarderHarness } from './cookie-test-support.js';
import { COOKIE_FLOW_EVENTS } from './events.js';

test('a flow that this balancer never saw goes on to the back end that its cookie names', (t) => {
  const first = new ForwarderHarness().know(backends(5));
  const second = new ForwarderHarness().know(backends(5));
  for (let port = 1; port <= 20; port += 1) {
    const opened = first.establish(port);
    t.deepEqual(second.goOn(port, opened.cookie), opened);
  }
  t.is(second.forwarder.statistics.takenOver, 20);
});

test("the packet's cookie goes before the balancer's own memory of the flow", (t) => {
  const harness = new ForwarderHarness().know(backends(3));
  const opened = harness.establish(1);
  const other = ['a', 'b', 'c'].find((id) => id !== opened.backend)!;
  const cookies = new Map<string, number>();
  for (let port = 10; cookies.size < 3; port += 1) {
    const placed = harness.establish(port);
    cookies.set(placed.backend!, placed.cookie);
  }
  t.is(harness.goOn(1, cookies.get(other)!)?.backend, other);
  t.is(harness.goOn(1, 0)?.backend, other, 'it is remembered');
});

test('a cookie that names nobody is never guessed, whatever else is known', (t) => {
  const harness = new ForwarderHarness().know(backends(1));
  t.is(harness.goOn(7, 0x01020304), undefined);
  t.is(harness.goOn(7, 0), undefined);
  t.deepEqual(harness.forwarder.statistics.drops, { 'unknown-cookie': 2 });
});

test('copies of a SYN go where the first went', (t) => {
  const harness = new ForwarderHarness().know(backends(5));
  const opened = harness.open(1);
  for (let port = 2; port <= 9; port += 1) harness.establish(port);
  harness.clock.advance(200);
  t.deepEqual(harness.open(1, 1), opened);
  harness.clock.advance(400);
  t.deepEqual(harness.open(1, 2), opened);
});

test('balancers that know the same choose equally for equal SYNs', (t) => {
  const one = new ForwarderHarness(undefined, 1).know(backends(14));
  const two = new ForwarderHarness(undefined, 99).know(backends(14));
  for (let port = 1; port <= 50; port += 1) t.deepEqual(one.open(port), two.open(port), `port ${port}`);
});

test('what waited in the socket while the process stood still opens no flow', (t) => {
  const harness = new ForwarderHarness().know(backends(3));
  const opened = harness.establish(1);
  harness.stop();
  harness.clock.advance(5_000);
  t.is(harness.open(2), undefined);
  t.true(harness.events().includes(COOKIE_FLOW_EVENTS.staleSyn.number));
  t.truthy(harness.goOn(1, opened.cookie), 'open flows go on');
});

test('a SYN with the ports of a flow that was closed opens a new flow, not at a back end that leaves', (t) => {
  const harness = new ForwarderHarness().know(backends(3));
  const opened = harness.establish(1);
  harness.goOn(1, opened.cookie, { fin: true });
  const leaving = backends(3).map((record) =>
    record.id === opened.backend ? { ...record, draining: true, revision: 20 } : record,
  );
  harness.know(leaving, {}, 20);
  const again = harness.open(1);
  t.truthy(again?.backend);
  t.not(again?.backend, opened.backend);
});

test('a copy of a SYN that waited while the process stood still goes nowhere', (t) => {
  const harness = new ForwarderHarness().know(backends(3));
  t.truthy(harness.open(1));
  harness.stop();
  harness.clock.advance(5_000);
  t.is(harness.open(1, 1), undefined);
  t.deepEqual(harness.forwarder.statistics.drops, { 'old-opening': 1 });
});

test('a long backlog is old to its end, and what comes after it is not', (t) => {
  const harness = new ForwarderHarness().know(backends(3));
  harness.pauseProcess(4_000);
  for (let read = 1; read <= 3 * READS_A_TURN; read += 1) {
    t.is(harness.open(read), undefined, `datagram ${read}`);
    if (read % READS_A_TURN === 0) harness.endEventLoopTurn();
  }
  t.is(harness.open(4_000), undefined, 'the last turn has not ended');
  harness.endEventLoopTurn();
  t.truthy(harness.open(4_001));
});

test('a late tick opens a short time in which SYNs are too old, and then it is over', (t) => {
  const harness = new ForwarderHarness().know(backends(3));
  harness.clock.advance(3 * HOUSEKEEPING_TICK_MS);
  t.truthy(harness.open(1), 'ticks in time are no pause');
});

test('without complete knowledge an opening is left to be repeated, not refused', (t) => {
  const harness = new ForwarderHarness();
  t.is(harness.open(1), undefined);
  t.deepEqual(harness.forwarder.statistics.drops, { starting: 1 });
  harness.know(backends(1));
  t.is(harness.open(1, 1)?.backend, 'a');
});

test('an opening to an address without a route is refused with a reset at once', (t) => {
  const harness = new ForwarderHarness().know(backends(1));
  const answer = harness.deliver({ syn: true, destinationPort: SERVICE_PORT + 1 });
  t.deepEqual(answer, { backend: undefined, cookie: 0 });
  t.deepEqual(harness.forwarder.statistics.refusals, { 'no-route': 1 });
});

const INELIGIBLE: readonly (readonly [string, Parameters<typeof backendAt>[2], boolean])[] = [
  ['draining', { draining: true }, false],
  ['departed', {}, true],
  ['of another service', { service: 'beta' }, false],
];

for (const [name, change, departs] of INELIGIBLE) {
  test(`a back end that is ${name} gets no new flow, and open flows go on`, (t) => {
    const harness = new ForwarderHarness().know([backendAt('a', 1), backendAt('b', 2)]);
    let port = 1;
    while (harness.establish(port).backend !== 'a') port += 1;
    const cookie = harness.sent.at(-1)!.cookie;
    harness.know([backendAt('a', 11, change), backendAt('b', 2)], {}, 12);
    if (departs) harness.depart('a', 13);
    for (let other = 100; other < 120; other += 1) t.is(harness.establish(other).backend, 'b');
    t.is(harness.goOn(port, cookie)?.backend, 'a');
  });
}

test('no back end is full beyond its connections, and then openings are refused at once', (t) => {
  const services = [{ name: 'alpha', maxConnections: 2 }];
  const harness = new ForwarderHarness().know(backends(2), { services });
  for (let port = 1; port <= 4; port += 1) t.truthy(harness.establish(port).backend);
  t.is(harness.open(5)?.backend, undefined);
  t.deepEqual(harness.forwarder.statistics.refusals, { 'no-backend': 1 });
  harness.goOn(1, harness.sent[0]!.cookie, { fin: true });
  t.truthy(harness.open(6)?.backend, 'a closed flow makes room');
});

test('flows that were silent for the idle time make room', (t) => {
  const services = [{ name: 'alpha', maxConnections: 1 }];
  const harness = new ForwarderHarness().know(backends(1), { services, idleTimeoutMs: 5_000 });
  harness.establish(1);
  harness.clock.advance(4_000);
  t.is(harness.open(2)?.backend, undefined);
  harness.clock.advance(2_500);
  t.is(harness.open(3)?.backend, 'a');
});

test('a back end that leaves openings unanswered while others answer gets no more', (t) => {
  const harness = new ForwarderHarness().know(backends(3));
  for (let port = 1; port <= 9; port += 1) harness.establish(port);
  harness.clock.advance(10);
  const [first] = failOpenings(harness, 'a', 2, 100);
  harness.clock.advance(300);
  harness.establish(500);
  harness.clock.advance(HOUSEKEEPING_TICK_MS);
  t.true(harness.events().includes(COOKIE_FLOW_EVENTS.backendEjected.number));
  for (let port = 600; port < 620; port += 1) t.not(harness.establish(port).backend, 'a');
  const again = harness.open(first!, 1);
  t.not(again?.backend, 'a', 'a copy of an opening goes elsewhere now');
  t.deepEqual(harness.open(first!, 2), again);
});

test('a back end is not ejected when all of them are silent: then it is this balancer or its links', (t) => {
  const harness = new ForwarderHarness().know(backends(3));
  for (let port = 1; port <= 9; port += 1) harness.establish(port);
  harness.clock.advance(100);
  for (let port = 100; port < 130; port += 1) harness.open(port);
  harness.clock.advance(1_000);
  t.is(harness.forwarder.ejections, 0);
});

test('an ejected back end gets one opening on trial, and comes back when it is answered', (t) => {
  const harness = new ForwarderHarness().know(backends(2));
  for (let port = 1; port <= 6; port += 1) harness.establish(port);
  harness.clock.advance(10);
  failOpenings(harness, 'a', 2, 100);
  harness.clock.advance(200);
  harness.establish(500);
  harness.clock.advance(HOUSEKEEPING_TICK_MS);
  t.is(harness.forwarder.ejections, 1);
  harness.clock.advance(1_100);
  const placed = Array.from({ length: 6 }, (_unused, index) => harness.establish(700 + index).backend);
  t.true(placed.includes('a'));
  t.true(harness.events().includes(COOKIE_FLOW_EVENTS.backendRevived.number));
});

test('repeated data that nobody acknowledges speaks against a back end', (t) => {
  const harness = new ForwarderHarness().know(backends(3));
  const flows = Array.from({ length: 9 }, (_unused, index) => ({
    port: index + 1,
    opened: harness.establish(index + 1),
  }));
  const atA = flows.filter(({ opened }) => opened.backend === 'a');
  harness.clock.advance(10);
  for (const { port, opened } of atA) harness.goOn(port, opened.cookie, { sequence: 50, payloadBytes: 9 });
  harness.clock.advance(200);
  harness.establish(300);
  for (const { port, opened } of atA) harness.goOn(port, opened.cookie, { sequence: 50, payloadBytes: 9 });
  t.is(harness.forwarder.ejections, 1);
  const [{ port, opened } = flows[0]!] = atA;
  harness.goOn(port, opened.cookie, { acknowledgement: 400 });
  t.true(
    harness.events().includes(COOKIE_FLOW_EVENTS.backendRevived.number),
    'new acknowledged data is life',
  );
});

test('a lapsed record serves as a last resort while packets show that its back end lives', (t) => {
  const harness = new ForwarderHarness().know(backends(1));
  const opened = harness.establish(1);
  harness.depart('a', 11, true);
  t.is(harness.open(2)?.backend, undefined, 'no sign of life since it lapsed');
  harness.clock.advance(100);
  harness.goOn(1, opened.cookie, { acknowledgement: 900 });
  t.is(harness.open(3)?.backend, 'a');
  harness.know([backendAt('b', 12)], {}, 12);
  t.is(harness.open(4)?.backend, 'b', 'a recorded one goes first');
});

test('a record that is still missing when lapsed ones are back is taken as gone', (t) => {
  const harness = new ForwarderHarness().know(backends(1));
  const opened = harness.establish(1);
  harness.depart('a', 11, true);
  harness.clock.advance(LAPSED_RECORD_MS - 10);
  harness.goOn(1, opened.cookie, { acknowledgement: 900 });
  t.is(harness.open(2)?.backend, 'a');
  harness.clock.advance(10);
  t.is(harness.open(3)?.backend, undefined);
  t.is(harness.goOn(1, opened.cookie)?.backend, 'a', 'its open flows go on');
  harness.know([backendAt('a', 12)], {}, 12);
  t.is(harness.open(4)?.backend, 'a', 'it came back later');
});

test('a back end that said that it leaves is no last resort', (t) => {
  const harness = new ForwarderHarness().know([backendAt('a', 1, { draining: true })]);
  harness.depart('a', 11, true);
  t.is(harness.open(1)?.backend, undefined);
});

test('the next tries of a caller go elsewhere while an opening waits unusually long', (t) => {
  const harness = new ForwarderHarness().know(backends(2));
  for (let port = 1; port <= 40; port += 1) {
    const opened = harness.open(port)!;
    harness.clock.advance(4);
    harness.goOn(port, opened.cookie);
  }
  harness.know([...backends(2), backendAt('c', 20)], {}, 20);
  t.is(harness.open(100)?.backend, 'c', 'the emptiest');
  harness.clock.advance(4);
  t.is(harness.open(101)?.backend, 'c', 'answers take that long');
  harness.clock.advance(30);
  t.not(harness.open(102)?.backend, 'c');
  harness.goOn(100, harness.sent.find(({ backend }) => backend === 'c')!.cookie);
  harness.goOn(101, harness.sent.find(({ backend }) => backend === 'c')!.cookie);
  t.is(harness.open(103)?.backend, 'c', 'it answered after all');
});

test('a back end that another balancer ejected is avoided until it gives a sign of life', (t) => {
  const harness = new ForwarderHarness().know(backends(3));
  const [opened] = ['a', 'b', 'c'].map((_id, index) => harness.establish(index + 1));
  harness.clock.advance(10);
  const suspected = opened!.backend!;
  t.true(harness.forwarder.applyEjectionReport(suspected, harness.clock.now()));
  t.false(harness.forwarder.applyEjectionReport(suspected, harness.clock.now()), 'it is known now');
  for (let port = 10; port < 18; port += 1) t.not(harness.establish(port).backend, suspected);
  harness.clock.advance(5);
  harness.goOn(1, opened!.cookie, { acknowledgement: 500 });
  t.is(harness.establish(20).backend, suspected);
  t.false(
    harness.forwarder.applyEjectionReport(suspected, harness.clock.now() - 10),
    'older than the sign of life',
  );
  t.false(harness.forwarder.applyEjectionReport('nobody', harness.clock.now()));
});

test('a service whose only back end is suspected elsewhere is served by it', (t) => {
  const harness = new ForwarderHarness().know(backends(1));
  harness.clock.advance(10);
  harness.forwarder.applyEjectionReport('a', harness.clock.now());
  t.is(harness.open(1)?.backend, 'a');
});

test('a back end without long flows does not get every short one', (t) => {
  const harness = new ForwarderHarness().know([backendAt('a', 1), backendAt('b', 2)]);
  for (let port = 1; port <= 12; port += 1) harness.establish(port);
  harness.know([backendAt('a', 1), backendAt('b', 2), backendAt('new', 11)], {}, 12);
  const counts = new Map<string, number>();
  for (let port = 1_000; port < 1_060; port += 1) {
    const { backend, cookie } = harness.establish(port);
    counts.set(backend!, (counts.get(backend!) ?? 0) + 1);
    harness.clock.advance(50);
    harness.goOn(port, cookie, { fin: true });
    harness.clock.advance(50);
  }
  const fresh = counts.get('new') ?? 0;
  t.true(fresh >= 10 && fresh <= 40, `${fresh} of 60`);
});
