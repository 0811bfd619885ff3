/** Notices when most of a zone falls silent at once: one event instead of one for each member. */
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
    if (state.silent || silentMembers < ZONE_MIN_MEMBERS) return;
    const population = Math.max(silentMembers, liveInZone());
    if (silentMembers <= population * ZONE_SILENT_SHARE) return;
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
