/**
 * Asks peers whether they have placed an opening before this daemon places a retransmitted SYN. The edge keeps the
 * packet meanwhile and delivers it again. Owns the lookups; `lookup-rule.ts` decides when one starts and ends.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import type { CookieEdgePort } from '../../fabric/cookie-edge.js';
import { OUTCOME_RETENTION_MS } from './constants.js';
import { flowKey } from './flow-key.js';
import { LookupBudget } from './lookup-budget.js';
import { isLookupDecided, lookupTimeoutMs } from './lookup-rule.js';
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
  readonly asked: number;
  readonly unansweredPeers: Set<string>;
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
  private readonly budget = new LookupBudget();

  constructor(private readonly options: OpeningLookupOptions) {}

  /**
   * Returns the outcome of the lookup for the SYN being handled, and starts the lookup if peers must be asked. The edge
   * delivers the SYN again when a pending lookup ends.
   */
  lookUp(syn: ReceivedSyn): LookupOutcome {
    const known = this.lookups.get(flowKey(syn));
    if (known?.query.retransmissionCount === syn.retransmissionCount)
      return known.outcome ?? { kind: 'pending' };
    const timeoutMs = lookupTimeoutMs(syn);
    if (timeoutMs === 0 || !this.budget.tryTake(this.options.clock.now())) return { kind: 'not-needed' };
    const peers = this.options.peers.askAboutOpening(queryOf(syn));
    if (peers.length === 0) return { kind: 'not-needed' };
    this.start(syn, peers, timeoutMs);
    return { kind: 'pending' };
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
    for (const { timer } of this.lookups.values()) timer.cancel();
    this.lookups.clear();
  }

  private start(syn: ReceivedSyn, peers: readonly string[], timeoutMs: number): void {
    const { clock, edge } = this.options;
    const key = flowKey(syn);
    this.lookups.get(key)?.timer.cancel();
    const lookup: Lookup = {
      query: queryOf(syn),
      startedAtMs: clock.now(),
      waitedBeforeMs: syn.waitedMs,
      asked: peers.length,
      unansweredPeers: new Set(peers),
      redeliver: edge.keepPacket(),
      timer: clock.schedule(timeoutMs, () => this.endWithoutPlacement(key, lookup)),
      outcome: undefined,
    };
    this.lookups.set(key, lookup);
  }

  private endWithoutPlacement(key: string, lookup: Lookup): void {
    const { asked, unansweredPeers } = lookup;
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
