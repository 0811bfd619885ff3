/**
 * Composes gossip messages: revisions and their freshness, changes, readers of the source, peers, ejections, load
 * reports and bad answers. Owns the load reports and bad answers that wait for a push; reads everything else from its
 * owners.
 */
import type { Clock } from '../../common/clock.js';
import type { LoadReport } from '../load/index.js';
import {
  isBefore,
  type RoutingKnowledge,
  type RoutingTopic,
  type TopicConfirmation,
} from '../routing/index.js';
import type { OpeningAnswer, OpeningQuery } from '../opening-lookup/index.js';
import { BadAnswerOutbox } from './bad-answer-outbox.js';
import { LOADS_PER_MESSAGE, NOTHING_KNOWN, PEERS_PER_MESSAGE, READERS_PER_MESSAGE } from './constants.js';
import type { PeerView } from './peer-view.js';
import type { ReaderRole } from './reader-role.js';
import type { RecentEjections } from './recent-ejections.js';
import type { KnownRevisions, KnownTopic, PeerMessage, TopicUpdate } from './types.js';
import { completeUpdate, type UpdateLog } from './update-log.js';

interface MessageComposerOptions {
  readonly selfId: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly knowledge: RoutingKnowledge;
  readonly peers: PeerView;
  readonly role: ReaderRole;
  readonly log: UpdateLog;
  readonly ejections: RecentEjections;
  /** True while live back ends may be missing from the list of this daemon. */
  readonly isUnsettled: () => boolean;
}

/** Composes the messages of one daemon. */
export class MessageComposer {
  /** Monotonic ms of the last confirmation that this daemon read from the source itself. */
  private ownConfirmationMs = Number.NEGATIVE_INFINITY;
  /** Load reports that wait for a push. */
  private pendingLoadReports: readonly LoadReport[] = [];
  /** Bad answers that wait for a push. */
  readonly badAnswerOutbox = new BadAnswerOutbox();

  constructor(private readonly options: MessageComposerOptions) {}

  /** Records that this daemon just received a confirmation from the source. */
  recordOwnConfirmation(): void {
    this.ownConfirmationMs = this.options.clock.now();
  }

  /** Composes a push or a pull response: the known revisions, and the changes in `updates`. */
  updateMessage(updates: readonly TopicUpdate[] = []): PeerMessage {
    return this.composeMessage('news', updates);
  }

  /** Composes a request for the changes that this daemon lacks. */
  pullRequest(): PeerMessage {
    return this.composeMessage('pull', []);
  }

  /** Composes the announcement that this daemon stops. */
  leaveMessage(): PeerMessage {
    return { ...this.updateMessage(), leaving: true };
  }

  /**
   * Composes the response to a pull request: the changes that the requester lacks. Omits a topic if the log does not
   * contain all of its changes.
   */
  pullResponse(request: PeerMessage): PeerMessage {
    const { knowledge, log } = this.options;
    const updates = knowledge.topics.flatMap((topic) => {
      const { epoch, revision } = request.confirmations[topic] ?? { revision: NOTHING_KNOWN };
      const known = { epoch, revision, table: request.tableRevision };
      return hasChangesSince(knowledge, topic, known) ? (log.changesSince(topic, known) ?? []) : [];
    });
    return this.updateMessage(updates);
  }

  /** Composes the response to a fetch: the changes after `known` where the log covers them, else the complete topic. */
  stateMessage(known: KnownRevisions): PeerMessage {
    const { knowledge, log } = this.options;
    const updates = knowledge.topics.flatMap((topic) => {
      const knownTopic = { epoch: known.epoch, revision: known[topic], table: known.table };
      if (!hasChangesSince(knowledge, topic, knownTopic)) return [];
      return log.changesSince(topic, knownTopic) ?? completeUpdate(knowledge, topic) ?? [];
    });
    return this.composeMessage('state', updates);
  }

  /**
   * Composes a push without changes. It carries the pending load reports and clears them, so that this daemon
   * pushes each of them once.
   */
  confirmationMessage(): PeerMessage {
    const { pendingLoadReports } = this;
    this.pendingLoadReports = [];
    return { ...this.updateMessage(), loads: pendingLoadReports };
  }

  /**
   * Composes a push that carries only bad answers. A daemon may send several of them a second, and decoding a full
   * message takes about as long as forwarding ten packets.
   */
  badAnswerMessage(): PeerMessage {
    const badAnswers = this.badAnswerOutbox.dequeueForPush(this.options.clock.now());
    return { ...this.emptyMessage(), badAnswers };
  }

  /** Composes questions to peers about openings. */
  openingQueries(openingQueries: readonly OpeningQuery[]): PeerMessage {
    return { ...this.emptyMessage(), openingQueries };
  }

  /** Composes answers to a peer's questions about openings. */
  openingAnswers(openingAnswers: readonly OpeningAnswer[]): PeerMessage {
    return { ...this.emptyMessage(), openingAnswers };
  }

  /** Returns a message without content. */
  private emptyMessage(): PeerMessage {
    const { selfId, zone } = this.options;
    return {
      type: 'news',
      senderId: selfId,
      senderZone: zone,
      leaving: false,
      updates: [],
      confirmations: {},
      suspicions: [],
      loads: [],
      readers: [],
      peers: [],
      departedCount: 0,
      tableRevision: NOTHING_KNOWN,
      unsettled: false,
      badAnswers: [],
    };
  }

  /** Adds a report to the next push without changes. It replaces a pending report of the same page. */
  addLoadReport(report: LoadReport): void {
    this.pendingLoadReports = [
      ...this.pendingLoadReports.filter(({ page }) => page !== report.page),
      report,
    ].slice(-LOADS_PER_MESSAGE);
  }

  private composeMessage(type: PeerMessage['type'], updates: readonly TopicUpdate[]): PeerMessage {
    const { selfId, zone, knowledge, clock, role, peers, ejections, isUnsettled } = this.options;
    const nowMs = clock.now();
    const hasConfirmed = role.isReading && Number.isFinite(this.ownConfirmationMs);
    const ownReader = hasConfirmed ? [{ id: selfId, confirmedAtMs: this.ownConfirmationMs }] : [];
    return {
      type,
      senderId: selfId,
      senderZone: zone,
      leaving: false,
      updates,
      confirmations: confirmationsOf(knowledge),
      suspicions: ejections.recent(nowMs),
      loads: [],
      badAnswers: [],
      departedCount: knowledge.backends.departedCount,
      tableRevision: knowledge.tableRevision,
      unsettled: isUnsettled(),
      readers: [...ownReader, ...role.readersToAdvertise(nowMs, READERS_PER_MESSAGE)],
      peers: peers.peersToAdvertise(PEERS_PER_MESSAGE),
    };
  }
}

/** Returns the known revision of each topic in the latest known epoch, -1 for a topic known in earlier epochs only. */
export function knownRevisionsOf(knowledge: RoutingKnowledge): KnownRevisions {
  const epoch = Math.max(...knowledge.topics.map((topic) => knowledge.epochOf(topic)));
  const revisionOf = (topic: RoutingTopic): number =>
    knowledge.epochOf(topic) === epoch ? knowledge.revisionOf(topic) : NOTHING_KNOWN;
  return {
    epoch,
    routes: revisionOf('routes'),
    backends: revisionOf('backends'),
    cordons: revisionOf('cordons'),
    table: knowledge.epochOf('routes') === epoch ? knowledge.tableRevision : NOTHING_KNOWN,
  };
}

/** Returns whether `knowledge` has changes of a topic that are newer than `known`. */
function hasChangesSince(knowledge: RoutingKnowledge, topic: RoutingTopic, known: KnownTopic): boolean {
  const { epoch, changedRevision } = knowledge.confirmationOf(topic);
  return isBefore(known, { epoch, revision: changedRevision });
}

function confirmationsOf(
  knowledge: RoutingKnowledge,
): Readonly<Partial<Record<RoutingTopic, TopicConfirmation>>> {
  const confirmations: Partial<Record<RoutingTopic, TopicConfirmation>> = {};
  for (const topic of knowledge.topics) {
    const confirmation = knowledge.confirmationOf(topic);
    if (confirmation.revision > NOTHING_KNOWN) confirmations[topic] = confirmation;
  }
  return confirmations;
}
