/**
 * Decides which chunk of a transfer can be used, and how fast a transfer goes on.
 *
 * What the rule prevents: that chunks of two transfers are joined, that a faulty peer makes this process keep more than
 * `MAX_TRANSFER_BYTES` or wait without end, and that a transfer takes the bytes that other messages need.
 *
 * Owns no state beyond the progress that it is given. Relies on offsets alone for completeness; whether the nodes
 * are sound is judged by their digest once all of them are there.
 */
import { MAX_TRANSFER_BYTES, TRANSFER_BUDGET_SHARE, TRANSFER_MIN_BYTES_PER_SECOND } from './constants.js';
import { sameTree, type TreeStamp } from './stamp.js';

/** A part of a transfer as it arrived. */
export interface Chunk {
  /** Version 0: a snapshot. */
  readonly base: TreeStamp;
  readonly target: TreeStamp;
  readonly offset: number;
  readonly totalBytes: number;
  readonly data: Uint8Array;
}

/** A transfer under way. */
export interface Progress {
  readonly base: TreeStamp;
  readonly target: TreeStamp;
  readonly parts: Uint8Array[];
  received: number;
}

/**
 * What a chunk is to a transfer. `continues` it; `starts` a transfer, because none was under way or the peer has
 * gone over to another tree. Cannot be used: `wrong-base`, changes to a tree that this member does not have;
 * `empty`; `too-large`; `wrong-offset`.
 */
export type ChunkVerdict = 'continues' | 'starts' | 'wrong-base' | 'empty' | 'too-large' | 'wrong-offset';

/** Judges a chunk for a member that has the tree `have`. A chunk that starts a transfer must be the first one of it. */
export function judgeChunk(progress: Progress | undefined, chunk: Chunk, have: TreeStamp): ChunkVerdict {
  const { base, target, offset } = chunk;
  if (base.version !== 0 && !sameTree(base, have)) return 'wrong-base';
  if (chunk.data.length === 0) return 'empty';
  if (chunk.totalBytes > MAX_TRANSFER_BYTES) return 'too-large';
  const continues = progress && sameTree(progress.target, target) && sameTree(progress.base, base);
  if (offset !== (continues ? progress.received : 0)) return 'wrong-offset';
  return continues ? 'continues' : 'starts';
}

/** Adds a chunk to a transfer, or starts one; undefined when the chunk cannot be used. */
export function advance(progress: Progress | undefined, chunk: Chunk, have: TreeStamp): Progress | undefined {
  const verdict = judgeChunk(progress, chunk, have);
  if (verdict !== 'continues' && verdict !== 'starts') return undefined;
  const { base, target, data } = chunk;
  const current = verdict === 'continues' && progress ? progress : { base, target, parts: [], received: 0 };
  current.parts.push(data);
  current.received += data.length;
  return current;
}

/**
 * Pause in ms after a chunk of `bytes`, so that a transfer takes its share of the control bytes that are free, and
 * never stops.
 */
export function transferPauseMs(bytes: number, freeBytesPerSecond: number): number {
  const bytesPerSecond = Math.max(TRANSFER_MIN_BYTES_PER_SECOND, freeBytesPerSecond * TRANSFER_BUDGET_SHARE);
  return (bytes / bytesPerSecond) * 1_000;
}
