/**
 * Sends queries about openings to peers in rounds: a query is sent in the next turn of the event loop, or shares a
 * later round with others if one was just sent or no peer is known yet. Owns the waiting queries and the budget of
 * rounds.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import { MAX_QUERIES_PER_ROUND, ROUND_INTERVAL_MS } from './constants.js';
import { RoundBudget } from './round-budget.js';
import type { OpeningPeers, OpeningQuery } from './types.js';

/** Called with the keys of the peers that were asked. */
type AskedCallback = (peers: readonly string[]) => void;

interface WaitingQuery {
  readonly query: OpeningQuery;
  readonly onAsked: AskedCallback;
}

/** Dependencies of `QueryRounds`. */
interface QueryRoundsOptions {
  readonly clock: Clock;
  readonly peers: OpeningPeers;
}

/** Rounds of queries of one daemon. */
export class QueryRounds {
  private waiting: WaitingQuery[] = [];
  private timer: TimerHandle | undefined;
  private lastRoundMs = Number.NEGATIVE_INFINITY;
  private readonly budget = new RoundBudget();

  constructor(private readonly options: QueryRoundsOptions) {}

  /** Sends a query with the next round and then calls `onAsked`. Returns false if the limits do not admit it. */
  tryAsk(query: OpeningQuery, onAsked: AskedCallback): boolean {
    const { clock } = this.options;
    const nowMs = clock.now();
    const sharesRound = this.timer !== undefined;
    if (sharesRound ? this.waiting.length >= MAX_QUERIES_PER_ROUND : !this.budget.tryTake(nowMs))
      return false;
    this.waiting.push({ query, onAsked });
    const waitMs = Math.max(0, this.lastRoundMs + ROUND_INTERVAL_MS - nowMs);
    this.timer ??= clock.schedule(waitMs, () => this.sendRound());
    return true;
  }

  /** Discards the waiting queries. */
  stop(): void {
    this.timer?.cancel();
    this.waiting = [];
  }

  private sendRound(): void {
    const { clock, peers } = this.options;
    const round = this.waiting;
    this.timer = undefined;
    this.waiting = [];
    this.lastRoundMs = clock.now();
    const asked = peers.askAboutOpenings(round.map(({ query }) => query));
    if (asked.length === 0 && peers.hasPeers()) return this.sendLater(round);
    for (const { onAsked } of round) onAsked(asked);
  }

  /** Keeps the queries of a daemon that has just started until it knows a peer. */
  private sendLater(round: readonly WaitingQuery[]): void {
    this.waiting = [...round];
    this.timer = this.options.clock.schedule(ROUND_INTERVAL_MS, () => this.sendRound());
  }
}
