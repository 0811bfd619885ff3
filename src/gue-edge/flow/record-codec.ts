/**
 * Packed flow records. All words are little-endian 32-bit.
 *
 * Part of a shard, 8 bytes a flow: lower fingerprint half; then the 20 bits of the upper half below the shard
 * number, shifted left by 12, with the position of the back end key in the part's list. Record batch, 12 bytes a
 * flow: upper half, lower half, then the operation in the top byte with the position of the key.
 */
import { SHARD_SHIFT } from './constants.js';
import { MalformedRecordError } from './errors.js';

const PART_RECORD_BYTES = 8;
const BATCH_RECORD_BYTES = 12;
const KEY_BITS = 12;
const KEY_MASK = (1 << KEY_BITS) - 1;
const HIGH_MASK = (1 << SHARD_SHIFT) - 1;
const BATCH_KEY_MASK = 0xffff;

/** One flow in a snapshot of a shard. */
export interface ShardRecord {
  readonly high: number;
  readonly low: number;
  readonly backendKey: number;
}

/** What a batched record asks of the backup. */
export const RecordOperation = {
  /** Store it unless the backup placed the flow itself. */
  PUT: 0,
  REMOVE: 1,
} as const;

/** One change of an exception. */
export interface BatchRecord extends ShardRecord {
  readonly operation: number;
}

/** Answer of the backup to one batched record. */
export const RecordStatus = {
  STORED: 0,
  /** The backup placed the flow itself; its back end key is in the acknowledgement. */
  OWN_RECORD: 1,
  /** The backup does not hold the shard for this keeper. */
  NOT_HELD: 2,
} as const;

/** Records as they travel. */
interface PackedRecords {
  readonly backendKeys: number[];
  readonly records: Uint8Array;
}

class KeyList {
  readonly keys: number[] = [];
  private readonly positions = new Map<number, number>();

  position(key: number): number {
    let position = this.positions.get(key);
    if (position === undefined) {
      position = this.keys.length;
      this.keys.push(key);
      this.positions.set(key, position);
    }
    return position;
  }
}

function viewOf(bytes: Uint8Array): DataView {
  return new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

function keyAt(keys: readonly number[], position: number): number {
  const key = keys[position];
  if (key === undefined) throw new MalformedRecordError('a back end position is out of range');
  return key;
}

function recordCount(bytes: Uint8Array, recordBytes: number): number {
  if (bytes.length % recordBytes !== 0) throw new MalformedRecordError('a record is cut off');
  return bytes.length / recordBytes;
}

/** Packs the records of one part of a shard. */
export function packPart(records: readonly ShardRecord[]): PackedRecords {
  const bytes = new Uint8Array(records.length * PART_RECORD_BYTES);
  const view = viewOf(bytes);
  const keys = new KeyList();
  records.forEach((record, index) => {
    const offset = index * PART_RECORD_BYTES;
    view.setUint32(offset, record.low, true);
    const packed = ((record.high & HIGH_MASK) << KEY_BITS) | keys.position(record.backendKey);
    view.setUint32(offset + 4, packed >>> 0, true);
  });
  return { backendKeys: keys.keys, records: bytes };
}

/** Reads what `packPart` wrote. Throws `MalformedRecordError`. */
export function unpackPart(shard: number, packed: PackedRecords): ShardRecord[] {
  const view = viewOf(packed.records);
  const count = recordCount(packed.records, PART_RECORD_BYTES);
  return Array.from({ length: count }, (_unused, index) => {
    const offset = index * PART_RECORD_BYTES;
    const word = view.getUint32(offset + 4, true);
    return {
      high: ((shard << SHARD_SHIFT) | (word >>> KEY_BITS)) >>> 0,
      low: view.getUint32(offset, true),
      backendKey: keyAt(packed.backendKeys, word & KEY_MASK),
    };
  });
}

/** Packs a batch of changes. */
export function packBatch(records: readonly BatchRecord[]): PackedRecords {
  const bytes = new Uint8Array(records.length * BATCH_RECORD_BYTES);
  const view = viewOf(bytes);
  const keys = new KeyList();
  records.forEach((record, index) => {
    const offset = index * BATCH_RECORD_BYTES;
    view.setUint32(offset, record.high, true);
    view.setUint32(offset + 4, record.low, true);
    view.setUint32(offset + 8, ((record.operation << 24) | keys.position(record.backendKey)) >>> 0, true);
  });
  return { backendKeys: keys.keys, records: bytes };
}

/** Reads what `packBatch` wrote. Throws `MalformedRecordError`. */
export function unpackBatch(packed: PackedRecords): BatchRecord[] {
  const view = viewOf(packed.records);
  const count = recordCount(packed.records, BATCH_RECORD_BYTES);
  return Array.from({ length: count }, (_unused, index) => {
    const offset = index * BATCH_RECORD_BYTES;
    const word = view.getUint32(offset + 8, true);
    return {
      high: view.getUint32(offset, true),
      low: view.getUint32(offset + 4, true),
      backendKey: keyAt(packed.backendKeys, word & BATCH_KEY_MASK),
      operation: word >>> 24,
    };
  });
}
