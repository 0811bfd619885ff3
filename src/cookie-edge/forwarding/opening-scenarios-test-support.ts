/** Combines the delays and changes of openings, and plays them through `OpeningModel`. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { OpeningModel, type OpeningOutcome, type OpeningScenario } from './opening-model-test-support.js';

/** Values that are combined with each other, in ms. */
interface OpeningGrid {
  /** Handshakes at each of the first two back ends. */
  readonly handshakesMs: readonly number[];
  readonly answersMs: readonly number[];
  /** Times of the first change of the routers. */
  readonly changeTimesMs: readonly number[];
}

/** The part of a scenario that a grid leaves open. `fromMs`: time of the first change of the routers. */
type Change = (fromMs: number) => Omit<OpeningScenario, 'handshakeMs' | 'answerMs'>;

/** Handshake at the third back end, in ms. */
const THIRD_HANDSHAKE_MS = 2;

/** Returns every combination of a grid, with the routers and faults of `change`. */
export function* combine(grid: OpeningGrid, change: Change): Generator<OpeningScenario> {
  for (const answerMs of grid.answersMs) {
    for (const first of grid.handshakesMs) {
      for (const second of grid.handshakesMs) {
        for (const fromMs of grid.changeTimesMs) {
          yield { answerMs, handshakeMs: [first, second, THIRD_HANDSHAKE_MS], ...change(fromMs) };
        }
      }
    }
  }
}

/**
 * Plays scenarios one after the other. The event loop turns after each play, because the abort signals of its daemons
 * are freed only between turns.
 */
export async function* playAll(
  scenarios: Iterable<OpeningScenario>,
): AsyncGenerator<readonly [OpeningScenario, OpeningOutcome]> {
  for (const scenario of scenarios) {
    yield [scenario, OpeningModel.play(scenario)];
    await nextTurn();
  }
}

/** Plays scenarios and returns those in which packets of an open flow reached another back end. */
export async function misledScenarios(scenarios: Iterable<OpeningScenario>): Promise<OpeningScenario[]> {
  const misled: OpeningScenario[] = [];
  for await (const [scenario, { misdelivered }] of playAll(scenarios)) {
    if (misdelivered > 0) misled.push(scenario);
  }
  return misled;
}
