/**
 * Keeps track of the zones that an operator has cordoned: their back ends get no new flows, and open flows continue.
 * Owns the newest record and removal of each zone. Both come from the source and from peers, in any order: the higher
 * revision wins, and a removal wins over a record of the same revision.
 */
import type { EventLog } from '../../observability/event.js';
import { RESTORED_HOLD_MS } from './constants.js';
import { ROUTING_EVENTS } from './events.js';
import type { CordonRemoval, ZoneCordon } from './types.js';

/** Newest record and removal of one zone. It is cordoned while the record is newer than the removal. */
interface ZoneState {
  readonly recordRevision: number;
  readonly removedRevision: number;
  /**
   * Monotonic ms at which the cordon ends unless it is recorded again. Set when the cordon is missing from the source
   * after a restore.
   */
  readonly heldUntilMs?: number;
}

const NO_REVISION = -1;
const UNKNOWN_ZONE: ZoneState = { recordRevision: NO_REVISION, removedRevision: NO_REVISION };

/** A cordon of an earlier epoch. Any record or removal of the current epoch overrides it. */
const CORDONED_IN_EARLIER_EPOCH: ZoneState = {
  recordRevision: NO_REVISION,
  removedRevision: NO_REVISION - 1,
};

/** Stores the cordons of one daemon. Removals are kept forever, because there are few zones. */
export class ZoneCordons {
  private readonly states = new Map<string, ZoneState>();

  constructor(private readonly events: EventLog) {}

  /** Returns true while `zone` is cordoned. */
  has(zone: string): boolean {
    return isCordoned(this.states.get(zone) ?? UNKNOWN_ZONE);
  }

  /** Returns the cordons in force. */
  all(): ZoneCordon[] {
    return [...this.states]
      .filter(([, state]) => isCordoned(state))
      .map(([zone, { recordRevision }]) => ({ zone, revision: recordRevision }));
  }

  /**
   * Stores a cordon, unless a record or removal of the same or a later revision is known.
   *
   * @param knownRevision cordons are complete up to this revision, so a record of this revision or an older one is
   *   outdated
   */
  put({ zone, revision }: ZoneCordon, knownRevision: number): void {
    const state = this.states.get(zone) ?? UNKNOWN_ZONE;
    if (revision <= Math.max(state.recordRevision, state.removedRevision, knownRevision)) return;
    this.setState(zone, { recordRevision: revision, removedRevision: state.removedRevision });
  }

  /** Applies a removal, unless a newer record is known, or a removal of the same or a later revision. */
  remove({ zone, revision }: CordonRemoval): void {
    const state = this.states.get(zone) ?? UNKNOWN_ZONE;
    if (revision < state.recordRevision || revision <= state.removedRevision) return;
    this.setState(zone, { recordRevision: state.recordRevision, removedRevision: revision });
  }

  /** Removes every cordon that is not in `listed` and whose record is not newer than `revision`. */
  removeUnlisted(listed: ReadonlySet<string>, revision: number): void {
    for (const { zone, revision: recordRevision } of this.all()) {
      if (!listed.has(zone) && recordRevision <= revision) this.remove({ zone, revision });
    }
  }

  /** Starts an epoch of the source. Revisions of earlier epochs cannot be compared with those of this one. */
  beginEpoch(): void {
    for (const [zone, state] of this.states) {
      if (isCordoned(state)) this.states.set(zone, CORDONED_IN_EARLIER_EPOCH);
      else this.states.delete(zone);
    }
  }

  /**
   * Keeps every cordon that is missing from the first list of an epoch for `RESTORED_HOLD_MS`: the backup may be older
   * than the cordon, and the operator is expected to write the cordon again.
   */
  holdUnlisted(listed: ReadonlySet<string>, nowMs: number): void {
    for (const [zone, state] of this.states) {
      if (!listed.has(zone)) this.states.set(zone, { ...state, heldUntilMs: nowMs + RESTORED_HOLD_MS });
    }
  }

  /** Removes the cordons whose hold has expired and that were not recorded again. */
  removeExpiredHolds(nowMs: number): void {
    for (const [zone, { heldUntilMs, recordRevision: revision }] of this.states) {
      if (heldUntilMs !== undefined && nowMs >= heldUntilMs) this.remove({ zone, revision });
    }
  }

  private setState(zone: string, state: ZoneState): void {
    const wasCordoned = this.has(zone);
    this.states.set(zone, state);
    const isNowCordoned = isCordoned(state);
    if (wasCordoned === isNowCordoned) return;
    const event = isNowCordoned ? ROUTING_EVENTS.zoneCordoned : ROUTING_EVENTS.zoneUncordoned;
    this.events.emit(event, { zone, revision: isNowCordoned ? state.recordRevision : state.removedRevision });
  }
}

function isCordoned({ recordRevision, removedRevision }: ZoneState): boolean {
  return recordRevision > removedRevision;
}
