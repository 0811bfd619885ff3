/**
 * Guards against an open flow whose packets are led to another back end beside a daemon of an earlier build. That
 * daemon placed the first SYN, does not say where, and wrote the cookie of established flows into it. The SYN+ACK
 * arrives after the caller has opened the flow at the back end to which the retransmission went.
 */
import test from 'ava';
import type { CookiePacket } from '../../fabric/cookie-edge.js';
import { backends, ForwarderHarness } from './cookie-test-support.js';
import { COOKIE_FLOW_EVENTS } from './events.js';
import { OpeningModel, type LossyPacket, type OpeningScenario } from './opening-model-test-support.js';
import { combine, misledScenarios } from './opening-scenarios-test-support.js';

const QUICK_MS = 2;
const GRID = {
  handshakesMs: [QUICK_MS, 60, 199, 206, 250, 320, 700],
  answersMs: [QUICK_MS, 100, 300, 1_000],
  changeTimesMs: [1, 50, 100, 150, 199, 201, 203, 206, 230, 262, 303, 350, 420, 500, 590, 610, 650],
};
const LOSSES: readonly (readonly LossyPacket[])[] = [[], ['first-syn'], ['first-syn-ack'], ['first-data']];

/** Routers change from a daemon of an earlier build to one of this build at `fromMs`. */
function besideEarlierBuild(fromMs: number): Pick<OpeningScenario, 'routes' | 'kills' | 'earlierBuilds'> {
  const routes = [
    { fromMs: 0, daemon: 0 },
    { fromMs, daemon: 1 },
  ];
  return { routes, kills: [], earlierBuilds: [0] };
}

test('a late SYN+ACK of a placement by an earlier build does not lead an open flow away', (t) => {
  const outcome = OpeningModel.play({
    answerMs: 100,
    handshakeMs: [320, QUICK_MS, QUICK_MS],
    ...besideEarlierBuild(150),
  });
  t.like(outcome, { placedAt: ['a', 'b'], holder: 'b', misdelivered: 0, callerOutcome: 'served' });
});

for (const losses of LOSSES) {
  test.serial(
    `no packet of an open flow is misdelivered if routers leave an earlier build and these are lost: ${losses.join(', ') || 'none'}`,
    async (t) => {
      const scenarios = combine(GRID, (fromMs) => ({ ...besideEarlierBuild(fromMs), losses }));
      t.deepEqual(await misledScenarios(scenarios), []);
    },
  );
}

const SECOND_PORT = 1_000;
const FIRST_ACKNOWLEDGEMENT = 501;
const DATA_BYTES = 10;

/**
 * Opens a flow at `a` by a retransmitted SYN and a packet with the fields `first`, and returns the cookie of
 * established flows at `b`.
 */
function openByRetransmission(harness: ForwarderHarness, first: Partial<CookiePacket> = {}) {
  let port = 1;
  while (harness.open(port, 1)?.backend !== 'a') port += 1;
  const openingCookie = harness.sent.at(-1)!.cookie;
  let otherPort = SECOND_PORT;
  while (harness.establish(otherPort).backend !== 'b') otherPort += 1;
  const otherCookie = harness.sendMidFlow(otherPort, harness.sent.at(-1)!.cookie)!.cookie;
  const data = (sequence: number) => ({
    sequence,
    acknowledgement: FIRST_ACKNOWLEDGEMENT,
    payloadBytes: DATA_BYTES,
  });
  const opened = harness.sendMidFlow(port, openingCookie, { ...data(2), ...first })!;
  return { port, otherCookie, ownCookie: opened.cookie, data };
}

test('a flow that has been answered stays at its back end when data is repeated with the cookie of another one', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(3));
  const { port, otherCookie, ownCookie, data } = openByRetransmission(harness);
  const answered = { ...data(2 + DATA_BYTES), acknowledgement: FIRST_ACKNOWLEDGEMENT + 600 };
  t.is(harness.sendMidFlow(port, ownCookie, answered)?.backend, 'a');
  t.is(harness.sendMidFlow(port, otherCookie, answered)?.backend, 'a');
  t.true(harness.events().includes(COOKIE_FLOW_EVENTS.cookieOverruled.number));
});

test('a flow that another back end answers does not wait at the back end of a retransmitted SYN', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(3));
  const { port, otherCookie, data } = openByRetransmission(harness);
  const answered = { ...data(2 + DATA_BYTES), acknowledgement: FIRST_ACKNOWLEDGEMENT + 600 };
  t.is(
    harness.sendMidFlow(port, otherCookie, answered)?.backend,
    'a',
    'the answer may be of either back end',
  );
  t.is(harness.sendMidFlow(port, otherCookie, answered)?.backend, 'b', 'the repeated data was not answered');
  t.true(harness.events().includes(COOKIE_FLOW_EVENTS.cookieFollowed.number));
});

test('the first data of a flow is not taken for repeated data, whatever its sequence number', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(3));
  const { port, otherCookie } = openByRetransmission(harness, { payloadBytes: 0 });
  const firstData = { sequence: 0x9000_0000, acknowledgement: FIRST_ACKNOWLEDGEMENT + 600, payloadBytes: 1 };
  t.is(harness.sendMidFlow(port, otherCookie, firstData)?.backend, 'a');
});
