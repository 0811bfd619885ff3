/**
 * Identity and order of trees: decides which of two trees supersedes the other, for all members alike.
 *
 * What the rule prevents: that members which meet in any order end with different trees, or go back to an older
 * version.
 *
 * Owns nothing; relies on the version and the fencing token that the store gave.
 */
import type { sailquay } from './pb/dissemination.js';
import { badMessage } from './errors.js';

/** Identifies one tree. */
export interface TreeStamp {
  /** The platform's version of the tree document; 0: no tree. */
  readonly version: number;
  /** Fencing token of the lease under which it was read. */
  readonly readerToken: number;
  /** Digest over the encoded nodes, 16 hexadecimal digits. */
  readonly digest: string;
  /** When the last edit was made by its author's wall clock, ms since the Unix epoch; 0: unknown. */
  readonly acceptedAtWallMs: number;
  readonly nodeCount: number;
}

/** Bytes of a digest on the wire; a change needs a new protocol version. */
const DIGEST_BYTES = 8;

/** Stamp of a member that has no tree. */
export const NO_TREE: TreeStamp = {
  version: 0,
  readerToken: 0,
  digest: '0'.repeat(2 * DIGEST_BYTES),
  acceptedAtWallMs: 0,
  nodeCount: 0,
};

/** True when both stamps stand for the same content. */
export function sameTree(left: TreeStamp, right: TreeStamp): boolean {
  return left.version === right.version && left.digest === right.digest;
}

/**
 * True when a member that has `current` must go over to `candidate`. Versions decide. Trees of one version with
 * different content are a fault; then the newer lease wins, and last the digest, so that all members agree.
 */
export function supersedes(candidate: TreeStamp, current: TreeStamp): boolean {
  if (candidate.version !== current.version) return candidate.version > current.version;
  if (candidate.digest === current.digest) return false;
  if (candidate.readerToken !== current.readerToken) return candidate.readerToken > current.readerToken;
  return candidate.digest > current.digest;
}

/** Key of a stamp's content, for maps. */
export function stampKey(stamp: TreeStamp): string {
  return `${stamp.version}/${stamp.digest}`;
}

/** Wire form. */
export function encodeStamp(stamp: TreeStamp): sailquay.dissemination.IStamp {
  return { ...stamp, digest: Buffer.from(stamp.digest, 'hex') };
}

function isWholeNumber(value: number | null | undefined): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** From the wire form; throws `dissemination.bad-message`. An absent stamp is that of no tree. */
export function decodeStamp(wire: sailquay.dissemination.IStamp | null | undefined): TreeStamp {
  if (!wire || !wire.version) return NO_TREE;
  const { version, readerToken, acceptedAtWallMs, nodeCount, digest } = wire;
  if (!isWholeNumber(version) || !isWholeNumber(readerToken)) throw badMessage('version out of range');
  if (!Number.isFinite(acceptedAtWallMs)) throw badMessage('time out of range');
  if (digest?.length !== DIGEST_BYTES) throw badMessage('digest of a wrong length');
  return {
    version,
    readerToken,
    digest: Buffer.from(digest).toString('hex'),
    acceptedAtWallMs: acceptedAtWallMs ?? 0,
    nodeCount: nodeCount ?? 0,
  };
}
