/**
 * Answers peers that have received a retransmitted SYN: whether this daemon has placed the opening, and at which back
 * end. Leaves an opening that it has not placed to the peer.
 */
import type { Clock } from '../../common/clock.js';
import type { OpeningAnswer, OpeningQuery, YieldedOpenings } from '../opening-lookup/index.js';
import type { Flow, FlowCache } from './flow-cache.js';
import { OPENING_ATTEMPT_MS } from './syn-schedule.js';

/** Dependencies of `OpeningQueries`. */
interface OpeningQueriesOptions {
  readonly clock: Clock;
  readonly cache: FlowCache;
  readonly yieldedOpenings: YieldedOpenings;
}

/** Looks up openings in the flow cache. */
export class OpeningQueries {
  constructor(private readonly options: OpeningQueriesOptions) {}

  answer(query: OpeningQuery): OpeningAnswer {
    const { clock, cache, yieldedOpenings } = this.options;
    const nowMs = clock.now();
    const flow = cache.find(query);
    const backendId = flow && isOfThisAttempt(flow, nowMs) ? flow.backendState.backend.id : undefined;
    if (backendId === undefined) yieldedOpenings.add(query, nowMs, nowMs + OPENING_ATTEMPT_MS);
    const { sourceAddress, sourcePort, destinationAddress, destinationPort } = query;
    return { sourceAddress, sourcePort, destinationAddress, destinationPort, backendId };
  }
}

/** Returns false for an earlier flow with the same addresses, whose end another daemon may have seen. */
function isOfThisAttempt({ phase, openedAtMs }: Flow, nowMs: number): boolean {
  return phase !== 'closing' && nowMs - openedAtMs < OPENING_ATTEMPT_MS;
}
