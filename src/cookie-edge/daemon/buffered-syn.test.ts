import test from 'ava';
import { mayDeliverBufferedSyn } from './buffered-packets.js';

/** A SYN in a socket that was bound so long ago, and that was read when it arrived. */
const isDeliveredAfter = (retransmissions: number, ageMs: number): boolean =>
  mayDeliverBufferedSyn({ retransmissions, boundForMs: ageMs, readAgoMs: ageMs });

/** Callers send a SYN at 0, its copies at 200 and 600 ms, and give the attempt up at 1,400 ms. */
const CASES = [
  { copy: 0, placedMs: 140, droppedMs: 160 },
  { copy: 1, placedMs: 340, droppedMs: 360 },
  { copy: 2, placedMs: 740, droppedMs: 760 },
];

for (const { copy, placedMs, droppedMs } of CASES) {
  test(`copy ${copy} of a SYN is placed until shortly before its caller sends another`, (t) => {
    t.true(isDeliveredAfter(copy, placedMs));
    t.false(isDeliveredAfter(copy, droppedMs));
  });
}

test('a copy of a number that callers do not send gets no longer than a first SYN', (t) => {
  for (const copy of [3, 7, 0xffff_ffff]) {
    t.true(isDeliveredAfter(copy, 10));
    t.false(isDeliveredAfter(copy, 160));
  }
});

test('what was read a moment ago may have waited in the socket before', (t) => {
  t.true(mayDeliverBufferedSyn({ retransmissions: 0, boundForMs: 5_000, readAgoMs: 40 }));
  t.false(mayDeliverBufferedSyn({ retransmissions: 0, boundForMs: 5_000, readAgoMs: 60 }));
  t.true(mayDeliverBufferedSyn({ retransmissions: 1, boundForMs: 5_000, readAgoMs: 240 }));
  t.false(mayDeliverBufferedSyn({ retransmissions: 1, boundForMs: 5_000, readAgoMs: 260 }));
});

/**
 * The seconds after a loss of all daemons: callers that began at any time meet daemons that bind and open late, each
 * copy another daemon. Whatever the times, no flow may be placed twice, since the first placement is answered before
 * the next copy is sent.
 */
test('no SYN and its copy are both placed, whichever daemons they meet', (t) => {
  const sentMs = [0, 200, 600];
  const answeredInMs = 40;
  for (let openAtMs = 0; openAtMs <= 1_400; openAtMs += 10) {
    for (let boundMs = 10; boundMs <= 800; boundMs += 30) {
      const boundAtMs = openAtMs - boundMs;
      const placed = sentMs.filter((atMs, retransmissions) => {
        if (atMs < boundAtMs || atMs > openAtMs) return false;
        return mayDeliverBufferedSyn({ retransmissions, boundForMs: boundMs, readAgoMs: openAtMs - atMs });
      });
      const last = placed.at(-1);
      if (last === undefined) continue;
      const next = sentMs.find((atMs) => atMs > last);
      const isAnsweredBefore = next === undefined || openAtMs + answeredInMs <= next;
      t.true(isAnsweredBefore, `opened at ${openAtMs}, bound for ${boundMs}: copy of ${last} placed`);
      t.is(placed.length, 1);
    }
  }
});
