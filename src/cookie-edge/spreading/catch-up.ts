/**
 * Closes gaps in this daemon's knowledge by pulling from peers. `pull-rule.ts` decides between two ways: a request,
 * which the peer answers from its update log in one datagram, and a fetch over a connection, preferably from a peer in
 * the same zone. Owns the pending request, the running fetch and the newest changes that peers announced.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import type { RandomSource } from '../../common/random.js';
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import type { EventLog } from '../../observability/event.js';
import { isBefore, type RoutingKnowledge, type RoutingTopic, type SourcePosition } from '../routing/index.js';
import { CROSS_ZONE_FETCH_JITTER_MS, CROSS_ZONE_FETCH_DELAY_MS, NOTHING_KNOWN } from './constants.js';
import { SPREADING_EVENTS } from './events.js';
import { decodePeerMessage } from './message-codec.js';
import { knownRevisionsOf } from './message-composer.js';
import { decidePull, canStartFetch, shouldFetchDeparted } from './pull-rule.js';
import type { KnownRevisions, PeerMessage, PeerTransport, TopicUpdate } from './types.js';

interface CatchUpOptions {
  readonly zone: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly knowledge: RoutingKnowledge;
  readonly transport: PeerTransport;
  /** Sends a pull request to a peer. */
  readonly sendRequest: (peer: Endpoint) => void;
  /** Applies a fetched message. */
  readonly applyMessage: (message: PeerMessage, from: Endpoint) => void;
}

/** Requests and fetches the updates that are missing at this daemon. */
export class CatchUp {
  /** The request that waits for its response. */
  private pendingRequest: { readonly peer: string; readonly atMs: number } | undefined;
  private crossZoneFetchTimer: TimerHandle | undefined;
  /** Position of the newest change of each topic that a peer announced while it was missing here. */
  private readonly announced: Partial<Record<RoutingTopic, SourcePosition>> = {};
  private lastFetchMs = Number.NEGATIVE_INFINITY;
  private isFetching = false;
  private fetchCount = 0;
  /** Number of complete lists of back ends, including departed ones, that were fetched from peers. */
  private completeListsFetched = 0;
  private isCompleteListNeeded = false;
  private readonly startedAtMs: number;

  constructor(private readonly options: CatchUpOptions) {
    this.startedAtMs = options.clock.now();
  }

  /** Number of fetches since the start. */
  get fetches(): number {
    return this.fetchCount;
  }

  /** False after a peer reported departed back ends, until a complete list of them has been fetched. */
  get hasReceivedDeparted(): boolean {
    return this.completeListsFetched > 0 || !this.isCompleteListNeeded;
  }

  /** True while a change is missing that a peer has announced: the source has answered another daemon. */
  get lacksAnnouncedChange(): boolean {
    const { knowledge } = this.options;
    return knowledge.topics.some((topic) => {
      const position = this.announced[topic];
      return position !== undefined && isBefore(knowledge.confirmationOf(topic), position);
    });
  }

  /** Records which changes a peer's message announces. The message may have waited before it was read. */
  recordAnnouncement({ confirmations }: PeerMessage): void {
    const { knowledge } = this.options;
    for (const topic of knowledge.topics) {
      const confirmation = confirmations[topic];
      if (!confirmation) continue;
      const position = { epoch: confirmation.epoch, revision: confirmation.changedRevision };
      const newest = this.announced[topic] ?? knowledge.confirmationOf(topic);
      if (isBefore(newest, position)) this.announced[topic] = position;
    }
  }

  /**
   * Clears the pending request if it went to this peer. Call when a message of the peer shows that nothing is missing.
   */
  clearPendingRequest(from: Endpoint): void {
    if (this.pendingRequest?.peer === formatEndpoint(from)) this.pendingRequest = undefined;
  }

  /** Closes the gap that a message revealed: `missing` are the topics for which the sender has newer changes. */
  closeGap(missing: readonly RoutingTopic[], message: PeerMessage, from: Endpoint): void {
    const { clock, knowledge, zone } = this.options;
    const nowMs = clock.now();
    const isTopicUnknown = missing.some((topic) => knowledge.revisionOf(topic) === NOTHING_KNOWN);
    const outcome = decidePull({
      isTopicUnknown,
      isResponse: this.pendingRequest?.peer === formatEndpoint(from),
      sinceRequestMs: nowMs - (this.pendingRequest?.atMs ?? Number.NEGATIVE_INFINITY),
      isSameZone: message.senderZone === zone,
    });
    if (outcome === 'await-response') return;
    if (outcome === 'request') return this.requestFrom(from, nowMs);
    this.pendingRequest = undefined;
    if (outcome === 'fetch') return void this.fetch(from);
    const isStillMissing = (): boolean =>
      missing.some((topic) => {
        const { epoch, changedRevision = 0 } = message.confirmations[topic] ?? {};
        return isBefore(knowledge.confirmationOf(topic), { epoch, revision: changedRevision });
      });
    this.fetchAcrossZones(from, isTopicUnknown, isStillMissing);
  }

  /**
   * Fetches the complete list of back ends if `shouldFetchDeparted` says so: the source does not list departed ones.
   *
   * @param peerDepartedCount number of departed back ends that the peer remembers
   */
  fetchDepartedBackends(from: Endpoint, peerDepartedCount: number): void {
    const { clock, knowledge } = this.options;
    const { completeListsFetched } = this;
    const uptimeMs = clock.now() - this.startedAtMs;
    const { departedCount: ownDepartedCount } = knowledge.backends;
    if (!shouldFetchDeparted({ uptimeMs, completeListsFetched, peerDepartedCount, ownDepartedCount })) return;
    this.isCompleteListNeeded = true;
    void this.fetch(from, { ...knownRevisionsOf(knowledge), backends: NOTHING_KNOWN });
  }

  /** Cancels the delayed fetch from another zone, if one is scheduled. */
  stop(): void {
    this.crossZoneFetchTimer?.cancel();
  }

  private requestFrom(from: Endpoint, nowMs: number): void {
    this.pendingRequest = { peer: formatEndpoint(from), atMs: nowMs };
    this.options.sendRequest(from);
  }

  /** Fetches from a peer of another zone after a delay, unless a peer of the same zone closes the gap before. */
  private fetchAcrossZones(from: Endpoint, isTopicUnknown: boolean, isStillMissing: () => boolean): void {
    const { clock, random } = this.options;
    const waitMs = CROSS_ZONE_FETCH_DELAY_MS + (isTopicUnknown ? 0 : random() * CROSS_ZONE_FETCH_JITTER_MS);
    this.crossZoneFetchTimer ??= clock.schedule(waitMs, () => {
      this.crossZoneFetchTimer = undefined;
      if (isStillMissing()) void this.fetch(from);
    });
  }

  private async fetch(from: Endpoint, known?: KnownRevisions): Promise<void> {
    const { clock, transport, events, knowledge, applyMessage } = this.options;
    const requestedAtMs = clock.now();
    if (!canStartFetch(this.isFetching, requestedAtMs - this.lastFetchMs)) return;
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
    if (message.updates.some(isCompleteBackendList)) this.completeListsFetched += 1;
    const ageMs = knowledge.maxTopicAge();
    events.emit(SPREADING_EVENTS.fetched, {
      peer,
      bytes: response.value.length,
      ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
    });
    applyMessage(message, from);
  }
}

function isCompleteBackendList({ topic, update }: TopicUpdate): boolean {
  return topic === 'backends' && update.complete;
}
