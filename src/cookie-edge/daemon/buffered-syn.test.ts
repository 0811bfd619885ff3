import test from 'ava';
import { mayDeliverBufferedSyn } from './buffered-packets.js';

/** Whether a SYN is delivered that arrived when the socket was bound, was read at once, and is now `ageMs` old. */
const isDeliveredAfter = (retransmissions: number, ageMs: number): boolean =>
  mayDeliverBufferedSyn({ retransmissions, boundForMs: ageMs, readAgoMs: ageMs });

/** Callers send a SYN at 0 ms, retransmit it at 200 and 600 ms, and give up at 1,400 ms. */
const CASES = [
  { retransmissions: 0, deliveredMs: 140, droppedMs: 160 },
  { retransmissions: 1, deliveredMs: 340, droppedMs: 360 },
  { retransmissions: 2, deliveredMs: 740, droppedMs: 760 },
];

for (const { retransmissions, deliveredMs, droppedMs } of CASES) {
  test(`a SYN with ${retransmissions} retransmissions is delivered until shortly before its caller sends the next one`, (t) => {
    t.true(isDeliveredAfter(retransmissions, deliveredMs));
    t.false(isDeliveredAfter(retransmissions, droppedMs));
  });
}

test('a SYN with an unknown retransmission count gets the limit of a first SYN', (t) => {
  for (const retransmissions of [3, 7, 0xffff_ffff]) {
    t.true(isDeliveredAfter(retransmissions, 10));
    t.false(isDeliveredAfter(retransmissions, 160));
  }
});

test('the limit after reading leaves time for a wait in the socket', (t) => {
  t.true(mayDeliverBufferedSyn({ retransmissions: 0, boundForMs: 5_000, readAgoMs: 40 }));
  t.false(mayDeliverBufferedSyn({ retransmissions: 0, boundForMs: 5_000, readAgoMs: 60 }));
  t.true(mayDeliverBufferedSyn({ retransmissions: 1, boundForMs: 5_000, readAgoMs: 240 }));
  t.false(mayDeliverBufferedSyn({ retransmissions: 1, boundForMs: 5_000, readAgoMs: 260 }));
});

/**
 * After the loss of all daemons, a SYN and its retransmissions can reach different daemons, each of which binds its
 * socket and flushes its buffer at any time. No flow may be opened twice: a daemon may deliver a buffered SYN only if
 * the caller gets the answer before it sends the next retransmission.
 */
test('a buffered SYN and its retransmission never open a flow twice, whichever daemons receive them', (t) => {
  const transmissionsMs = [0, 200, 600];
  const answerDelayMs = 40;
  for (let flushAtMs = 0; flushAtMs <= 1_400; flushAtMs += 10) {
    for (let boundForMs = 10; boundForMs <= 800; boundForMs += 30) {
      const boundAtMs = flushAtMs - boundForMs;
      const delivered = transmissionsMs.filter((atMs, retransmissions) => {
        if (atMs < boundAtMs || atMs > flushAtMs) return false;
        return mayDeliverBufferedSyn({ retransmissions, boundForMs, readAgoMs: flushAtMs - atMs });
      });
      const last = delivered.at(-1);
      if (last === undefined) continue;
      const next = transmissionsMs.find((atMs) => atMs > last);
      const isAnsweredInTime = next === undefined || flushAtMs + answerDelayMs <= next;
      t.true(
        isAnsweredInTime,
        `flushed at ${flushAtMs}, bound for ${boundForMs}: transmission at ${last} delivered`,
      );
      t.is(delivered.length, 1);
    }
  }
});
