import test from 'ava';
import fc from 'fast-check';
import { SHARD_COUNT, SHARD_SHIFT } from './constants.js';
import { MalformedRecordError } from './errors.js';
import { packBatch, packPart, unpackBatch, unpackPart } from './record-codec.js';
import { DigestedShardSet, fromBitmap, packShards, toBitmap, unpackShards } from './shard-set.js';

const SEED = 20262;
const word = fc.integer({ min: 0, max: 0xffff_ffff });
const shardNumber = fc.integer({ min: 0, max: SHARD_COUNT - 1 });

test('records of a shard survive packing in 8 bytes each', (t) => {
  const record = fc.record({ rest: fc.integer({ min: 0, max: 0xf_ffff }), low: word, backendKey: word });
  const property = fc.property(shardNumber, fc.array(record, { maxLength: 120 }), (shard, drawn) => {
    const records = drawn.map(({ rest, low, backendKey }) => {
      const high = ((shard << SHARD_SHIFT) | rest) >>> 0;
      return { high, low, backendKey };
    });
    const packed = packPart(records);
    t.is(packed.records.length, records.length * 8);
    t.deepEqual(unpackPart(shard, packed), records);
  });
  fc.assert(property, { seed: SEED, numRuns: 100 });
});

test('batched records survive packing', (t) => {
  const record = fc.record({
    high: word,
    low: word,
    backendKey: word,
    operation: fc.integer({ min: 0, max: 255 }),
  });
  const property = fc.property(fc.array(record, { maxLength: 80 }), (records) => {
    t.deepEqual(unpackBatch(packBatch(records)), records);
  });
  fc.assert(property, { seed: SEED, numRuns: 100 });
});

test('malformed records are errors of their kind', (t) => {
  const cases: [name: string, decode: () => unknown][] = [
    ['a cut part', () => unpackPart(1, { backendKeys: [1], records: new Uint8Array(7) })],
    ['a part without its key', () => unpackPart(1, { backendKeys: [], records: new Uint8Array(8) })],
    ['a cut batch', () => unpackBatch({ backendKeys: [1], records: new Uint8Array(13) })],
    ['a batch without its key', () => unpackBatch({ backendKeys: [], records: new Uint8Array(12) })],
    ['a short bitmap', () => fromBitmap(new Uint8Array(3))],
    ['half a shard number', () => unpackShards(new Uint8Array(3))],
    ['a shard that does not exist', () => unpackShards(Uint8Array.of(0xff, 0xff))],
  ];
  for (const [name, decode] of cases) t.throws(decode, { instanceOf: MalformedRecordError }, name);
});

test('sets of shards survive both encodings, and equal sets have equal digests', (t) => {
  const property = fc.property(fc.uniqueArray(shardNumber, { maxLength: 60 }), (shards) => {
    t.deepEqual(
      [...fromBitmap(toBitmap(shards))],
      [...shards].sort((left, right) => left - right),
    );
    t.deepEqual(unpackShards(packShards(shards)), shards);
    const forwards = new DigestedShardSet();
    const backwards = new DigestedShardSet();
    for (const shard of shards) forwards.add(shard);
    for (const shard of [...shards].reverse()) backwards.add(shard);
    t.is(forwards.digest, backwards.digest);
    const [first] = shards;
    if (first === undefined) return;
    backwards.delete(first);
    t.not(forwards.digest, backwards.digest);
  });
  fc.assert(property, { seed: SEED, numRuns: 60 });
});
