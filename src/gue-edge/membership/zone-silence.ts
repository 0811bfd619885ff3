/**
 * Notices when most of a zone falls silent at once: one event instead of one for each member, and suspects of the
 * zone no longer count for the quorum (`quorum-decision.ts`), because a partition is likelier than so many single
 * faults.
 *
 * Owns when each silent member fell silent. A zone stops being silent when the last of its failures is older than
 * `ZONE_WINDOW_MS` or disproved, not when the share falls again (hysteresis). Relies on the changes of the member
 * table.
 */
import { Subject } from '../../common/event-stream.js';
import type { MemberRecord } from './member-record.js';
import { ZONE_MIN_MEMBERS, ZONE_SILENT_SHARE, ZONE_WINDOW_MS } from './constants.js';

interface ZoneState {
  /** When each member that is silent now fell silent, monotonic ms, by id hash. */
  readonly silentSinceMs: Map<number, number>;
  silent: boolean;
}

/** A zone most of which fell silent. */
interface SilentZone {
  readonly zone: string;
  readonly silentMembers: number;
}

/**
 * True when so many members that fell silent within the window make their zone silent: at least `ZONE_MIN_MEMBERS`,
 * and more than `ZONE_SILENT_SHARE` of the zone. Members that were removed meanwhile are no longer live but still
 * count for the zone; exactly the share does not suffice. `liveInZone` is asked only where the first condition
 * holds, because it counts the whole table.
 */
export function isZoneSilent(silentMembers: number, liveInZone: () => number): boolean {
  if (silentMembers < ZONE_MIN_MEMBERS) return false;
  const population = Math.max(silentMembers, liveInZone());
  return silentMembers > population * ZONE_SILENT_SHARE;
}

/** Silence by zone, from the changes of the member table. */
export class ZoneSilence {
  private readonly zones = new Map<string, ZoneState>();
  /** Each zone at the moment it falls silent. */
  readonly silences = new Subject<SilentZone>();
  private count = 0;

  /** Zone events since start. */
  get events(): number {
    return this.count;
  }

  /** True while any zone is silent. */
  get anySilent(): boolean {
    for (const state of this.zones.values()) if (state.silent) return true;
    return false;
  }

  /** True while the zone is silent. */
  isSilent(zone: string): boolean {
    return this.zones.get(zone)?.silent ?? false;
  }

  /** Takes in a member's new record; `liveInZone` counts the live members of its zone, suspects included. */
  note(record: MemberRecord, liveInZone: () => number, nowMs: number): void {
    const state = this.stateOf(record.identity.zone);
    const failed = record.lifecycle === 'failed';
    if (failed || record.suspected) {
      if (!state.silentSinceMs.has(record.idHash)) state.silentSinceMs.set(record.idHash, nowMs);
    } else state.silentSinceMs.delete(record.idHash);
    this.forgetOld(state, nowMs);
    this.judge(record.identity.zone, state, liveInZone);
  }

  /** Lets silent zones end when their failures are over. */
  refresh(nowMs: number): void {
    for (const state of this.zones.values()) {
      this.forgetOld(state, nowMs);
      if (state.silentSinceMs.size === 0) state.silent = false;
    }
  }

  private judge(zone: string, state: ZoneState, liveInZone: () => number): void {
    const silentMembers = state.silentSinceMs.size;
    if (state.silent || !isZoneSilent(silentMembers, liveInZone)) return;
    state.silent = true;
    this.count += 1;
    this.silences.push({ zone, silentMembers });
  }

  private forgetOld(state: ZoneState, nowMs: number): void {
    for (const [idHash, sinceMs] of state.silentSinceMs) {
      if (nowMs - sinceMs > ZONE_WINDOW_MS) state.silentSinceMs.delete(idHash);
    }
  }

  private stateOf(zone: string): ZoneState {
    const known = this.zones.get(zone);
    if (known) return known;
    const state = { silentSinceMs: new Map<number, number>(), silent: false };
    this.zones.set(zone, state);
    return state;
  }
}
