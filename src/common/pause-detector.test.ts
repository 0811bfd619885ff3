import test from 'ava';
import { PAUSE_TICK_MS, PauseDetector, READS_A_TURN } from './pause-detector.js';

/** Time in ms after which callers retransmit a SYN. */
const RETRANSMISSION_MS = 200;

/** A detector whose turns of the event loop are run by hand. */
function createDetector() {
  const waiting: (() => void)[] = [];
  const detector = new PauseDetector(0, (callback) => void waiting.push(callback));
  /** One turn: `reads` datagrams are read, then what waited for its end runs. */
  const turn = (reads: number): void => {
    for (let index = 0; index < reads; index += 1) detector.recordRead('edge');
    for (const callback of waiting.splice(0)) callback();
  };
  return { detector, turn };
}

test('ticks in time are no pause', (t) => {
  const { detector } = createDetector();
  t.is(detector.recordTick(PAUSE_TICK_MS), 0);
  t.false(detector.mayHaveWaited(2 * PAUSE_TICK_MS));
});

test('a SYN that waited through a pause of 299 ms right after a tick may have been retransmitted', (t) => {
  const { detector } = createDetector();
  detector.recordTick(150);
  t.true(detector.mayHaveWaited(449));
});

test('a pause of any length right after a tick is recognized before a SYN is retransmitted', (t) => {
  for (let pauseMs = 0; pauseMs < 2 * RETRANSMISSION_MS; pauseMs += 1) {
    const { detector } = createDetector();
    detector.recordTick(PAUSE_TICK_MS);
    const arrivedAtMs = PAUSE_TICK_MS + 1;
    const readAtMs = arrivedAtMs + pauseMs;
    const waitedMs = readAtMs - arrivedAtMs;
    if (waitedMs >= RETRANSMISSION_MS - PAUSE_TICK_MS)
      t.true(detector.mayHaveWaited(readAtMs), `${pauseMs} ms`);
  }
});

test('what is read before the late tick may be old', (t) => {
  const { detector } = createDetector();
  t.true(detector.mayHaveWaited(4_000));
});

test('what waited is old until a turn has read all of it, however long that takes', (t) => {
  const { detector, turn } = createDetector();
  t.is(detector.recordTick(4_000), 4_000 - PAUSE_TICK_MS);
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
