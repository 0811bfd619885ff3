/**
 * The zones that an operator has cordoned: back ends there get no new flows, open flows stay. Owns the newest record
 * and removal of each zone. Both may come from the source and from peers, in any order: the higher revision wins, and a
 * removal wins over a record of the same revision.
 */
import type { EventLog } from '../../observability/event.js';
import { RESTORED_HOLD_MS } from './constants.js';
import { ROUTING_EVENTS } from './events.js';
import type { CordonRemoval, ZoneCordon } from './types.js';

/** What is known of one zone; it is cordoned while the record is newer than the removal. */
interface ZoneState {
  readonly recordRevision: number;
  readonly removedRevision: number;
  /** Monotonic ms until which a cordon stays that the source lacks since it was restored. */
  readonly heldUntilMs?: number;
}

const NEVER = -1;
const UNHEARD_OF: ZoneState = { recordRevision: NEVER, removedRevision: NEVER };

/** A cordon of an earlier epoch: older than any record or removal of this one. */
const OF_EARLIER_EPOCH: ZoneState = { recordRevision: NEVER, removedRevision: NEVER - 1 };

/** The cordons that this daemon knows. Removals are never forgotten, because zones are few. */
export class ZoneCordons {
  private readonly states = new Map<string, ZoneState>();

  constructor(private readonly events: EventLog) {}

  /** True while `zone` gets no new flows. */
  has(zone: string): boolean {
    return isCordoned(this.states.get(zone) ?? UNHEARD_OF);
  }

  /** The cordons in force. */
  all(): ZoneCordon[] {
    return [...this.states]
      .filter(([, state]) => isCordoned(state))
      .map(([zone, { recordRevision }]) => ({ zone, revision: recordRevision }));
  }

  /**
   * Stores a cordon, unless a newer record or removal is known.
   *
   * @param knownRevision everything up to this revision is known: another record of then or before is outdated
   */
  put({ zone, revision }: ZoneCordon, knownRevision: number): void {
    const state = this.states.get(zone) ?? UNHEARD_OF;
    if (revision <= Math.max(state.recordRevision, state.removedRevision, knownRevision)) return;
    this.change(zone, { recordRevision: revision, removedRevision: state.removedRevision });
  }

  /** Applies a removal, unless a newer record is known. */
  remove({ zone, revision }: CordonRemoval): void {
    const state = this.states.get(zone) ?? UNHEARD_OF;
    if (revision < state.recordRevision || revision <= state.removedRevision) return;
    this.change(zone, { recordRevision: state.recordRevision, removedRevision: revision });
  }

  /** Removes every cordon that is not among `listed` and was recorded at `revision` or before. */
  removeAllBut(listed: ReadonlySet<string>, revision: number): void {
    for (const { zone, revision: recordedAt } of this.all()) {
      if (!listed.has(zone) && recordedAt <= revision) this.remove({ zone, revision });
    }
  }

  /** Begins an epoch of the source: revisions known so far say nothing about those from now on. */
  beginEpoch(): void {
    for (const [zone, state] of this.states) {
      if (isCordoned(state)) this.states.set(zone, OF_EARLIER_EPOCH);
      else this.states.delete(zone);
    }
  }

  /**
   * Holds every cordon that the first list of an epoch lacks: the copy may be older than the cordon, and the operator
   * writes it again.
   */
  holdAllBut(listed: ReadonlySet<string>, nowMs: number): void {
    for (const [zone, state] of this.states) {
      if (!listed.has(zone)) this.states.set(zone, { ...state, heldUntilMs: nowMs + RESTORED_HOLD_MS });
    }
  }

  /** Removes the cordons that were held long enough and not recorded again. */
  settleRestored(nowMs: number): void {
    for (const [zone, { heldUntilMs, recordRevision: revision }] of this.states) {
      if (heldUntilMs !== undefined && nowMs >= heldUntilMs) this.remove({ zone, revision });
    }
  }

  private change(zone: string, state: ZoneState): void {
    const before = this.has(zone);
    this.states.set(zone, state);
    const after = isCordoned(state);
    if (before === after) return;
    const event = after ? ROUTING_EVENTS.zoneCordoned : ROUTING_EVENTS.zoneUncordoned;
    this.events.emit(event, { zone, revision: after ? state.recordRevision : state.removedRevision });
  }
}

function isCordoned({ recordRevision, removedRevision }: ZoneState): boolean {
  return recordRevision > removedRevision;
}
