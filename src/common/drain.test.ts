/** When a stopping daemon has been quiet for long enough. */
import test from 'ava';
import { VirtualClock } from './clock.js';
import { judgeDrain, waitUntilQuiet, type DrainOutcome } from './drain.js';

const TIMES = { quietMs: 400, maxMs: 1_700 };

const CASES: readonly (readonly [sincePacketMs: number, sinceStartMs: number, outcome: DrainOutcome])[] = [
  [399, 399, 'wait'],
  [400, 400, 'quiet'],
  [0, 1_699, 'wait'],
  [0, 1_700, 'timed-out'],
  [400, 1_700, 'quiet'],
];

for (const [sincePacketMs, sinceStartMs, outcome] of CASES) {
  test(`${sincePacketMs} ms after a packet, ${sinceStartMs} ms after the start: ${outcome}`, (t) => {
    t.is(judgeDrain(sincePacketMs, sinceStartMs, TIMES), outcome);
  });
}

test('a wait without time ends at once and counts as not quiet', async (t) => {
  const clock = new VirtualClock();
  t.false(await waitUntilQuiet({ clock, packetsReceived: () => 0, quietMs: 400, maxMs: 0 }));
});
