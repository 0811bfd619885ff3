/**
 * The zones that an operator has cordoned: back ends there get no new flows, open flows stay. Owns the newest record
 * and removal of each zone. Both may come from the source and from peers, in any order: the higher revision wins, and a
 * removal wins over a record of the same revision.
 */
import type { EventLog } from '../../observability/event.js';
import { ROUTING_EVENTS } from './events.js';
import type { CordonRemoval, ZoneCordon } from './types.js';

/** What is known of one zone; it is cordoned while the record is newer than the removal. */
interface ZoneState {
  readonly recordRevision: number;
  readonly removedRevision: number;
}

const NEVER = -1;
const UNHEARD_OF: ZoneState = { recordRevision: NEVER, removedRevision: NEVER };

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
    this.change(zone, { ...state, recordRevision: revision });
  }

  /** Applies a removal, unless a newer record is known. */
  remove({ zone, revision }: CordonRemoval): void {
    const state = this.states.get(zone) ?? UNHEARD_OF;
    if (revision < state.recordRevision || revision <= state.removedRevision) return;
    this.change(zone, { ...state, removedRevision: revision });
  }

  /** Removes every cordon that is not among `listed` and was recorded at `revision` or before. */
  removeAllBut(listed: ReadonlySet<string>, revision: number): void {
    for (const { zone, revision: recordedAt } of this.all()) {
      if (!listed.has(zone) && recordedAt <= revision) this.remove({ zone, revision });
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
