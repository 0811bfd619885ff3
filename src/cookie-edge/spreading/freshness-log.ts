/** Logs when this daemon's confirmation is overdue, and why it starts or stops reading the source. */
import type { EventLog } from '../../observability/event.js';
import type { FreshnessTimings, RoutingKnowledge } from '../routing/index.js';
import { SPREADING_EVENTS } from './events.js';
import type { PeerView } from './peer-view.js';
import type { ReaderRole, RoleReason } from './reader-role.js';

/** Dependencies of `FreshnessLog`. */
interface FreshnessLogOptions {
  readonly events: EventLog;
  readonly knowledge: RoutingKnowledge;
  readonly peers: PeerView;
  readonly role: ReaderRole;
  readonly timings: FreshnessTimings;
}

/** Emits the events 2200, 2201, 2202, 2203 and 2210, each at a change of state. Ages are in ms. */
export class FreshnessLog {
  private isOverdue = false;
  private isAwaitingTurn = false;

  constructor(private readonly options: FreshnessLogOptions) {}

  /** Logs that the confirmation has become overdue, or is current again. */
  logOverdueChange(ageMs: number): void {
    const { events, peers, timings } = this.options;
    const isNowOverdue = ageMs >= timings.pullAfterMs;
    if (isNowOverdue === this.isOverdue) return;
    this.isOverdue = isNowOverdue;
    const event = isNowOverdue ? SPREADING_EVENTS.overdue : SPREADING_EVENTS.currentAgain;
    events.emit(event, { ageMs: roundFinite(ageMs), peers: peers.size });
  }

  /** Logs that this daemon awaits its turn to read, and the number of daemons from which the turn was computed. */
  logAwaitedTurn(ageMs: number, daemons: number): void {
    const { events, peers, role } = this.options;
    const remainingMs = role.awaitedTurnMs;
    const isNowAwaiting = remainingMs !== undefined;
    if (isNowAwaiting === this.isAwaitingTurn) return;
    this.isAwaitingTurn = isNowAwaiting;
    if (!isNowAwaiting) return;
    const fields = { remainingMs: Math.round(remainingMs), daemons, ageMs: roundFinite(ageMs) };
    events.emit(SPREADING_EVENTS.awaitingTurn, { ...fields, peers: peers.size });
  }

  /** Logs that this daemon has started or stopped reading. */
  logRoleChange(reason: RoleReason, nowMs: number): void {
    const { events, knowledge, peers, role } = this.options;
    const event = role.isReading ? SPREADING_EVENTS.reading : SPREADING_EVENTS.standingDown;
    const otherReaders = role.otherReaders(nowMs).length;
    const ageMs = roundFinite(knowledge.maxTopicAge());
    events.emit(event, { reason, otherReaders, ageMs, peers: peers.size });
  }
}

/** Rounds to whole ms; undefined for an infinite age, before the first confirmation. */
function roundFinite(ageMs: number): number | undefined {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}
