/**
 * Tracks whether this daemon's list of back ends is considered complete, by the rule in `settlement-rule.ts`. Owns the
 * inputs of the rule: the time of the first list, the time of the last message from a settled peer, and the services in
 * the roster. Relies on gossip to report messages from settled peers, and on the roster reader to report the services.
 */
import type { Clock } from '../../common/clock.js';
import type { EventLog } from '../../observability/event.js';
import { SETTLING_MS } from './constants.js';
import { ROUTING_EVENTS } from './events.js';
import type { RoutingKnowledge } from './knowledge.js';
import { decideSettlement, settlementReason, type BackendListState } from './settlement-rule.js';

interface BackendSettlementOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly knowledge: RoutingKnowledge;
  /** Returns true while records may be missing only because back ends cannot write them. */
  readonly recordsMayLapse: () => boolean;
}

/** Tracks the state of one daemon's list. Times are monotonic ms. */
export class BackendSettlement {
  private firstListAtMs: number | undefined;
  private settledPeerAtMs = Number.NEGATIVE_INFINITY;
  /** Services with a back end in the roster that had not left; undefined before the roster was read. */
  private rosterServices: ReadonlySet<string> | undefined;
  private hasSettled = false;
  private readonly listeners: (() => void)[] = [];

  constructor(private readonly options: BackendSettlementOptions) {
    const { knowledge } = options;
    const onUpdate = (): void => {
      if (this.firstListAtMs === undefined && knowledge.revisionOf('backends') >= 0)
        this.startSettlingTimer();
      this.evaluate();
    };
    onUpdate();
    knowledge.subscribe(onUpdate);
  }

  /** Current state of the list. */
  get state(): BackendListState {
    return decideSettlement(this.currentInputs());
  }

  /** True while running back ends may be missing from the list. */
  get isUnsettled(): boolean {
    return this.state !== 'settled';
  }

  /** Returns true when the roster names back ends, but none of `service`. */
  isKnownEmpty(service: string): boolean {
    const { rosterServices } = this;
    return rosterServices !== undefined && rosterServices.size > 0 && !rosterServices.has(service);
  }

  /** Records a message from a peer that considers its own list complete. */
  recordSettledPeer(): void {
    this.settledPeerAtMs = this.options.clock.now();
    if (!this.hasSettled) this.evaluate();
  }

  /** Records that the roster was read; `services` have at least one back end in it that had not left. */
  recordRoster(services: ReadonlySet<string>): void {
    this.rosterServices = services;
    this.evaluate();
  }

  /** Calls `listener` whenever it may have become possible to serve or refuse held openings. */
  subscribe(listener: () => void): void {
    this.listeners.push(listener);
  }

  private startSettlingTimer(): void {
    this.firstListAtMs = this.options.clock.now();
    this.options.clock.schedule(SETTLING_MS, () => this.evaluate());
  }

  /** Settles the list the first time that it counts as complete. Notifies the listeners in every case. */
  private evaluate(): void {
    if (!this.hasSettled) this.settleIfDue();
    for (const listener of this.listeners) listener();
  }

  private settleIfDue(): void {
    const inputs = this.currentInputs();
    if (decideSettlement(inputs) !== 'settled') return;
    this.hasSettled = true;
    const { backends } = this.options.knowledge;
    const missing = backends.awaitedCount;
    backends.markAwaitedAsLeft();
    this.options.events.emit(ROUTING_EVENTS.backendsSettled, {
      reason: settlementReason(inputs),
      afterMs: Math.round(inputs.sinceFirstListMs ?? 0),
      missing,
    });
  }

  private currentInputs() {
    const { clock, knowledge, recordsMayLapse } = this.options;
    const nowMs = clock.now();
    const { firstListAtMs, rosterServices } = this;
    return {
      sinceFirstListMs: firstListAtMs === undefined ? undefined : nowMs - firstListAtMs,
      recordsMayLapse: recordsMayLapse(),
      sinceSettledPeerMs: nowMs - this.settledPeerAtMs,
      isRosterListed:
        rosterServices !== undefined && rosterServices.size > 0 && knowledge.backends.awaitedCount === 0,
    };
  }
}
