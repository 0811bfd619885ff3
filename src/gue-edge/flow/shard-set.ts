/** Sets of shards as they travel: bitmaps for many, packed 16-bit numbers for few. */
import { mix32 } from '../../common/hash.js';
import { SHARD_COUNT } from './constants.js';
import { MalformedRecordError } from './errors.js';

const BITMAP_BYTES = SHARD_COUNT / 8;

/** Writes shard numbers as a bitmap of `SHARD_COUNT` bits. */
export function toBitmap(shards: Iterable<number>): Uint8Array {
  const bitmap = new Uint8Array(BITMAP_BYTES);
  for (const shard of shards) bitmap[shard >>> 3]! |= 1 << (shard & 7);
  return bitmap;
}

/** Reads a bitmap. Throws `MalformedRecordError`. */
export function fromBitmap(bitmap: Uint8Array): Set<number> {
  if (bitmap.length !== BITMAP_BYTES) throw new MalformedRecordError('a shard bitmap has the wrong length');
  const shards = new Set<number>();
  for (let shard = 0; shard < SHARD_COUNT; shard += 1) {
    if (((bitmap[shard >>> 3]! >>> (shard & 7)) & 1) === 1) shards.add(shard);
  }
  return shards;
}

/** Writes numbers below 65,536 as 16-bit little-endian integers. */
export function packNumbers(numbers: readonly number[]): Uint8Array {
  const bytes = new Uint8Array(numbers.length * 2);
  numbers.forEach((number, index) => {
    bytes[index * 2] = number & 0xff;
    bytes[index * 2 + 1] = number >>> 8;
  });
  return bytes;
}

/** Reads what `packNumbers` wrote. Throws `MalformedRecordError`. */
export function unpackNumbers(bytes: Uint8Array): number[] {
  if (bytes.length % 2 !== 0) throw new MalformedRecordError('a 16-bit number is cut off');
  return Array.from(
    { length: bytes.length / 2 },
    (_unused, index) => bytes[index * 2]! | (bytes[index * 2 + 1]! << 8),
  );
}

/** Writes shard numbers as 16-bit little-endian integers. */
export function packShards(shards: readonly number[]): Uint8Array {
  return packNumbers(shards);
}

/** Reads what `packShards` wrote. Throws `MalformedRecordError`. */
export function unpackShards(bytes: Uint8Array): number[] {
  const shards = unpackNumbers(bytes);
  for (const shard of shards) {
    if (shard >= SHARD_COUNT) throw new MalformedRecordError(`there is no shard ${shard}`);
  }
  return shards;
}

/** A set of shards with a digest that two balancers can compare. */
export class DigestedShardSet {
  private readonly shards = new Set<number>();
  private xor = 0;

  get size(): number {
    return this.shards.size;
  }

  /** Equal sets have equal digests. */
  get digest(): number {
    return this.xor >>> 0;
  }

  has(shard: number): boolean {
    return this.shards.has(shard);
  }

  add(shard: number): void {
    if (this.shards.has(shard)) return;
    this.shards.add(shard);
    this.xor ^= mix32(shard + 1);
  }

  delete(shard: number): boolean {
    if (!this.shards.delete(shard)) return false;
    this.xor ^= mix32(shard + 1);
    return true;
  }

  values(): number[] {
    return [...this.shards];
  }
}
