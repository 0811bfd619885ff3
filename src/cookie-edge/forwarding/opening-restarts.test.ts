/**
 * Guards against an open flow that a daemon without memory of it leads to another back end: its SYN was placed twice,
 * and the back end that the caller did not acknowledge repeats its SYN+ACK, which replaces the caller's cookie.
 */
import test from 'ava';
import type { OpeningScenario } from './opening-model-test-support.js';
import { combine, misledScenarios } from './opening-scenarios-test-support.js';

const QUICK_MS = 2;
/** Times between the caller's data packets are long enough for repeated SYN+ACKs to arrive last. */
const DATA_INTERVAL_MS = 900;
/** Times of the loss of the second daemon, which saw the handshake. */
const LOSS_TIMES_MS = [420, 830, 1_500, 3_300];

const GRID = {
  handshakesMs: [QUICK_MS, 60, 206, 320],
  answersMs: [QUICK_MS],
  changeTimesMs: [50, 201, 230, 303],
};

/** The first daemon is lost before the flow opens. What then happens to the second one, and who gets the flow. */
const LOSSES: readonly {
  readonly title: string;
  readonly losses: (atMs: number) => Pick<OpeningScenario, 'kills' | 'restarts'>;
  readonly nextDaemon: number;
}[] = [
  {
    title: 'is killed and gets the flow again',
    losses: (atMs) => ({ kills: [{ atMs, daemon: 1 }] }),
    nextDaemon: 1,
  },
  {
    title: 'is killed and another one gets the flow',
    losses: (atMs) => ({ kills: [{ atMs, daemon: 1 }] }),
    nextDaemon: 2,
  },
  {
    title: 'lives and another one gets the flow',
    losses: () => ({ kills: [] }),
    nextDaemon: 2,
  },
  {
    title: 'and then each other one is restarted as planned',
    losses: (atMs) => ({
      kills: [],
      restarts: [1, 2, 0].map((daemon, index) => ({ atMs: atMs + index * 20, daemon })),
    }),
    nextDaemon: 2,
  },
];

for (const { title, losses, nextDaemon } of LOSSES) {
  for (const atMs of LOSS_TIMES_MS) {
    test.serial(
      `an open flow stays at its back end if the daemon that saw its handshake ${title}, ${atMs} ms`,
      async (t) => {
        const scenarios = combine(GRID, (fromMs) => {
          const { kills, restarts } = losses(atMs);
          return {
            repeatsSynAcks: true,
            dataIntervalMs: DATA_INTERVAL_MS,
            routes: [
              { fromMs: 0, daemon: 0 },
              { fromMs, daemon: 1 },
              { fromMs: atMs, daemon: nextDaemon },
            ],
            kills: [{ atMs: fromMs, daemon: 0 }, ...kills],
            restarts,
          };
        });
        t.deepEqual(await misledScenarios(scenarios), []);
      },
    );
  }
}
