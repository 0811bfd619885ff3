/** How bad answers reach the fleet, and what that costs at the most. */
import test from 'ava';
import { BadAnswerOutbox } from './bad-answer-outbox.js';
import {
  MAX_DATAGRAM_BYTES,
  BAD_ANSWER_GATHER_MS,
  BAD_ANSWERS_PER_MESSAGE,
  BAD_ANSWER_GOSSIP_MS,
} from './constants.js';
import { encodePeerMessage, decodePeerMessage } from './message-codec.js';
import { settled, type SpreadingCluster } from './spreading-test-support.js';
import type { PeerMessage } from './types.js';

/** Time for a report to cross a fleet. */
const SPREAD_MS = 1_000;

function tell(cluster: SpreadingCluster, daemon: number, backendId: string, observer = daemon): void {
  cluster.daemons[daemon]!.spreader.gossipBadAnswer({ backendId, observer, atMs: cluster.clock.now() });
}

function heardShare(cluster: SpreadingCluster, key: string): number {
  const heard = cluster.daemons.filter(({ badAnswers }) => badAnswers.has(key)).length;
  return heard / (cluster.daemons.length - 1);
}

for (const size of [7, 30, 146]) {
  test(`a bad answer reaches nearly all of ${size} daemons within a second`, async (t) => {
    const cluster = await settled(size);
    tell(cluster, 0, 'b1');
    await cluster.clock.advanceAsync(SPREAD_MS, 10);
    t.true(heardShare(cluster, 'b1 0') >= 0.95, `${heardShare(cluster, 'b1 0')}`);
  });
}

test('the teller may be killed right after it has told', async (t) => {
  const cluster = await settled(30);
  tell(cluster, 3, 'b1');
  await cluster.clock.advanceAsync(BAD_ANSWER_GATHER_MS + 20, 10);
  cluster.daemons[3]!.kill(cluster.network);
  await cluster.clock.advanceAsync(SPREAD_MS, 10);
  t.true(heardShare(cluster, 'b1 3') >= 0.9, `${heardShare(cluster, 'b1 3')}`);
});

test('however many bad answers there are, a daemon sends a bounded number of bytes for them', async (t) => {
  const cluster = await settled(30);
  const seconds = 4;
  const quiet = cluster.daemons[5]!.spreader.statistics.bytesSent;
  await cluster.clock.advanceAsync(seconds * 1_000, 10);
  const before = cluster.daemons[5]!.spreader.statistics.bytesSent;
  for (let step = 0; step < seconds * 10; step += 1) {
    for (let index = 0; index < 20; index += 1)
      tell(cluster, (step + index) % 30, `b${index}`, step * 100 + index);
    await cluster.clock.advanceAsync(100, 10);
  }
  const after = cluster.daemons[5]!.spreader.statistics.bytesSent;
  const bytesASecond = (after - before - (before - quiet)) / seconds;
  t.log({ bytesASecond });
  t.true(bytesASecond <= 8_000, `${bytesASecond} bytes a second above the usual`);
});

test('the newest go first, each in a few pushes, and old ones not at all', (t) => {
  const outbox = new BadAnswerOutbox();
  for (let index = 0; index < BAD_ANSWERS_PER_MESSAGE + 4; index += 1) {
    outbox.add({ backendId: `b${index}`, observer: 1, atMs: index });
  }
  const first = outbox.takeForPush(100).map(({ backendId }) => backendId);
  t.is(first.length, BAD_ANSWERS_PER_MESSAGE);
  t.is(first[0], `b${BAD_ANSWERS_PER_MESSAGE + 3}`);
  t.deepEqual(
    outbox.takeForPush(101).map(({ backendId }) => backendId),
    first,
  );
  t.is(outbox.takeForPush(102).length, 4);
  t.false(outbox.isEmpty);
  t.deepEqual(outbox.takeForPush(100 + BAD_ANSWER_GOSSIP_MS), []);
  t.true(outbox.isEmpty);
});

test('a message of bad answers is small, and its ages arrive', async (t) => {
  const cluster = await settled(7);
  const nowMs = cluster.clock.now();
  const badAnswers = Array.from({ length: BAD_ANSWERS_PER_MESSAGE }, (_unused, index) => ({
    backendId: `i-012345678${index}`,
    observer: 0xffff_ffff - index,
    atMs: nowMs - 100 * index,
  }));
  const message: PeerMessage = {
    type: 'news',
    senderId: 'a',
    senderZone: 'z',
    leaving: false,
    confirmations: {},
    readers: [],
    peers: [],
    updates: [],
    suspicions: [],
    loads: [],
    departedCount: 0,
    unsettled: false,
    tableRevision: -1,
    badAnswers,
  };
  const bytes = encodePeerMessage(message, nowMs);
  t.true(bytes.length < MAX_DATAGRAM_BYTES / 4, `${bytes.length} bytes`);
  const decoded = decodePeerMessage(bytes, nowMs)!.badAnswers;
  t.deepEqual(
    decoded.map(({ backendId, observer }) => ({ backendId, observer })),
    badAnswers.map(({ backendId, observer }) => ({ backendId, observer })),
  );
  t.true(decoded.every(({ atMs }, index) => Math.abs(atMs - badAnswers[index]!.atMs) <= 10));
});

test('an older daemon passes over bad answers, and a newer one over what it does not know', async (t) => {
  const cluster = await settled(7);
  const nowMs = cluster.clock.now();
  const message: PeerMessage = {
    type: 'news',
    senderId: 'a',
    senderZone: 'z',
    leaving: false,
    confirmations: {},
    readers: [],
    peers: [],
    updates: [],
    suspicions: [],
    loads: [],
    departedCount: 0,
    unsettled: false,
    tableRevision: -1,
    badAnswers: [],
  };
  const old = encodePeerMessage(message, nowMs);
  t.deepEqual(decodePeerMessage(old, nowMs)?.badAnswers, [], 'a message without the field');
  const unknownField = Uint8Array.of(0xfa, 0x06, 0x02, 0x08, 0x01);
  const newer = decodePeerMessage(Buffer.concat([old, unknownField]), nowMs);
  t.is(newer?.senderId, 'a', 'a message with field 111, which nobody knows yet');
});
