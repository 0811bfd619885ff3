/**
 * Rules of holding shards: whether a replica sent here is taken, when an awaited shard is started without records, when
 * records of a doubtful replica are good enough, and what becomes of a shard whose transfer failed.
 *
 * They prevent two keepers of one shard and the loss of records: a shard is held until its next holder has
 * acknowledged it, and a shard is started empty only when no balancer can be left that holds it. Times are
 * monotonic ms. No input or output.
 */
import { ORPHAN_WAIT_MS } from './constants.js';

/**
 * Waits of `ORPHAN_WAIT_MS` during which a trusted replica held here keeps its shard from being started empty. Above
 * one, because its keeper may still hand it over.
 */
const REPLICA_WAITS = 3;

/** Whether a replica that a keeper sends is taken. */
export type ReplicaVerdict =
  | 'install'
  /** The replica held here is of another keeper that lives, or of the same or a newer epoch. */
  | 'keep-earlier'
  /** This balancer keeps the shard itself, in the same or a newer epoch. */
  | 'keep-own';

/** What a replica is judged by. */
interface ReplicaInput {
  /** Rises with each change of the shard's keeper. */
  readonly epoch: number;
  /** The replica of the shard that is held here already. */
  readonly earlier:
    | { readonly fromSameKeeper: boolean; readonly epoch: number; readonly keeperFailed: () => boolean }
    | undefined;
  /** The shard as this balancer keeps it itself. */
  readonly own: { readonly acquiring: boolean; readonly epoch: number } | undefined;
}

/**
 * Judges a replica. The same keeper replaces its own replica at any time. Another keeper needs a newer epoch unless the
 * earlier one has failed; a tie is refused, since the earlier replica may be the only one. A shard that is only awaited
 * here has no epoch to defend.
 */
export function judgeReplica({ epoch, earlier, own }: ReplicaInput): ReplicaVerdict {
  if (earlier && !earlier.fromSameKeeper && earlier.epoch >= epoch && !earlier.keeperFailed()) {
    return 'keep-earlier';
  }
  return own && !own.acquiring && own.epoch >= epoch ? 'keep-own' : 'install';
}

/** What becomes of a shard that is awaited. */
type AcquiringVerdict =
  /** Another balancer is the keeper now. */
  | 'forget'
  /** The wait begins anew. */
  | 'postpone'
  | 'wait'
  /** It is not offered: it is started without records. */
  | 'start-unoffered';

/** What an awaited shard is judged by. */
interface AcquiringInput {
  /** The view names this balancer as the keeper. */
  readonly isKeeper: boolean;
  readonly quorate: boolean;
  readonly hasSettings: boolean;
  /** A trusted replica of it is held here for a keeper that is not gone, which is going to hand it over. */
  readonly replicaHeldHere: boolean;
  readonly nowMs: number;
  /** This process may have been replaced unknowingly until then. */
  readonly cautiousUntilMs: number;
  readonly acquiringSinceMs: number;
  /** Last offer, or start of the wait. */
  readonly awaitedSinceMs: number;
}

/**
 * Judges an awaited shard. A minority, a balancer without settings and one that may have been replaced can't know
 * that no other balancer holds the shard, so their wait doesn't count. A replica held here postpones the start too,
 * but not for ever: its keeper may be stuck.
 */
export function judgeAcquiring(input: AcquiringInput): AcquiringVerdict {
  if (!input.isKeeper) return 'forget';
  const { nowMs } = input;
  if (!input.quorate || !input.hasSettings || nowMs < input.cautiousUntilMs) return 'postpone';
  const mayPostpone = nowMs - input.acquiringSinceMs < REPLICA_WAITS * ORPHAN_WAIT_MS;
  if (input.replicaHeldHere && mayPostpone) return 'postpone';
  return nowMs - input.awaitedSinceMs > ORPHAN_WAIT_MS ? 'start-unoffered' : 'wait';
}

/** What the use of a doubtful replica is judged by. */
interface DoubtInput {
  /** The shard as this balancer keeps or awaits it; undefined before it does. */
  readonly kept: { readonly acquiring: boolean; readonly acquiringSinceMs: number } | undefined;
  readonly nowMs: number;
  readonly cautiousUntilMs: number;
}

/**
 * True when records of a replica that is not trusted may be used. Its keeper may have chosen another backup, which
 * holds newer records and is waited for; a shard that is held already only gains by them.
 */
export function mayUseUntrusted({ kept, nowMs, cautiousUntilMs }: DoubtInput): boolean {
  if (!kept) return false;
  return !kept.acquiring || nowMs - Math.max(kept.acquiringSinceMs, cautiousUntilMs) > ORPHAN_WAIT_MS;
}

/** What becomes of a shard whose transfer failed. */
type FailedTransferVerdict =
  /** The transfer was not for the present target, or the shard is not kept here any more. */
  | 'ignore'
  /** The target is gone and may have taken the shard before: its backup may still hand it on. */
  | 'await-targets-backup'
  | 'serve';

/** What a failed transfer is judged by. */
interface FailedTransferInput {
  /** The shard is still kept here and this is its present transfer. */
  readonly isCurrent: boolean;
  /** The snapshot has left the queue. */
  readonly transferring: boolean;
  /** The target is in the view. */
  readonly targetPresent: boolean;
}

/**
 * Judges a failed transfer. A target that is present has refused, and one that was sent nothing can't have the
 * shard.
 */
export function judgeFailedTransfer(input: FailedTransferInput): FailedTransferVerdict {
  if (!input.isCurrent) return 'ignore';
  return input.transferring && !input.targetPresent ? 'await-targets-backup' : 'serve';
}
