/**
 * Rules of moving a shard to the back ends of a newer settings version: when a move is due, and when it may start.
 *
 * They prevent a flow without a record from being looked for under the wrong base: the new base holds at the backup
 * before it holds at the keeper, and nothing else may change the shard's holders meanwhile. A backup that is replaced
 * during a move must have let go before the keeper takes the new base (`finishRebase`). Times are monotonic ms. No
 * input or output.
 */

/** Why a move may not start now. */
type RebaseObstacle =
  | 'no-quorum'
  | 'not-serving'
  | 'rebasing'
  /** The next backup has no snapshot yet. */
  | 'syncing'
  /** The shard is queued for the next keeper. */
  | 'handing-on'
  /** The table may lack open flows, which would keep their back ends without a record. */
  | 'learning'
  /** The backup before the present one may still act with the old base. */
  | 'former-backup'
  /** The backup's lease has lapsed, or there should be a backup and is none. */
  | 'no-lease';

/** What a move is judged by. */
interface RebaseInput {
  readonly quorate: boolean;
  readonly serving: boolean;
  readonly rebasing: boolean;
  readonly syncing: boolean;
  readonly handingOn: boolean;
  /** The table holds every open flow. */
  readonly complete: boolean;
  /** Time since an incomplete table began to learn its flows, and how long that must be. */
  readonly learnedMs: number;
  readonly learningMs: number;
  readonly formerBackupHasLetGo: () => boolean;
  /** The backup's lease is held, or the shard needs no backup. */
  readonly isCovered: () => boolean;
}

/** What keeps a move from starting; undefined when it may. Conditions that cost nothing come first. */
export function rebaseObstacle(input: RebaseInput): RebaseObstacle | undefined {
  if (!input.quorate) return 'no-quorum';
  if (!input.serving) return 'not-serving';
  if (input.rebasing) return 'rebasing';
  if (input.syncing) return 'syncing';
  if (input.handingOn) return 'handing-on';
  if (!input.complete && input.learnedMs < input.learningMs) return 'learning';
  if (!input.formerBackupHasLetGo()) return 'former-backup';
  return input.isCovered() ? undefined : 'no-lease';
}

/** What the need of a move is judged by. */
interface RebaseNeed {
  /** The shard is awaited, not held. */
  readonly acquiring: boolean;
  readonly baseVersion: number;
  /** Settings version in force. */
  readonly currentVersion: number;
  readonly complete: boolean;
  /** An incomplete table has by now seen every flow that can still be open. */
  readonly hasSeenAllFlows: boolean;
}

/** True when a newer base is in force, or when an incomplete table can be declared complete. */
export function isRebaseDue(need: RebaseNeed): boolean {
  if (need.acquiring) return false;
  return need.baseVersion < need.currentVersion || (!need.complete && need.hasSeenAllFlows);
}
