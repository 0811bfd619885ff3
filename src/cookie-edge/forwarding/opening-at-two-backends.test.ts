/**
 * Guards against an open flow whose packets are led to another back end: two daemons place two copies of its SYN at
 * different back ends, and the SYN+ACK that the caller did not acknowledge arrives last.
 */
import test from 'ava';
import { OpeningModel, type OpeningScenario } from './opening-model-test-support.js';
import { combine, misledScenarios } from './opening-scenarios-test-support.js';

const QUICK_MS = 2;

const BASE: OpeningScenario = {
  routes: [{ fromMs: 0, daemon: 0 }],
  handshakeMs: [QUICK_MS, QUICK_MS, QUICK_MS],
  answerMs: 100,
  kills: [],
  areDaemonsIsolated: true,
};

test('a flow opens at the back end that its first SYN was placed at', (t) => {
  t.like(OpeningModel.play(BASE), { holder: 'a', placedAt: ['a'], misdelivered: 0 });
});

test('a late SYN+ACK of the first placement does not lead an open flow away from its back end', (t) => {
  const outcome = OpeningModel.play({
    ...BASE,
    routes: [
      { fromMs: 0, daemon: 0 },
      { fromMs: 100, daemon: 1 },
    ],
    handshakeMs: [250, QUICK_MS, QUICK_MS],
  });
  t.deepEqual(outcome.placedAt, ['a', 'b']);
  t.is(outcome.holder, 'b');
  t.is(outcome.misdelivered, 0);
});

test('a late SYN+ACK of the second placement does not lead an open flow away from its back end', (t) => {
  const outcome = OpeningModel.play({
    ...BASE,
    routes: [
      { fromMs: 0, daemon: 0 },
      { fromMs: 100, daemon: 1 },
    ],
    handshakeMs: [210, 40, QUICK_MS],
  });
  t.deepEqual(outcome.placedAt, ['a', 'b']);
  t.is(outcome.holder, 'a');
  t.is(outcome.misdelivered, 0);
});

const GRID = {
  handshakesMs: [QUICK_MS, 60, 199, 206, 250, 320, 700],
  answersMs: [QUICK_MS, 100, 1_000],
  changeTimesMs: [50, 150, 201, 203, 206, 230, 262, 303, 420, 610, 650],
};

for (const isKilled of [false, true]) {
  const cause = isKilled ? 'by a kill of the first daemon' : 'to another daemon';
  test.serial(
    `no packet of an open flow reaches another back end if routers change once, ${cause}`,
    async (t) => {
      const scenarios = combine(GRID, (fromMs) => ({
        areDaemonsIsolated: true,
        routes: [...BASE.routes, { fromMs, daemon: 1 }],
        kills: isKilled ? [{ atMs: fromMs, daemon: 0 }] : [],
      }));
      t.deepEqual(await misledScenarios(scenarios), []);
    },
  );
}
