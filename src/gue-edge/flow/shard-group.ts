/**
 * Many whole shards in one message: what they have in common is sent once, then 4 bytes for a shard and 8 for a record,
 * 2 more for a shard when any of the group has records.
 */
import { MalformedRecordError } from './errors.js';
import { sailquay } from './pb/flow.js';
import { packPart, unpackPart, type ShardRecord } from './record-codec.js';
import { packNumbers, unpackNumbers, unpackShards, packShards } from './shard-set.js';

const { ShardPurpose, ShardStatus } = sailquay.flow;

type Part = sailquay.flow.ShardPart.$Properties;
type Acknowledgement = sailquay.flow.ShardAck.$Properties;

const MAX_OFFSET = 0xffff;
/** Bytes of the fields that a group has once. */
const GROUP_OVERHEAD_BYTES = 80;
const SHARD_BYTES = 6;
const RECORD_BYTES = 8;
const KEY_BYTES = 4;
/** Transfer ids in one group of acknowledgements. */
const MAX_ACKNOWLEDGED = 500;

/** One shard of a group. */
export interface GroupedShard {
  readonly shard: number;
  readonly transferId: number;
  readonly records: readonly ShardRecord[];
}

/** A group that is being filled. */
export class ShardGroupBuilder {
  private readonly shards: GroupedShard[] = [];
  private readonly keys = new Set<number>();
  private recordCount = 0;

  constructor(private readonly header: Part) {}

  /** Upper bound of the group's size on the wire. */
  get bytes(): number {
    const shardBytes = this.shards.length * SHARD_BYTES;
    return GROUP_OVERHEAD_BYTES + shardBytes + this.recordCount * RECORD_BYTES + this.keys.size * KEY_BYTES;
  }

  get isEmpty(): boolean {
    return this.shards.length === 0;
  }

  /** True when the shard can be added without the group growing beyond `maxBytes`. */
  hasRoom(shard: GroupedShard, maxBytes: number): boolean {
    const [first] = this.shards;
    if (first && offsetOf(shard.transferId, first.transferId) > MAX_OFFSET) return false;
    const bytes = SHARD_BYTES + shard.records.length * (RECORD_BYTES + KEY_BYTES);
    return this.bytes + bytes <= maxBytes;
  }

  add(shard: GroupedShard): void {
    this.shards.push(shard);
    this.recordCount += shard.records.length;
    for (const record of shard.records) this.keys.add(record.backendKey);
  }

  build(): sailquay.flow.ShardGroup.$Properties {
    const firstTransferId = this.shards[0]!.transferId;
    const counts = this.shards.map((shard) => shard.records.length);
    return {
      header: this.header,
      shards: packShards(this.shards.map((shard) => shard.shard)),
      firstTransferId,
      transferOffsets: packNumbers(this.shards.map((shard) => offsetOf(shard.transferId, firstTransferId))),
      recordCounts: this.recordCount > 0 ? packNumbers(counts) : undefined,
      ...packPart(this.shards.flatMap((shard) => shard.records)),
    };
  }
}

/** Reads a group as the parts that it stands for. Throws `MalformedRecordError`. */
export function expandGroup(group: sailquay.flow.ShardGroup.$Properties): Part[] {
  const shards = unpackShards(group.shards ?? new Uint8Array());
  const offsets = unpackNumbers(group.transferOffsets ?? new Uint8Array());
  const counts = unpackNumbers(group.recordCounts ?? new Uint8Array());
  const records = group.records ?? new Uint8Array();
  const backendKeys = [...(group.backendKeys ?? [])];
  let position = 0;
  const parts = shards.map((shard, index) => {
    const start = position;
    position += (counts[index] ?? 0) * RECORD_BYTES;
    const own = unpackPart(shard, { backendKeys, records: records.subarray(start, position) });
    return {
      ...group.header,
      purpose: group.header?.purpose ?? ShardPurpose.REPLICA,
      shard,
      transferId: ((group.firstTransferId ?? 0) + (offsets[index] ?? 0)) >>> 0,
      part: 0,
      partCount: 1,
      ...packPart(own),
    };
  });
  if (offsets.length !== shards.length || position !== records.length) {
    throw new MalformedRecordError('a group of shards has the wrong length');
  }
  return parts;
}

/** Packs acknowledgements of whole shards. */
export function groupAcknowledgements(
  acknowledgements: readonly Acknowledgement[],
): sailquay.flow.ShardAckGroup.$Properties[] {
  const groups: { status: number; firstTransferId: number; offsets: number[] }[] = [];
  for (const acknowledgement of acknowledgements) {
    const status = acknowledgement.status ?? ShardStatus.RECEIVED;
    const transferId = acknowledgement.transferId ?? 0;
    const group = groups.findLast((candidate) => candidate.status === status);
    const offset = group ? offsetOf(transferId, group.firstTransferId) : 0;
    if (group && offset <= MAX_OFFSET && group.offsets.length < MAX_ACKNOWLEDGED) group.offsets.push(offset);
    else groups.push({ status, firstTransferId: transferId, offsets: [0] });
  }
  return groups.map(({ status, firstTransferId, offsets }) => ({
    status,
    firstTransferId,
    transferOffsets: packNumbers(offsets),
  }));
}

/** Reads a group of acknowledgements. Throws `MalformedRecordError`. */
export function expandAcknowledgements(group: sailquay.flow.ShardAckGroup.$Properties): Acknowledgement[] {
  return unpackNumbers(group.transferOffsets ?? new Uint8Array()).map((offset) => ({
    transferId: ((group.firstTransferId ?? 0) + offset) >>> 0,
    part: 0,
    status: group.status ?? ShardStatus.RECEIVED,
  }));
}

function offsetOf(transferId: number, firstTransferId: number): number {
  return (transferId - firstTransferId) >>> 0;
}
