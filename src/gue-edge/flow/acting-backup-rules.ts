/**
 * Rules of a backup that answers for a shard while its keeper does not: when it does, when it opens flows, and when it
 * forwards a flow that it has no record of.
 *
 * They prevent flows from waiting for a takeover, without a second balancer deciding otherwise than the keeper:
 * where the keeper may still run, the backup acts only as long as it surely is the backup, so that both choose the
 * same. Doubt in the replica, the view or this process's own clock counts against acting. No input or output.
 */
import type { MemberState } from '../membership/types.js';

/** What acting is judged by. */
interface ActingInput {
  readonly trusted: boolean;
  readonly quorate: boolean;
  /** This process was not paused just now. */
  readonly fresh: boolean;
  /** State of the keeper in the view; undefined when it is not there. */
  readonly keeperState: MemberState | undefined;
}

/** True when the backup answers for the shard: its keeper is suspect, gone or not in the view. */
export function actsAsBackup({ trusted, quorate, fresh, keeperState }: ActingInput): boolean {
  if (!trusted || !quorate || !fresh) return false;
  return keeperState === undefined || keeperState === 'suspect' || keeperState === 'gone';
}

/** What a packet without a record is judged by. */
interface ReconstructionInput {
  /** A snapshot has gone to the next keeper, which may know more by now. */
  readonly handedOn: boolean;
  /** The keeper's lease is over and its shards are handed on. */
  readonly lapsed: boolean;
  readonly surelyBackup: () => boolean;
}

/**
 * True when a flow without a record may be forwarded to its first choice. A keeper that was cut off from here, or
 * is on the larger side of a cut, may have placed the flow elsewhere since, unless it has lapsed or this surely is
 * its backup.
 */
export function mayReconstruct({ handedOn, lapsed, surelyBackup }: ReconstructionInput): boolean {
  return !handedOn && (lapsed || surelyBackup());
}

/** True when a flow may be opened here: after a lapse the next keeper opens them. */
export function mayOpenAsBackup(lapsed: boolean, surelyBackup: () => boolean): boolean {
  return !lapsed && surelyBackup();
}
