/**
 * Asks peers whether they have placed an opening before this daemon places a retransmitted SYN. The edge keeps the
 * packet meanwhile and delivers it again. Owns the lookups; `lookup-rule.ts` decides when one starts and ends.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import type { CookieEdgePort } from '../../fabric/cookie-edge.js';
import { OUTCOME_RETENTION_MS, SUSPENSION_MS } from './constants.js';
import { flowKey } from './flow-key.js';
import { isLookupDecided, lookupTimeoutMs, shouldSuspendLookups } from './lookup-rule.js';
import { QueryRounds } from './query-rounds.js';
import type { OpeningAnswer, OpeningPeers, OpeningQuery } from './types.js';

/** A SYN that is about to be placed. */
interface ReceivedSyn extends OpeningQuery {
  /** Time in ms since the SYN arrived. */
  readonly waitedMs: number;
  /** Time in ms for which the SYN may still be held. */
  readonly remainingHoldMs: number;
}

/**
 * `pending`: the SYN waits for answers. `not-needed`: no peer was asked. `found`: a peer has placed the opening.
 * `not-found`: no peer that answered has placed it.
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
  readonly redeliver: (waitedMs: number) => void;
  timer: TimerHandle;
  /** Undefined while the lookup is pending. */
  outcome: LookupOutcome | undefined;
}

/** Dependencies of `OpeningLookup`. */
interface OpeningLookupOptions {
  readonly clock: Clock;
  readonly edge: Pick<CookieEdgePort, 'keepPacket'>;
  readonly peers: OpeningPeers;
  /** Called when a lookup ends, before the edge delivers its SYN again. `waitedMs`: time since the SYN arrived. */
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
   * Returns the outcome of the lookup for the SYN being handled, and starts the lookup if peers must be asked. The edge
   * delivers the SYN again when a pending lookup ends.
   */
  lookUp(syn: ReceivedSyn): LookupOutcome {
    const known = this.lookups.get(flowKey(syn));
    if (known?.query.retransmissionCount === syn.retransmissionCount)
      return known.outcome ?? { kind: 'pending' };
    const { clock, peers } = this.options;
    const timeoutMs = lookupTimeoutMs(syn);
    const isPossible = timeoutMs > 0 && clock.now() >= this.suspendedUntilMs && peers.hasPeers();
    return { kind: isPossible && this.tryStart(syn, timeoutMs) ? 'pending' : 'not-needed' };
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

  /** Starts a lookup and keeps the SYN. Returns false if the limits do not admit it. */
  private tryStart(syn: ReceivedSyn, timeoutMs: number): boolean {
    const { clock, edge } = this.options;
    const key = flowKey(syn);
    const query = queryOf(syn);
    const isAdmitted = this.rounds.tryAsk(query, (peers) => {
      lookup.asked = peers.length;
      lookup.unansweredPeers = new Set(peers);
    });
    if (!isAdmitted) return false;
    const lookup: Lookup = {
      query,
      startedAtMs: clock.now(),
      waitedBeforeMs: syn.waitedMs,
      asked: 0,
      unansweredPeers: new Set(),
      redeliver: edge.keepPacket(),
      timer: clock.schedule(timeoutMs, () => this.endWithoutPlacement(key, lookup)),
      outcome: undefined,
    };
    this.lookups.set(key, lookup);
    return true;
  }

  private endWithoutPlacement(key: string, lookup: Lookup): void {
    const { asked, unansweredPeers } = lookup;
    if (shouldSuspendLookups(asked, unansweredPeers.size))
      this.suspendedUntilMs = this.options.clock.now() + SUSPENSION_MS;
    this.end(key, lookup, { kind: 'not-found', asked, unanswered: unansweredPeers.size });
  }

  /** Delivers the SYN again. The outcome is kept until then, also if the SYN is held for another reason meanwhile. */
  private end(key: string, lookup: Lookup, outcome: LookupOutcome): void {
    const { clock, onEnd } = this.options;
    const waitedMs = lookup.waitedBeforeMs + clock.now() - lookup.startedAtMs;
    lookup.timer.cancel();
    lookup.outcome = outcome;
    lookup.timer = clock.schedule(OUTCOME_RETENTION_MS, () => {
      if (this.lookups.get(key) === lookup) this.lookups.delete(key);
    });
    onEnd(lookup.query, outcome, waitedMs);
    lookup.redeliver(waitedMs);
  }
}

/** Copies the fields of a query: the edge reuses its packets. */
function queryOf({
  sourceAddress,
  sourcePort,
  destinationAddress,
  destinationPort,
  retransmissionCount,
}: OpeningQuery): OpeningQuery {
  return { sourceAddress, sourcePort, destinationAddress, destinationPort, retransmissionCount };
}
