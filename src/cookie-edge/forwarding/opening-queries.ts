/**
 * Answers peers that have received a retransmitted SYN: whether this daemon has placed the opening, and at which back
 * end. Leaves an opening that it has not placed to the peer. Answers peers that have received another packet of a flow
 * that they do not know: where its handshake was completed.
 */
import type { Clock } from '../../common/clock.js';
import type { FlowAddresses, OpeningAnswer, OpeningQuery, YieldedOpenings } from '../opening-lookup/index.js';
import type { Flow, FlowCache } from './flow-cache.js';
import type { SharedHandshakes } from './shared-handshakes.js';
import { OPENING_ATTEMPT_MS } from './syn-schedule.js';

/** Dependencies of `OpeningQueries`. */
interface OpeningQueriesOptions {
  readonly clock: Clock;
  readonly cache: FlowCache;
  readonly yieldedOpenings: YieldedOpenings;
  readonly sharedHandshakes: SharedHandshakes;
}

/** Looks up openings in the flow cache. */
export class OpeningQueries {
  constructor(private readonly options: OpeningQueriesOptions) {}

  answer(query: OpeningQuery): OpeningAnswer {
    const { clock, cache, yieldedOpenings, sharedHandshakes } = this.options;
    const nowMs = clock.now();
    const flow = cache.find(query);
    const { acknowledgement } = query;
    if (acknowledgement !== undefined) {
      const record = sharedHandshakes.recordOf({ ...query, acknowledgement }, flow, nowMs);
      return record ?? { ...addressesOf(query), backendId: undefined, acknowledgement };
    }
    const placedFlow = flow && isOfThisAttempt(flow, nowMs) ? flow : undefined;
    // The peer places the opening itself if this answer is lost.
    if (placedFlow) sharedHandshakes.markContested(query, placedFlow, nowMs);
    else yieldedOpenings.add(query, nowMs, nowMs + OPENING_ATTEMPT_MS);
    return { ...addressesOf(query), backendId: placedFlow?.backendState.backend.id };
  }
}

function addressesOf({
  sourceAddress,
  sourcePort,
  destinationAddress,
  destinationPort,
}: FlowAddresses): FlowAddresses {
  return { sourceAddress, sourcePort, destinationAddress, destinationPort };
}

/** Returns false for an earlier flow with the same addresses, whose end another daemon may have seen. */
function isOfThisAttempt({ phase, openedAtMs }: Flow, nowMs: number): boolean {
  return phase !== 'closing' && nowMs - openedAtMs < OPENING_ATTEMPT_MS;
}
