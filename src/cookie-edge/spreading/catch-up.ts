/**
 * Closes gaps in this daemon's knowledge by pulling from peers, as the rule in `pull-rule.ts` decides: a request that
 * the peer's log answers in a datagram, or a fetch over a connection, from the own zone first. Owns the request and
 * the fetch under way.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import type { RandomSource } from '../../common/random.js';
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import type { EventLog } from '../../observability/event.js';
import { isBefore, type RoutingKnowledge, type RoutingTopic } from '../routing/index.js';
import { FAR_FETCH_SPREAD_MS, FAR_FETCH_WAIT_MS, NOTHING_KNOWN } from './constants.js';
import { SPREADING_EVENTS } from './events.js';
import { decodePeerMessage } from './message-codec.js';
import { knownRevisionsOf } from './message-composer.js';
import { decidePull, mayFetch, mayLearnDeparted } from './pull-rule.js';
import type { KnownRevisions, PeerMessage, PeerTransport, SpreadUpdate } from './types.js';

/** Collaborators of catching up. */
interface CatchUpOptions {
  readonly zone: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly knowledge: RoutingKnowledge;
  readonly transport: PeerTransport;
  /** Sends a pull request. */
  readonly sendRequest: (peer: Endpoint) => void;
  /** Applies a fetched message. */
  readonly apply: (message: PeerMessage, from: Endpoint) => void;
}

/** Pulls of one daemon. */
export class CatchUp {
  /** The request for missing changes that is under way. */
  private pending: { readonly peer: string; readonly atMs: number } | undefined;
  private farFetchTimer: TimerHandle | undefined;
  private lastFetchMs = Number.NEGATIVE_INFINITY;
  private isFetching = false;
  private fetchCount = 0;
  /** Whole lists of back ends, departed ones included, that were fetched from peers. */
  private wholeLists = 0;
  private isWholeListWanted = false;

  private readonly startedAtMs: number;

  constructor(private readonly options: CatchUpOptions) {
    this.startedAtMs = options.clock.now();
  }

  /** Fetches since start. */
  get fetches(): number {
    return this.fetchCount;
  }

  /** False while a peer is known to remember back ends that left, and none has told which. */
  get hasLearntDeparted(): boolean {
    return this.wholeLists > 0 || !this.isWholeListWanted;
  }

  /** Records that nothing is missing after a message of this peer. */
  recordNothingMissing(from: Endpoint): void {
    if (this.pending?.peer === formatEndpoint(from)) this.pending = undefined;
  }

  /** Closes the gap that a message of a peer has shown: `missing` are the topics of which the peer knows more. */
  requestMissing(missing: readonly RoutingTopic[], message: PeerMessage, from: Endpoint): void {
    const { clock, knowledge, zone } = this.options;
    const nowMs = clock.now();
    const isWholeTopic = missing.some((topic) => knowledge.revisionOf(topic) === NOTHING_KNOWN);
    const outcome = decidePull({
      isWholeTopic,
      isResponse: this.pending?.peer === formatEndpoint(from),
      sinceRequestMs: nowMs - (this.pending?.atMs ?? Number.NEGATIVE_INFINITY),
      isSameZone: message.senderZone === zone,
    });
    if (outcome === 'await-response') return;
    if (outcome === 'request') return this.requestFrom(from, nowMs);
    this.pending = undefined;
    if (outcome === 'fetch') return void this.fetch(from);
    const isStillMissing = (): boolean =>
      missing.some((topic) => {
        const { epoch, changedRevision = 0 } = message.confirmations[topic] ?? {};
        return isBefore(knowledge.confirmationOf(topic), { epoch, revision: changedRevision });
      });
    this.fetchFar(from, isWholeTopic, isStillMissing);
  }

  /**
   * Fetches what only peers know of back ends, as `mayLearnDeparted` says.
   *
   * @param departedThere departed back ends that the peer remembers
   */
  learnDeparted(from: Endpoint, departedThere: number): void {
    const { clock, knowledge } = this.options;
    const { wholeLists } = this;
    const uptimeMs = clock.now() - this.startedAtMs;
    const { departedCount: departedHere } = knowledge.backends;
    if (!mayLearnDeparted({ uptimeMs, wholeLists, departedThere, departedHere })) return;
    this.isWholeListWanted = true;
    void this.fetch(from, { ...knownRevisionsOf(knowledge), backends: NOTHING_KNOWN });
  }

  /** Cancels a fetch that has not started. */
  stop(): void {
    this.farFetchTimer?.cancel();
  }

  private requestFrom(from: Endpoint, nowMs: number): void {
    this.pending = { peer: formatEndpoint(from), atMs: nowMs };
    this.options.sendRequest(from);
  }

  /** Fetches from a peer of another zone, unless a nearer one closes the gap meanwhile. */
  private fetchFar(from: Endpoint, isWholeTopic: boolean, isStillMissing: () => boolean): void {
    const { clock, random } = this.options;
    const waitMs = FAR_FETCH_WAIT_MS + (isWholeTopic ? 0 : random() * FAR_FETCH_SPREAD_MS);
    this.farFetchTimer ??= clock.schedule(waitMs, () => {
      this.farFetchTimer = undefined;
      if (isStillMissing()) void this.fetch(from);
    });
  }

  private async fetch(from: Endpoint, known?: KnownRevisions): Promise<void> {
    const { clock, transport, events, knowledge, apply } = this.options;
    const requestedAtMs = clock.now();
    if (!mayFetch(this.isFetching, requestedAtMs - this.lastFetchMs)) return;
    this.isFetching = true;
    this.lastFetchMs = requestedAtMs;
    this.fetchCount += 1;
    const response = await transport.fetch(from, known ?? knownRevisionsOf(knowledge));
    this.isFetching = false;
    const peer = formatEndpoint(from);
    if (response.isErr)
      return events.emit(SPREADING_EVENTS.fetchFailed, { peer, error: response.error.message });
    const message = decodePeerMessage(response.value, requestedAtMs);
    if (!message) return events.emit(SPREADING_EVENTS.malformedMessage, { from: peer });
    if (message.updates.some(isWholeList)) this.wholeLists += 1;
    const ageMs = knowledge.age();
    events.emit(SPREADING_EVENTS.fetched, {
      peer,
      bytes: response.value.length,
      ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
    });
    apply(message, from);
  }
}

function isWholeList({ topic, update }: SpreadUpdate): boolean {
  return topic === 'backends' && update.complete;
}
