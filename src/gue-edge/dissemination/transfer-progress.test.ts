/** Which chunk of a transfer can be used, and how fast a transfer goes on. */
import test from 'ava';
import { MAX_TRANSFER_BYTES, TRANSFER_BUDGET_SHARE, TRANSFER_MIN_BYTES_PER_SECOND } from './constants.js';
import { NO_TREE, type TreeStamp } from './stamp.js';
import {
  advance,
  judgeChunk,
  transferPauseMs,
  type Chunk,
  type ChunkVerdict,
  type Progress,
} from './transfer-progress.js';

function stamp(version: number): TreeStamp {
  return { version, readerToken: 1, digest: 'a', acceptedAtWallMs: 0, nodeCount: 0 };
}

const HAVE = stamp(3);
const FIRST: Chunk = {
  base: HAVE,
  target: stamp(5),
  offset: 0,
  totalBytes: 4,
  data: Uint8Array.of(1, 2),
};
const SECOND: Chunk = { ...FIRST, offset: 2 };

function afterFirst(): Progress {
  return { base: HAVE, target: stamp(5), parts: [FIRST.data], received: 2 };
}

const CHUNKS: readonly (readonly [string, Progress | undefined, Chunk, ChunkVerdict])[] = [
  ['first chunk of a delta', undefined, FIRST, 'starts'],
  ['first chunk of a snapshot', undefined, { ...FIRST, base: NO_TREE }, 'starts'],
  ['next chunk', afterFirst(), SECOND, 'continues'],
  ['the peer has gone over to a newer tree', afterFirst(), { ...FIRST, target: stamp(6) }, 'starts'],
  ['the peer sends a snapshot now', afterFirst(), { ...FIRST, base: NO_TREE }, 'starts'],
  ['a later chunk of a newer tree', afterFirst(), { ...SECOND, target: stamp(6) }, 'wrong-offset'],
  ['a chunk again', afterFirst(), FIRST, 'wrong-offset'],
  ['a later chunk first', undefined, SECOND, 'wrong-offset'],
  ['changes to another tree', undefined, { ...FIRST, base: stamp(2) }, 'wrong-base'],
  ['without bytes', undefined, { ...FIRST, data: new Uint8Array() }, 'empty'],
  ['the largest', undefined, { ...FIRST, totalBytes: MAX_TRANSFER_BYTES }, 'starts'],
  ['too large', undefined, { ...FIRST, totalBytes: MAX_TRANSFER_BYTES + 1 }, 'too-large'],
];

for (const [name, progress, chunk, verdict] of CHUNKS) {
  test(`chunk: ${name}`, (t) => {
    t.is(judgeChunk(progress, chunk, HAVE), verdict);
    const received = { starts: 2, continues: 4 }[verdict as string];
    t.is(advance(progress, chunk, HAVE)?.received, received);
  });
}

test('a transfer takes its share of the free bytes, and never stops', (t) => {
  t.is(transferPauseMs(1_000, 20_000), 1_000_000 / (20_000 * TRANSFER_BUDGET_SHARE));
  t.is(transferPauseMs(TRANSFER_MIN_BYTES_PER_SECOND, 0), 1_000);
});
