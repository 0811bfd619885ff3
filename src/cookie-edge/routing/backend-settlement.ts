/**
 * Whether this daemon's list of back ends is to be believed, by the rule in `settlement-rule.ts`. Owns what the rule
 * looks at: the time of the first list, the last word of a settled peer, what the roster names. Relies on the roster's
 * reader and on gossip to report both.
 */
import type { Clock } from '../../common/clock.js';
import type { EventLog } from '../../observability/event.js';
import { SETTLING_MS } from './constants.js';
import { ROUTING_EVENTS } from './events.js';
import type { RoutingKnowledge } from './knowledge.js';
import { decideSettlement, settlementReason, type BackendKnowledge } from './settlement-rule.js';

/** Collaborators. */
interface BackendSettlementOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly knowledge: RoutingKnowledge;
  /** True while records may vanish because their owners cannot write. */
  readonly recordsMayLapse: () => boolean;
}

/** The state of one daemon's list. Times are monotonic ms. */
export class BackendSettlement {
  private firstListAtMs: number | undefined;
  private settledPeerAtMs = Number.NEGATIVE_INFINITY;
  /** Services of which the roster names a back end that had not left; undefined before it was read. */
  private rosterServices: ReadonlySet<string> | undefined;
  private hasSettled = false;
  private readonly listeners: (() => void)[] = [];

  constructor(private readonly options: BackendSettlementOptions) {
    const { knowledge } = options;
    const onUpdate = (): void => {
      if (this.firstListAtMs === undefined && knowledge.revisionOf('backends') >= 0) this.beginSettling();
      this.review();
    };
    onUpdate();
    knowledge.subscribe(onUpdate);
  }

  /** How far the list is known now. */
  get state(): BackendKnowledge {
    return decideSettlement(this.inputs());
  }

  /** True while back ends that live may be missing from the list. */
  get isUnsettled(): boolean {
    return this.state !== 'settled';
  }

  /** True when the roster shows that no back end of `service` is to be expected. */
  isKnownEmpty(service: string): boolean {
    const { rosterServices } = this;
    return rosterServices !== undefined && rosterServices.size > 0 && !rosterServices.has(service);
  }

  /** Records a message of a peer that believes its own list. */
  recordSettledPeer(): void {
    this.settledPeerAtMs = this.options.clock.now();
    if (!this.hasSettled) this.review();
  }

  /** Records that the roster was read; `services` are those of which it names a back end that had not left. */
  recordRoster(services: ReadonlySet<string>): void {
    this.rosterServices = services;
    this.review();
  }

  /** Calls `listener` whenever an opening that could not be served may be served, or refused, by now. */
  subscribe(listener: () => void): void {
    this.listeners.push(listener);
  }

  private beginSettling(): void {
    this.firstListAtMs = this.options.clock.now();
    this.options.clock.schedule(SETTLING_MS, () => this.review());
  }

  /** Notes the first time that the list is believed, and tells the listeners. */
  private review(): void {
    if (!this.hasSettled) this.settleIfDue();
    for (const listener of this.listeners) listener();
  }

  private settleIfDue(): void {
    const inputs = this.inputs();
    if (decideSettlement(inputs) !== 'settled') return;
    this.hasSettled = true;
    const { backends } = this.options.knowledge;
    const missing = backends.awaitedCount;
    backends.settleRemembered();
    this.options.events.emit(ROUTING_EVENTS.backendsSettled, {
      reason: settlementReason(inputs),
      afterMs: Math.round(inputs.sinceFirstListMs ?? 0),
      missing,
    });
  }

  private inputs() {
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
