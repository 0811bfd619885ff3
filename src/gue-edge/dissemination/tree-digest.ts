/**
 * Digest over a set of nodes that can be kept up to date node by node.
 *
 * Owns one digest. Its value depends on the set of nodes only, not on their order.
 */
import { createHash } from 'node:crypto';

/** Hash of one encoded node, two unsigned 32-bit halves. */
export interface NodeHash {
  readonly high: number;
  readonly low: number;
}

/** Hash of a node's bytes, which contain its path. */
export function hashNode(bytes: Uint8Array): NodeHash {
  const hash = createHash('sha256').update(bytes).digest();
  return { high: hash.readUInt32BE(0), low: hash.readUInt32BE(4) };
}

/** Sum of node hashes, each half modulo 2^32; the order of the nodes does not matter. */
export class TreeDigest {
  constructor(
    private high = 0,
    private low = 0,
  ) {}

  add(hash: NodeHash): void {
    this.high = (this.high + hash.high) >>> 0;
    this.low = (this.low + hash.low) >>> 0;
  }

  remove(hash: NodeHash): void {
    this.high = (this.high - hash.high) >>> 0;
    this.low = (this.low - hash.low) >>> 0;
  }

  copy(): TreeDigest {
    return new TreeDigest(this.high, this.low);
  }

  /** 16 hexadecimal digits. */
  text(): string {
    return this.high.toString(16).padStart(8, '0') + this.low.toString(16).padStart(8, '0');
  }
}
