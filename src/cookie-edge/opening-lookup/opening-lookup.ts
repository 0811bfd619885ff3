/**
 * Asks peers whether they have placed an opening before this daemon places a retransmitted SYN, or whether they know
 * where its handshake was completed. The edge keeps the packets meanwhile and delivers them again. Owns the lookups;
 * `lookup-rule.ts` decides when one starts and ends.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import type { CookieEdgePort } from '../../fabric/cookie-edge.js';
import { LOOKUP_TIMEOUT_MS, MAX_KEPT_PACKETS, OUTCOME_RETENTION_MS, SUSPENSION_MS } from './constants.js';
import { flowKey } from './flow-key.js';
import { isLookupDecided, lookupTimeoutMs, shouldSuspendLookups } from './lookup-rule.js';
import { QueryRounds } from './query-rounds.js';
import type { FlowAddresses, OpeningAnswer, OpeningPeers, OpeningQuery } from './types.js';

/** A packet whose back end is about to be decided. */
interface ReceivedPacket extends OpeningQuery {
  /** Time in ms since the packet arrived. */
  readonly waitedMs: number;
  /** Time in ms for which the packet may still be held. */
  readonly remainingHoldMs: number;
}

/**
 * `pending`: the packet waits for answers. `not-needed`: no peer was asked. `found`: a peer knows the back end.
 * `not-found`: no peer that answered knows it.
 */
export type LookupOutcome =
  | { readonly kind: 'pending' | 'not-needed' }
  | { readonly kind: 'found'; readonly backendId: string; readonly peer: string }
  | { readonly kind: 'not-found'; readonly asked: number; readonly unanswered: number };

/** A lookup that was started. Times are monotonic ms. */
interface Lookup {
  readonly query: OpeningQuery;
  readonly startedAtMs: number;
  readonly waitedBeforeMs: number;
  asked: number;
  unansweredPeers: Set<string>;
  /** Deliver the kept packets, in the order of their arrival. */
  readonly redeliveries: ((waitedMs: number) => void)[];
  timer: TimerHandle;
  /** Undefined while the lookup is pending. */
  outcome: LookupOutcome | undefined;
}

/** Dependencies of `OpeningLookup`. */
interface OpeningLookupOptions {
  readonly clock: Clock;
  readonly edge: Pick<CookieEdgePort, 'keepPacket'>;
  readonly peers: OpeningPeers;
  /** Called when a lookup ends, before its packets are delivered again. `waitedMs`: time since the first arrived. */
  readonly onEnd: (query: OpeningQuery, outcome: LookupOutcome, waitedMs: number) => void;
}

/** Lookups of one daemon. */
export class OpeningLookup {
  private readonly lookups = new Map<string, Lookup>();
  private readonly rounds: QueryRounds;
  private suspendedUntilMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: OpeningLookupOptions) {
    this.rounds = new QueryRounds(options);
  }

  /**
   * Returns the outcome of the lookup for the packet being handled, and starts the lookup if peers must be asked. The
   * edge delivers the packet again when a pending lookup ends.
   */
  lookUp(packet: ReceivedPacket): LookupOutcome {
    const known = this.lookups.get(flowKey(packet));
    if (known?.query.retransmissionCount === packet.retransmissionCount) return this.joinLookup(known);
    const { clock, peers } = this.options;
    const timeoutMs = lookupTimeoutMs(packet);
    const isPossible = timeoutMs > 0 && clock.now() >= this.suspendedUntilMs && peers.hasPeers();
    return { kind: isPossible && this.tryStart(packet, timeoutMs) ? 'pending' : 'not-needed' };
  }

  /** Returns the outcome of a lookup. While it is pending, a further packet of an open flow is kept like the first. */
  private joinLookup({ outcome, query, redeliveries }: Lookup): LookupOutcome {
    if (outcome) return outcome;
    if (query.acknowledgement !== undefined && redeliveries.length < MAX_KEPT_PACKETS)
      redeliveries.push(this.options.edge.keepPacket());
    return { kind: 'pending' };
  }

  /** Returns true while a lookup of the flow with these addresses waits for answers. */
  isPending(flow: FlowAddresses): boolean {
    if (this.lookups.size === 0) return false;
    const lookup = this.lookups.get(flowKey(flow));
    return lookup !== undefined && lookup.outcome === undefined;
  }

  /** Applies an answer of the peer with this key. */
  applyAnswer({ backendId, ...flow }: OpeningAnswer, peer: string): void {
    const lookup = this.lookups.get(flowKey(flow));
    if (!lookup || lookup.outcome || !lookup.unansweredPeers.delete(peer)) return;
    if (!isLookupDecided(backendId, lookup.unansweredPeers.size)) return;
    if (backendId === undefined) this.endWithoutPlacement(flowKey(flow), lookup);
    else this.end(flowKey(flow), lookup, { kind: 'found', backendId, peer });
  }

  /** Discards all lookups and their packets. */
  stop(): void {
    this.rounds.stop();
    for (const { timer } of this.lookups.values()) timer.cancel();
    this.lookups.clear();
  }

  /** Starts a lookup and keeps the packet. Returns false if the limits do not admit it. */
  private tryStart(packet: ReceivedPacket, timeoutMs: number): boolean {
    const { clock, edge } = this.options;
    const key = flowKey(packet);
    const query = queryOf(packet);
    const isAdmitted = this.rounds.tryAsk(query, (peers) => {
      lookup.asked = peers.length;
      lookup.unansweredPeers = new Set(peers);
    });
    if (!isAdmitted) return false;
    const lookup: Lookup = {
      query,
      startedAtMs: clock.now(),
      waitedBeforeMs: packet.waitedMs,
      asked: 0,
      unansweredPeers: new Set(),
      redeliveries: [edge.keepPacket()],
      timer: clock.schedule(timeoutMs, () => this.onTimeout(key, lookup)),
      outcome: undefined,
    };
    this.lookups.set(key, lookup);
    return true;
  }

  /**
   * Ends a lookup. That of an open flow goes on while this daemon has not found a peer to ask since its start, because
   * a wrong back end would end the flow, and its caller sends the packet again meanwhile.
   */
  private onTimeout(key: string, lookup: Lookup): void {
    const { clock, peers } = this.options;
    const isAwaitingPeers = lookup.asked === 0 && peers.hasPeers();
    if (lookup.query.acknowledgement === undefined || !isAwaitingPeers)
      return this.endWithoutPlacement(key, lookup);
    lookup.timer = clock.schedule(LOOKUP_TIMEOUT_MS, () => this.onTimeout(key, lookup));
  }

  private endWithoutPlacement(key: string, lookup: Lookup): void {
    const { asked, unansweredPeers } = lookup;
    const isSyn = lookup.query.acknowledgement === undefined;
    if (isSyn && shouldSuspendLookups(asked, unansweredPeers.size))
      this.suspendedUntilMs = this.options.clock.now() + SUSPENSION_MS;
    this.end(key, lookup, { kind: 'not-found', asked, unanswered: unansweredPeers.size });
  }

  /** Delivers the packets again. The outcome is kept until then, also if a SYN is held for another reason meanwhile. */
  private end(key: string, lookup: Lookup, outcome: LookupOutcome): void {
    const { clock, onEnd } = this.options;
    const waitedMs = lookup.waitedBeforeMs + clock.now() - lookup.startedAtMs;
    lookup.timer.cancel();
    lookup.outcome = outcome;
    lookup.timer = clock.schedule(OUTCOME_RETENTION_MS, () => {
      if (this.lookups.get(key) === lookup) this.lookups.delete(key);
    });
    onEnd(lookup.query, outcome, waitedMs);
    for (const redeliver of lookup.redeliveries.splice(0)) redeliver(waitedMs);
  }
}

/** Copies the fields of a query: the edge reuses its packets. */
function queryOf({
  sourceAddress,
  sourcePort,
  destinationAddress,
  destinationPort,
  retransmissionCount,
  acknowledgement,
}: OpeningQuery): OpeningQuery {
  return {
    sourceAddress,
    sourcePort,
    destinationAddress,
    destinationPort,
    retransmissionCount,
    ...(acknowledgement !== undefined && { acknowledgement }),
  };
}
