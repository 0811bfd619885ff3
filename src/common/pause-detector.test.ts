import test from 'ava';
import { PauseDetector, READS_A_TURN } from './pause-detector.js';

const TICK_MS = 150;

/** A detector whose turns of the event loop are run by hand. */
function createDetector() {
  const waiting: (() => void)[] = [];
  const detector = new PauseDetector(0, TICK_MS, (callback) => void waiting.push(callback));
  /** One turn: `reads` datagrams are read, then what waited for its end runs. */
  const turn = (reads: number): void => {
    for (let index = 0; index < reads; index += 1) detector.recordRead('edge');
    for (const callback of waiting.splice(0)) callback();
  };
  return { detector, turn };
}

test('ticks in time are no pause', (t) => {
  const { detector } = createDetector();
  t.is(detector.recordTick(TICK_MS), 0);
  t.false(detector.mayHaveWaited(2 * TICK_MS));
});

test('what is read before the late tick may be old', (t) => {
  const { detector } = createDetector();
  t.true(detector.mayHaveWaited(4_000));
});

test('what waited is old until a turn has read all of it, however long that takes', (t) => {
  const { detector, turn } = createDetector();
  t.is(detector.recordTick(4_000), 4_000 - TICK_MS);
  for (let read = 0; read < 200; read += 1) {
    const nowMs = 4_000 + read;
    t.true(detector.mayHaveWaited(nowMs), `${read} turns`);
    if (read % 100 === 99) detector.recordTick(nowMs);
    turn(READS_A_TURN);
  }
  t.true(detector.mayHaveWaited(4_200));
  turn(READS_A_TURN - 1);
  t.false(detector.mayHaveWaited(4_200));
});

test('each socket must have been read empty', (t) => {
  const { detector, turn } = createDetector();
  detector.recordTick(4_000);
  for (let index = 0; index < READS_A_TURN; index += 1) detector.recordRead('peers');
  turn(1);
  t.true(detector.mayHaveWaited(4_001));
  turn(1);
  t.false(detector.mayHaveWaited(4_002));
});
