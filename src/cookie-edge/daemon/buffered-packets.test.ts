import test from 'ava';
import { decideOnFlush, decideOnArrival } from './buffered-packets.js';
import { MAX_BUFFERED_PACKETS, MAX_BUFFERED_SYN_AFTER_READ_MS, MAX_BUFFERED_SYN_MS } from './constants.js';

const ARRIVALS = [
  { isBufferingOn: true, isAttached: true, bufferedCount: 0, outcome: 'hold' },
  { isBufferingOn: true, isAttached: true, bufferedCount: MAX_BUFFERED_PACKETS - 1, outcome: 'hold' },
  { isBufferingOn: true, isAttached: true, bufferedCount: MAX_BUFFERED_PACKETS, outcome: 'drop-buffer-full' },
  { isBufferingOn: false, isAttached: true, bufferedCount: 0, outcome: 'drop-holding-off' },
  { isBufferingOn: true, isAttached: false, bufferedCount: 0, outcome: 'drop-holding-off' },
  {
    isBufferingOn: false,
    isAttached: true,
    bufferedCount: MAX_BUFFERED_PACKETS,
    outcome: 'drop-holding-off',
  },
] as const;

for (const { outcome, ...state } of ARRIVALS) {
  test(`on arrival: ${JSON.stringify(state)} gives ${outcome}`, (t) => {
    t.is(decideOnArrival(state), outcome);
  });
}

const SYN_MS = MAX_BUFFERED_SYN_MS;
const READ_MS = MAX_BUFFERED_SYN_AFTER_READ_MS;
/** The gap after the first SYN is 200 ms, after the first retransmission 400 and after the second 800. */
const FLUSHES = [
  { retransmissions: undefined, boundForMs: 60_000, readAgoMs: 60_000, outcome: 'deliver' },
  { retransmissions: 0, boundForMs: SYN_MS, readAgoMs: SYN_MS, outcome: 'deliver' },
  { retransmissions: 0, boundForMs: SYN_MS + 1, readAgoMs: READ_MS, outcome: 'deliver' },
  { retransmissions: 0, boundForMs: SYN_MS + 1, readAgoMs: READ_MS + 1, outcome: 'drop-too-old' },
  { retransmissions: 1, boundForMs: SYN_MS + 200, readAgoMs: SYN_MS + 200, outcome: 'deliver' },
  { retransmissions: 1, boundForMs: SYN_MS + 201, readAgoMs: READ_MS + 201, outcome: 'drop-too-old' },
  { retransmissions: 2, boundForMs: SYN_MS + 600, readAgoMs: SYN_MS + 600, outcome: 'deliver' },
  { retransmissions: 2, boundForMs: SYN_MS + 601, readAgoMs: READ_MS + 601, outcome: 'drop-too-old' },
  { retransmissions: 3, boundForMs: SYN_MS + 1, readAgoMs: READ_MS + 1, outcome: 'drop-too-old' },
] as const;

for (const { outcome, ...packet } of FLUSHES) {
  test(`on flush: ${JSON.stringify(packet)} gives ${outcome}`, (t) => {
    t.is(decideOnFlush(packet), outcome);
  });
}
