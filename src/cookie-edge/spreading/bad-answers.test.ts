/** How fast bad answers reach the fleet, and how much traffic they cause at most. */
import test from 'ava';
import { BadAnswerOutbox } from './bad-answer-outbox.js';
import {
  MAX_DATAGRAM_BYTES,
  BAD_ANSWER_BATCH_MS,
  BAD_ANSWERS_PER_MESSAGE,
  BAD_ANSWER_GOSSIP_MS,
} from './constants.js';
import { encodePeerMessage, decodePeerMessage } from './message-codec.js';
import { startSettledCluster, type SpreadingCluster } from './spreading-test-support.js';
import type { PeerMessage } from './types.js';

/** Time in ms in which a report must reach the fleet. */
const SPREAD_MS = 1_000;

function reportBadAnswer(
  cluster: SpreadingCluster,
  daemon: number,
  backendId: string,
  observer = daemon,
): void {
  cluster.daemons[daemon]!.gossipNode.gossipBadAnswer({ backendId, observer, atMs: cluster.clock.now() });
}

function shareOfReceivers(cluster: SpreadingCluster, key: string): number {
  const receivers = cluster.daemons.filter(({ badAnswerArrivals }) => badAnswerArrivals.has(key)).length;
  return receivers / (cluster.daemons.length - 1);
}

for (const size of [7, 30, 146]) {
  test(`a bad answer reaches nearly all of ${size} daemons within a second`, async (t) => {
    const cluster = await startSettledCluster(size);
    reportBadAnswer(cluster, 0, 'b1');
    await cluster.clock.advanceAsync(SPREAD_MS, 10);
    t.true(shareOfReceivers(cluster, 'b1 0') >= 0.95, `${shareOfReceivers(cluster, 'b1 0')}`);
  });
}

test('a bad answer reaches the fleet although its observer is killed right after the first push', async (t) => {
  const cluster = await startSettledCluster(30);
  reportBadAnswer(cluster, 3, 'b1');
  await cluster.clock.advanceAsync(BAD_ANSWER_BATCH_MS + 20, 10);
  cluster.daemons[3]!.kill(cluster.network);
  await cluster.clock.advanceAsync(SPREAD_MS, 10);
  t.true(shareOfReceivers(cluster, 'b1 3') >= 0.9, `${shareOfReceivers(cluster, 'b1 3')}`);
});

test('the bytes that a daemon sends for bad answers are bounded at any rate of reports', async (t) => {
  const cluster = await startSettledCluster(30);
  const seconds = 4;
  const initialBytes = cluster.daemons[5]!.gossipNode.statistics.bytesSent;
  await cluster.clock.advanceAsync(seconds * 1_000, 10);
  const bytesBefore = cluster.daemons[5]!.gossipNode.statistics.bytesSent;
  for (let step = 0; step < seconds * 10; step += 1) {
    for (let index = 0; index < 20; index += 1)
      reportBadAnswer(cluster, (step + index) % 30, `b${index}`, step * 100 + index);
    await cluster.clock.advanceAsync(100, 10);
  }
  const bytesAfter = cluster.daemons[5]!.gossipNode.statistics.bytesSent;
  const bytesPerSecond = (bytesAfter - bytesBefore - (bytesBefore - initialBytes)) / seconds;
  t.log({ bytesPerSecond });
  t.true(bytesPerSecond <= 8_000, `${bytesPerSecond} bytes a second above the usual`);
});

test('the outbox sends the newest reports first, each in two pushes, and discards expired ones', (t) => {
  const outbox = new BadAnswerOutbox();
  for (let index = 0; index < BAD_ANSWERS_PER_MESSAGE + 4; index += 1) {
    outbox.add({ backendId: `b${index}`, observer: 1, atMs: index });
  }
  const first = outbox.dequeueForPush(100).map(({ backendId }) => backendId);
  t.is(first.length, BAD_ANSWERS_PER_MESSAGE);
  t.is(first[0], `b${BAD_ANSWERS_PER_MESSAGE + 3}`);
  t.deepEqual(
    outbox.dequeueForPush(101).map(({ backendId }) => backendId),
    first,
  );
  t.is(outbox.dequeueForPush(102).length, 4);
  t.false(outbox.isEmpty);
  t.deepEqual(outbox.dequeueForPush(100 + BAD_ANSWER_GOSSIP_MS), []);
  t.true(outbox.isEmpty);
});

test('a message of bad answers is small and preserves their ages', async (t) => {
  const cluster = await startSettledCluster(7);
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

test('a message without bad answers and one with an unknown field are decoded', async (t) => {
  const cluster = await startSettledCluster(7);
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
  const withoutField = encodePeerMessage(message, nowMs);
  t.deepEqual(decodePeerMessage(withoutField, nowMs)?.badAnswers, [], 'a message without the field');
  const unknownField = Uint8Array.of(0xfa, 0x06, 0x02, 0x08, 0x01);
  const decoded = decodePeerMessage(Buffer.concat([withoutField, unknownField]), nowMs);
  t.is(decoded?.senderId, 'a', 'a message with the unknown field 111');
});
