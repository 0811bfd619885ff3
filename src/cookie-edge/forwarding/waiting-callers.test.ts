/**
 * Guards against a caller that waits until its deadline although it got a SYN+ACK: two daemons place two copies of its
 * SYN at different back ends, the packet that acknowledges the first SYN+ACK is lost, and the SYN+ACK of the other back
 * end replaces the caller's cookie. Every caller must be served, no matter how it would lose.
 */
import test from 'ava';
import type { LossyPacket, OpeningScenario } from './opening-model-test-support.js';
import { combine, playAll } from './opening-scenarios-test-support.js';

const GRID = {
  handshakesMs: [2, 60, 199, 206, 250, 320, 700],
  answersMs: [2, 1_000],
  changeTimesMs: [1, 50, 150, 199, 201, 206, 262, 420, 590, 650],
};
/** Losses after which the caller continues with the cookie of the SYN+ACK that it acknowledged. */
const LOSSES_BEFORE_HANDSHAKE: readonly (readonly LossyPacket[])[] = [[], ['first-syn-ack'], ['first-syn']];
/** Losses after which another SYN+ACK may replace that cookie. */
const LOSSES_AFTER_HANDSHAKE: readonly (readonly LossyPacket[])[] = [
  ['first-data'],
  ['first-data', 'second-data'],
  ['first-syn-ack', 'first-data'],
  ['first-syn', 'first-data'],
];

/** Routers and kills of a scenario. */
type Change = Pick<OpeningScenario, 'routes' | 'kills'>;

/** Routers that pick daemon 0 from the start, and other daemons from later times on. */
function routesFrom(...changes: readonly (readonly [fromMs: number, daemon: number])[]): Change['routes'] {
  return [{ fromMs: 0, daemon: 0 }, ...changes.map(([fromMs, daemon]) => ({ fromMs, daemon }))];
}

/** Changes of the routers, by the time of the first one. */
const CHANGES: Readonly<Record<string, (fromMs: number) => Change>> = {
  'routers change once': (fromMs) => ({ routes: routesFrom([fromMs, 1]), kills: [] }),
  'routers change twice': (fromMs) => ({ routes: routesFrom([fromMs, 1], [fromMs + 60, 2]), kills: [] }),
  'routers change and change back': (fromMs) => ({
    routes: routesFrom([fromMs, 1], [fromMs + 250, 0]),
    kills: [],
  }),
};

/** The first daemon is killed and stays down; routers notice later. */
function killFirstDaemon(atMs: number): Change {
  return { routes: routesFrom([atMs + 150, 1]), kills: [{ atMs, daemon: 0, staysDown: true }] };
}

/** Counts the outcomes of all scenarios with each of the losses. */
async function countOutcomes(
  change: (fromMs: number) => Change,
  allLosses: readonly (readonly LossyPacket[])[],
): Promise<Record<string, number>> {
  const counts: Record<string, number> = {};
  const count = (outcome: string): void => void (counts[outcome] = (counts[outcome] ?? 0) + 1);
  const scenarios = allLosses.flatMap((losses) => [
    ...combine(GRID, (fromMs) => ({ ...change(fromMs), losses })),
  ]);
  for await (const [, { callerOutcome, misdelivered }] of playAll(scenarios)) {
    count(callerOutcome);
    if (misdelivered > 0) count('misdelivered');
  }
  return counts;
}

const SCENARIOS_PER_LOSS = GRID.answersMs.length * GRID.handshakesMs.length ** 2 * GRID.changeTimesMs.length;

for (const [name, change] of Object.entries(CHANGES)) {
  for (const losses of [...LOSSES_BEFORE_HANDSHAKE, ...LOSSES_AFTER_HANDSHAKE]) {
    test.serial(
      `every caller is served if ${name} and these are lost: ${losses.join(', ') || 'none'}`,
      async (t) => {
        t.deepEqual(await countOutcomes(change, [losses]), { served: SCENARIOS_PER_LOSS });
      },
    );
  }
}

test.serial(
  'every caller is served if the first daemon is killed, also if a SYN or a SYN+ACK is lost',
  async (t) => {
    const served = SCENARIOS_PER_LOSS * LOSSES_BEFORE_HANDSHAKE.length;
    t.deepEqual(await countOutcomes(killFirstDaemon, LOSSES_BEFORE_HANDSHAKE), { served });
  },
);

test.serial('every caller is served if the first daemon is killed and data is lost', async (t) => {
  const served = SCENARIOS_PER_LOSS * LOSSES_AFTER_HANDSHAKE.length;
  t.deepEqual(await countOutcomes(killFirstDaemon, LOSSES_AFTER_HANDSHAKE), { served });
});
