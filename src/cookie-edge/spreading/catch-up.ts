/**
 * Gets what this daemon lacks and a peer has: by a question that the peer's log answers in a datagram, or by fetching it over a
 * connection, from the own zone first.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import type { RandomSource } from '../../common/random.js';
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import type { EventLog } from '../../observability/event.js';
import type { RoutingKnowledge, RoutingTopic } from '../routing/index.js';
import {
  RESPONSE_TIMEOUT_MS,
  FAR_FETCH_SPREAD_MS,
  FAR_FETCH_WAIT_MS,
  FETCH_INTERVAL_MS,
  NOTHING_KNOWN,
} from './constants.js';
import { SPREADING_EVENTS } from './events.js';
import { decodePeerMessage } from './message-codec.js';
import { knownRevisionsOf } from './message-composer.js';
import type { KnownRevisions, PeerMessage, PeerTransport } from './types.js';

/** What catching up needs. */
interface CatchUpOptions {
  readonly zone: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly knowledge: RoutingKnowledge;
  readonly transport: PeerTransport;
  /** Sends a question. */
  readonly sendRequest: (peer: Endpoint) => void;
  /** Takes a fetched message in. */
  readonly apply: (message: PeerMessage, from: Endpoint) => void;
}

/** See the module. */
export class CatchUp {
  /** The question for missing changes that is under way. */
  private question: { readonly peer: string; readonly atMs: number } | undefined;
  private farFetchTimer: TimerHandle | undefined;
  private lastFetchMs = Number.NEGATIVE_INFINITY;
  private fetching = false;
  private fetchCount = 0;
  /** Back ends that left before the start of this daemon are known, or there were none. */
  private knowsDeparted = false;

  constructor(private readonly options: CatchUpOptions) {}

  /** Fetches since start. */
  get fetches(): number {
    return this.fetchCount;
  }

  /** Notes a message of a peer after which nothing is missing. */
  recordNothingMissing(from: Endpoint): void {
    if (this.question?.peer === formatEndpoint(from)) this.question = undefined;
  }

  /**
   * Asks for what is missing; the answer comes from the peer's log if it fits. One question is under way at a time, since
   * many tell of the same change at once. Who knows nothing, or lacks something after an answer, fetches.
   */
  requestMissing(
    missing: readonly RoutingTopic[],
    { senderZone, confirmations }: PeerMessage,
    from: Endpoint,
  ): void {
    const { clock, knowledge, zone } = this.options;
    const nowMs = clock.now();
    const isNew = missing.some((topic) => knowledge.revisionOf(topic) === NOTHING_KNOWN);
    const wasAnswered = this.question?.peer === formatEndpoint(from);
    const isWaiting = this.question !== undefined && nowMs - this.question.atMs < RESPONSE_TIMEOUT_MS;
    if (!isNew && !wasAnswered) {
      if (!isWaiting) this.askFor(from, nowMs);
      return;
    }
    this.question = undefined;
    if (senderZone === zone) return void this.fetch(from);
    const isMissing = (): boolean =>
      missing.some((topic) => knowledge.revisionOf(topic) < (confirmations[topic]?.changedRevision ?? 0));
    this.fetchFar(from, isNew, isMissing);
  }

  /** The source lists no back ends that left; flows to them may be open all the same. Asked for once after the start. */
  learnDeparted(from: Endpoint): void {
    const { knowledge } = this.options;
    if (this.knowsDeparted || knowledge.backends.departedCount > 0) {
      this.knowsDeparted = true;
      return;
    }
    void this.fetch(from, { ...knownRevisionsOf(knowledge), backends: NOTHING_KNOWN });
  }

  /** Fetches nothing any more of its own accord. */
  stop(): void {
    this.farFetchTimer?.cancel();
  }

  private askFor(from: Endpoint, nowMs: number): void {
    this.question = { peer: formatEndpoint(from), atMs: nowMs };
    this.options.sendRequest(from);
  }

  /** Fetches from a peer of another zone, unless a nearer one makes that needless meanwhile. */
  private fetchFar(from: Endpoint, isNew: boolean, isMissing: () => boolean): void {
    const { clock, random } = this.options;
    const waitMs = FAR_FETCH_WAIT_MS + (isNew ? 0 : random() * FAR_FETCH_SPREAD_MS);
    this.farFetchTimer ??= clock.schedule(waitMs, () => {
      this.farFetchTimer = undefined;
      if (isMissing()) void this.fetch(from);
    });
  }

  private async fetch(from: Endpoint, known?: KnownRevisions): Promise<void> {
    const { clock, transport, events, knowledge, apply } = this.options;
    const askedAtMs = clock.now();
    if (this.fetching || askedAtMs - this.lastFetchMs < FETCH_INTERVAL_MS) return;
    this.fetching = true;
    this.lastFetchMs = askedAtMs;
    this.fetchCount += 1;
    const answer = await transport.fetch(from, known ?? knownRevisionsOf(knowledge));
    this.fetching = false;
    const peer = formatEndpoint(from);
    if (answer.isErr) return events.emit(SPREADING_EVENTS.fetchFailed, { peer, error: answer.error.message });
    const message = decodePeerMessage(answer.value, askedAtMs);
    if (!message) return events.emit(SPREADING_EVENTS.malformedMessage, { from: peer });
    const ageMs = knowledge.age();
    events.emit(SPREADING_EVENTS.fetched, {
      peer,
      bytes: answer.value.length,
      ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
    });
    apply(message, from);
  }
}
