/** How a shard is cut into parts that fit a datagram, and how parts and groups share datagrams. */
import { MAX_PART_RECORDS, TRANSFER_DATAGRAM_BYTES } from './constants.js';
import type { sailquay } from './pb/flow.js';
import { packPart, type ShardRecord } from './record-codec.js';
import { ShardGroupBuilder, type GroupedShard } from './shard-group.js';
import type { OutgoingShard, ShardSnapshot } from './outgoing-shard.js';

type Part = sailquay.flow.ShardPart.$Properties;

/** Sends a datagram; false when the byte budget is used up. */
type SendParts = (message: sailquay.flow.ShardParts.$Properties) => boolean;

/** Collects parts for one datagram. */
export class PartBatch {
  private parts: Part[] = [];
  private bytes = 0;

  constructor(private readonly send: SendParts) {}

  /** False when the byte budget is used up. */
  add(part: Part): boolean {
    const bytes = PART_OVERHEAD_BYTES + part.records!.length + part.backendKeys!.length * 4;
    if (this.bytes + bytes > TRANSFER_DATAGRAM_BYTES && !this.flush()) return false;
    this.parts.push(part);
    this.bytes += bytes;
    return true;
  }

  flush(): boolean {
    if (this.parts.length === 0) return true;
    const sent = this.send({ parts: this.parts });
    this.parts = [];
    this.bytes = 0;
    return sent;
  }
}

/** Upper bound of the fields of a part without records and keys. */
const PART_OVERHEAD_BYTES = 64;
/** Different back ends in one part, so that the keys leave room for records. */
const MAX_PART_KEYS = 40;

/** Collects whole shards with equal headers; each group is a datagram of its own. */
export class GroupBatch {
  private readonly groups = new Map<string, OpenGroup>();

  constructor(private readonly send: SendParts) {}

  /** Adds a shard; `sent` is called once its datagram has left. False when the byte budget is used up. */
  add(header: Part, shard: GroupedShard, sent: () => void): boolean {
    const key = JSON.stringify(header);
    let group = this.groups.get(key);
    if (group && !group.builder.hasRoom(shard, TRANSFER_DATAGRAM_BYTES)) {
      if (!this.sendGroup(key, group)) return false;
      group = undefined;
    }
    if (!group) {
      group = { builder: new ShardGroupBuilder(header), sent: [] };
      this.groups.set(key, group);
    }
    group.builder.add(shard);
    group.sent.push(sent);
    return true;
  }

  flush(): boolean {
    return [...this.groups].every(([key, group]) => this.sendGroup(key, group));
  }

  private sendGroup(key: string, group: OpenGroup): boolean {
    this.groups.delete(key);
    if (!this.send({ groups: [group.builder.build()] })) return false;
    for (const sent of group.sent) sent();
    return true;
  }
}

interface OpenGroup {
  readonly builder: ShardGroupBuilder;
  readonly sent: (() => void)[];
}

/** What the parts of a shard, and shards sent alike, have in common. */
export function headerOf(outgoing: OutgoingShard, snapshot: ShardSnapshot): Part {
  const { epoch, baseVersion, oldestBaseVersion, complete, trusted, learningMs } = snapshot;
  const { purpose } = outgoing;
  const generation = outgoing.generation?.();
  const learningSeconds = Math.floor(learningMs / MS_PER_SECOND);
  return {
    epoch,
    purpose,
    baseVersion,
    oldestBaseVersion,
    complete,
    trusted,
    // Whole seconds, so that shards of one age share a group; a keeper may well learn a little longer.
    learningMs: learningSeconds * MS_PER_SECOND,
    generation,
  };
}

/** The parts of a shard, without what `headerOf` gives; at least one. */
export function cutParts(
  header: Part,
  shard: number,
  transferId: number,
  records: readonly ShardRecord[],
): Part[] {
  const groups = groupRecords(records);
  return groups.map((group, part) => ({
    ...header,
    shard,
    transferId,
    part,
    partCount: groups.length,
    ...packPart(group),
  }));
}

function groupRecords(records: readonly ShardRecord[]): ShardRecord[][] {
  const groups: ShardRecord[][] = [[]];
  let keys = new Set<number>();
  for (const record of records) {
    if (groups.at(-1)!.length >= MAX_PART_RECORDS || keys.size >= MAX_PART_KEYS) {
      groups.push([]);
      keys = new Set();
    }
    groups.at(-1)!.push(record);
    keys.add(record.backendKey);
  }
  return groups;
}

const MS_PER_SECOND = 1_000;
