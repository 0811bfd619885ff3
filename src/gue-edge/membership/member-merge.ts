/**
 * Decides which report about a member overrules what is known of it.
 *
 * What the rule prevents: that a late report revives a member that left, that the sides of a healed partition
 * remove each other's members on hearsay, and that a restarted process is taken for the one before it.
 *
 * Owns nothing; returns the outcome and the record to store, and the member table carries it out.
 */
import { sameEndpoint } from '../../common/types.js';
import {
  compareVersions,
  isRemoved,
  LIFECYCLES,
  newRecord,
  type Lifecycle,
  type MemberRecord,
} from './member-record.js';
import type { MemberUpdate } from './wire.js';

/**
 * What becomes of a report. `changed`: it is stored. `known`: it says nothing new, or is out of date. `unknown`: it
 * names a member or an incarnation that was never introduced. `accused`: it says that this member is suspected or
 * removed. `collision`: another member has the same id hash. `outdated-accusation`: as `accused`, but this member
 * has refuted it already and the sender has not heard. `reported-failed`: it says that a member that is live here
 * has failed; the member is now suspected here, because the report may come from the other side of a healed
 * partition and the member must get the time to refute it.
 */
export type MergeOutcome =
  'changed' | 'known' | 'unknown' | 'accused' | 'outdated-accusation' | 'collision' | 'reported-failed';

/** An outcome and what to store for it. */
interface MergeDecision {
  readonly outcome: MergeOutcome;
  /** The record that holds from now on; undefined when nothing changes. */
  readonly record?: MemberRecord;
  /** The record is that of a later process: what the earlier one reported of itself no longer holds. */
  readonly isNewProcess?: boolean;
}

/** Where and when a report is merged. */
interface MergeContext {
  /** The known record is that of this member itself. */
  readonly isSelf: boolean;
  /** Monotonic ms. */
  readonly nowMs: number;
}

const KNOWN: MergeDecision = { outcome: 'known' };
const UNKNOWN: MergeDecision = { outcome: 'unknown' };

/**
 * Decides what becomes of the report `update` about the member whose record is `known`.
 *
 * Order: a collision makes the report one about somebody else. A report about this member is never stored, only
 * refuted. A later incarnation overrules everything about the earlier one. A failure of a live member is only
 * suspected. Else the version decides (incarnation, then refutation); equal versions take the later lifecycle and
 * keep a suspicion, which ends by a refutation only.
 */
export function decideMerge(
  known: MemberRecord | undefined,
  update: MemberUpdate,
  { isSelf, nowMs }: MergeContext,
): MergeDecision {
  if (known && update.identity && update.identity.id !== known.identity.id) return { outcome: 'collision' };
  if (!known) return admit(update, nowMs);
  if (isSelf) return judgeAccusation(known, update);
  if (update.incarnation > known.incarnation) return replace(known, update, nowMs);
  const reportedFailed = update.lifecycle === 'failed' && !isRemoved(known);
  if (!reportedFailed || compareVersions(update, known) < 0) return mergeSameProcess(known, update, nowMs);
  const suspicion = { ...update, lifecycle: known.lifecycle, suspected: true };
  return { ...mergeSameProcess(known, suspicion, nowMs), outcome: 'reported-failed' };
}

/** First report of a member. One that is removed already gets no record. */
function admit(update: MemberUpdate, nowMs: number): MergeDecision {
  if (isRemovedLifecycle(update.lifecycle)) return KNOWN;
  if (!update.identity) return UNKNOWN;
  const record = newRecord(update.identity, update, update.lifecycle, nowMs);
  return { outcome: 'changed', record: { ...record, suspected: update.suspected } };
}

/** A later incarnation: the process was restarted, perhaps elsewhere, and holds nothing. */
function replace(known: MemberRecord, update: MemberUpdate, nowMs: number): MergeDecision {
  if (!update.identity && !isRemovedLifecycle(update.lifecycle)) return UNKNOWN;
  const record = newRecord(update.identity ?? known.identity, update, update.lifecycle, nowMs);
  return { outcome: 'changed', record: { ...record, suspected: update.suspected }, isNewProcess: true };
}

function mergeSameProcess(known: MemberRecord, update: MemberUpdate, nowMs: number): MergeDecision {
  const order = compareVersions(update, known);
  if (order < 0) return KNOWN;
  if (order === 0) return mergeSameVersion(known, update, nowMs);
  const { incarnation, refutation, lifecycle } = update;
  const suspected = update.suspected && !isRemovedLifecycle(lifecycle);
  const record = { ...known, incarnation, refutation, lifecycle, suspected, changedAtMs: nowMs };
  return { outcome: 'changed', record };
}

function mergeSameVersion(known: MemberRecord, update: MemberUpdate, nowMs: number): MergeDecision {
  if (isRemoved(known) && !isRemovedLifecycle(update.lifecycle)) return KNOWN;
  const lifecycle = laterLifecycle(known.lifecycle, update.lifecycle);
  const suspected = !isRemovedLifecycle(lifecycle) && (update.suspected || known.suspected);
  if (lifecycle === known.lifecycle && suspected === known.suspected) return KNOWN;
  return { outcome: 'changed', record: { ...known, lifecycle, suspected, changedAtMs: nowMs } };
}

/**
 * A report about this member. A newer version than its own can only be an accusation; a member that left refutes
 * nothing.
 */
function judgeAccusation(self: MemberRecord, update: MemberUpdate): MergeDecision {
  if (self.lifecycle === 'left') return KNOWN;
  const order = compareVersions(update, self);
  if (update.incarnation > self.incarnation && !update.identity) return UNKNOWN;
  const accused = order > 0 || update.suspected || isRemovedLifecycle(update.lifecycle);
  if (!accused) return KNOWN;
  return { outcome: order < 0 ? 'outdated-accusation' : 'accused' };
}

/**
 * What an accused member does. `refute`: it makes its version newer than the accusation. `give-way`: a later
 * process has taken over its id elsewhere, and this one must not act for it any more. An accusation of a later
 * incarnation at its own address is about an earlier process whose clock was ahead; one without an address is taken
 * for that as well, since giving way is final.
 */
export type AccusationResponse = 'refute' | 'give-way';

/** Decides what this member does about an accusation of itself. */
export function respondToAccusation(self: MemberRecord, accusation: MemberUpdate): AccusationResponse {
  if (accusation.incarnation <= self.incarnation || !accusation.identity) return 'refute';
  const isSameAddress = sameEndpoint(accusation.identity.control, self.identity.control);
  return isSameAddress ? 'refute' : 'give-way';
}

function isRemovedLifecycle(lifecycle: Lifecycle): boolean {
  return lifecycle === 'failed' || lifecycle === 'left';
}

function laterLifecycle(left: Lifecycle, right: Lifecycle): Lifecycle {
  return LIFECYCLES.indexOf(left) >= LIFECYCLES.indexOf(right) ? left : right;
}
