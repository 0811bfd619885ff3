/**
 * Rules of a keeper's authority over a shard: whether it may open flows, make exceptions, and answer for flows that
 * it does not know. They prevent two balancers from deciding for one flow after a pause, a partition or a change of
 * backups.
 *
 * Authority comes from the backup: while its lease is held it doesn't hand the shard on. Without a backup only a
 * balancer that surely needs none has authority. What is not known counts against it. No input or output; the functions
 * read the context and change nothing.
 */
import { LEASE_MS } from './constants.js';
import type { FlowContext } from './flow-context.js';
import type { KeptShard } from './shard-holding.js';

/** What the rules read of the flow keeper. */
export type AuthorityContext = Pick<
  FlowContext,
  'view' | 'selfId' | 'member' | 'isFresh' | 'now' | 'cautiousUntilMs'
> & {
  readonly map: Pick<FlowContext['map'], 'backup'>;
};

/** What the rules read of a backup. */
interface BackupLease {
  readonly leaseHeld: boolean;
}

/** What the rules read of a shard that is kept here. */
export interface AuthorityShard extends Pick<KeptShard, 'shard' | 'role' | 'syncingTo' | 'heldSinceMs'> {
  readonly backup: BackupLease | undefined;
  readonly formerBackup: { hasLetGo(shard: number): boolean } | undefined;
}

/**
 * True when the shard needs no backup, because no other balancer could be it. A paused process and one that may
 * have been replaced unknowingly (`cautiousUntilMs`) can't tell.
 */
function isAlone(context: AuthorityContext, kept: AuthorityShard): boolean {
  const self = context.member(context.selfId);
  if (!self || !context.isFresh() || context.now() < context.cautiousUntilMs) return false;
  return context.map.backup(kept.shard, self) === undefined;
}

/** True while no other balancer can open flows of the shard. */
export function mayOpen(context: AuthorityContext, kept: AuthorityShard): boolean {
  if (kept.role !== 'serving' || !context.view.quorate) return false;
  return kept.backup ? kept.backup.leaseHeld : isAlone(context, kept);
}

/**
 * True when an exception can be made safe now. The backup must have the whole snapshot, or it would serve the shard
 * without some records; a former backup must have let go, or two replicas could be handed on.
 */
export function canReplicate(context: AuthorityContext, kept: AuthorityShard): boolean {
  if (!kept.backup) return isAlone(context, kept);
  if (kept.syncingTo !== undefined || !kept.backup.leaseHeld) return false;
  return hasFormerBackupLetGo(kept);
}

/** True when the backup before the present one can't take the shard over any more. */
export function hasFormerBackupLetGo(kept: Pick<AuthorityShard, 'shard' | 'formerBackup'>): boolean {
  return kept.formerBackup?.hasLetGo(kept.shard) ?? true;
}

/**
 * True when no other balancer can have taken the shard over, so that this one may answer for flows without a record. A
 * shard that was received less than a lease ago is sure although it is not replicated yet: no other
 * balancer can have given up waiting for this one yet.
 */
export function isSurelyKeeper(context: AuthorityContext, kept: AuthorityShard): boolean {
  if (!context.view.quorate || !context.isFresh()) return false;
  if (kept.backup) return kept.backup.leaseHeld;
  if (context.now() < context.cautiousUntilMs) return false;
  const self = context.member(context.selfId);
  if (self && !context.map.backup(kept.shard, self)) return true;
  return context.now() - kept.heldSinceMs < LEASE_MS;
}
