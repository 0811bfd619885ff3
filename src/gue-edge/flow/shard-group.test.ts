import test from 'ava';
import fc from 'fast-check';
import { SHARD_COUNT, SHARD_SHIFT } from './constants.js';
import { MalformedRecordError } from './errors.js';
import { sailquay } from './pb/flow.js';
import { unpackPart } from './record-codec.js';
import {
  expandAcknowledgements,
  expandGroup,
  groupAcknowledgements,
  ShardGroupBuilder,
  type GroupedShard,
} from './shard-group.js';

const { HandoverMessage, ShardPurpose, ShardStatus } = sailquay.flow;
const HEADER = { epoch: 7, purpose: ShardPurpose.REPLICA, baseVersion: 3, oldestBaseVersion: 2 };
const UINT32 = { max: 0xffff_ffff };

const GROUPED = fc
  .record({
    number: fc.nat({ max: SHARD_COUNT - 1 }),
    records: fc.array(fc.record({ low: fc.nat(UINT32), backendKey: fc.nat({ max: 9 }) }), { maxLength: 4 }),
  })
  .map(({ number, records }) => ({
    shard: number,
    records: records.map((record) => ({ ...record, high: (number << SHARD_SHIFT) >>> 0 })),
  }));

function travel(group: sailquay.flow.ShardGroup.$Properties): sailquay.flow.ShardGroup.$Properties {
  const payload = HandoverMessage.encode({ parts: { groups: [group] } }).finish();
  return HandoverMessage.decode(payload).parts!.groups![0]!;
}

function build(shards: readonly GroupedShard[]): sailquay.flow.ShardGroup.$Properties {
  const builder = new ShardGroupBuilder(HEADER);
  for (const shard of shards) builder.add(shard);
  return builder.build();
}

test('a group of shards stands for the parts it was built from, also across the end of the transfer ids', (t) => {
  fc.assert(
    fc.property(fc.array(GROUPED, { minLength: 1, maxLength: 30 }), fc.nat(UINT32), (shards, first) => {
      const sent = shards.map((shard, index) => ({ ...shard, transferId: (first + index * 3) >>> 0 }));
      const received = expandGroup(travel(build(sent))).map((part) => ({
        shard: part.shard,
        transferId: part.transferId,
        records: unpackPart(part.shard!, {
          backendKeys: part.backendKeys ?? [],
          records: part.records ?? new Uint8Array(),
        }),
        header: [part.epoch, part.purpose, part.baseVersion, part.oldestBaseVersion, part.partCount],
      }));
      t.deepEqual(
        received,
        sent.map((shard) => ({ ...shard, header: [7, ShardPurpose.REPLICA, 3, 2, 1] })),
      );
    }),
    { seed: 5, numRuns: 60 },
  );
});

test('an empty shard takes 4 bytes of its group', (t) => {
  const shards = (count: number): GroupedShard[] =>
    Array.from({ length: count }, (_unused, index) => ({ shard: index, transferId: 9 + index, records: [] }));
  const bytes = (count: number): number =>
    HandoverMessage.encode({ parts: { groups: [build(shards(count))] } }).finish().length;
  t.is(bytes(110) - bytes(100), 40);
});

test('a group has room for what its size bound and its range of transfer ids allow', (t) => {
  const builder = new ShardGroupBuilder(HEADER);
  const shard = { shard: 1, transferId: 5, records: [{ high: 1 << SHARD_SHIFT, low: 1, backendKey: 1 }] };
  builder.add(shard);
  t.true(builder.hasRoom({ ...shard, transferId: 6 }, builder.bytes + 18));
  t.false(builder.hasRoom({ ...shard, transferId: 6 }, builder.bytes + 17));
  t.false(builder.hasRoom({ ...shard, transferId: 5 + 0x1_0000 }, 1_000));
  t.false(builder.hasRoom({ ...shard, transferId: 4 }, 1_000));
});

test('groups whose lists differ in length are malformed', (t) => {
  const group = build([{ shard: 1, transferId: 5, records: [] }]);
  const cut = [
    { ...group, transferOffsets: new Uint8Array() },
    { ...group, shards: Uint8Array.of(1) },
    { ...group, records: new Uint8Array(8) },
    { ...group, shards: Uint8Array.of(0xff, 0xff) },
  ];
  for (const malformed of cut) t.throws(() => expandGroup(malformed), { instanceOf: MalformedRecordError });
});

test('grouped acknowledgements keep each status', (t) => {
  const statuses = fc.constantFrom(ShardStatus.RECEIVED, ShardStatus.DONE, ShardStatus.REFUSED);
  const acknowledgement = fc.record({ transferId: fc.nat(UINT32), status: statuses });
  fc.assert(
    fc.property(fc.array(acknowledgement, { maxLength: 40 }), (sent) => {
      const payload = HandoverMessage.encode({ acks: { groups: groupAcknowledgements(sent) } }).finish();
      const groups = HandoverMessage.decode(payload).acks?.groups ?? [];
      const received = groups.flatMap((group) => expandAcknowledgements(group));
      const order = (list: readonly { transferId?: number | null; status?: number | null }[]): string[] =>
        list.map(({ transferId, status }) => `${transferId} ${status}`).sort();
      t.deepEqual(order(received), order(sent));
    }),
    { seed: 6, numRuns: 60 },
  );
});
