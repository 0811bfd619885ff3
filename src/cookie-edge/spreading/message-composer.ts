/**
 * Composes gossip messages: revisions and their freshness, changes, readers of the source, peers, ejections, load and
 * bad answers. Owns the reports that wait for a push; reads everything else from the parts that own it.
 */
import type { Clock } from '../../common/clock.js';
import type { LoadReport } from '../load/index.js';
import {
  isBefore,
  type RoutingKnowledge,
  type RoutingTopic,
  type TopicConfirmation,
} from '../routing/index.js';
import { BadAnswerOutbox } from './bad-answer-outbox.js';
import { LOADS_PER_MESSAGE, NOTHING_KNOWN, PEERS_PER_MESSAGE, READERS_PER_MESSAGE } from './constants.js';
import type { PeerView } from './peer-view.js';
import type { ReaderRole } from './reader-role.js';
import type { RecentEjections } from './recent-ejections.js';
import type { KnownRevisions, KnownTopic, PeerMessage, SpreadUpdate } from './types.js';
import { completeUpdate, type UpdateLog } from './update-log.js';

/** Collaborators of a composer. */
interface MessageComposerOptions {
  readonly selfId: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly knowledge: RoutingKnowledge;
  readonly peers: PeerView;
  readonly role: ReaderRole;
  readonly log: UpdateLog;
  readonly ejections: RecentEjections;
  /** True while back ends that live may be missing from the list. */
  readonly isUnsettled: () => boolean;
}

/** Composes the messages of one daemon. */
export class MessageComposer {
  /** Monotonic ms of the last confirmation that this daemon read itself. */
  private ownConfirmationMs = Number.NEGATIVE_INFINITY;
  /** Load reports that wait for a push. */
  private loads: readonly LoadReport[] = [];
  /** Bad answers that wait for a push. */
  readonly badAnswers = new BadAnswerOutbox();

  constructor(private readonly options: MessageComposerOptions) {}

  /** Records that the source just confirmed something to this daemon. */
  recordOwnConfirmation(): void {
    this.ownConfirmationMs = this.options.clock.now();
  }

  /** What this daemon knows, with the changes in `updates`. */
  updateMessage(updates: readonly SpreadUpdate[] = []): PeerMessage {
    return this.message('news', updates);
  }

  /** Requests what this daemon lacks. */
  pullRequest(): PeerMessage {
    return this.message('pull', []);
  }

  /** Announces that this daemon stops. */
  farewell(): PeerMessage {
    return { ...this.updateMessage(), leaving: true };
  }

  /** The changes that the requester lacks, as far as the log reaches back; what it does not cover is left out. */
  pullResponse(request: PeerMessage): PeerMessage {
    const { knowledge, log } = this.options;
    const updates = knowledge.topics.flatMap((topic) => {
      const { epoch, revision } = request.confirmations[topic] ?? { revision: NOTHING_KNOWN };
      const known = { epoch, revision, table: request.tableRevision };
      return lacks(knowledge, topic, known) ? (log.since(topic, known) ?? []) : [];
    });
    return this.updateMessage(updates);
  }

  /** Everything beyond `known`: the changes of topics that the log covers, the whole of the others. */
  state(known: KnownRevisions): PeerMessage {
    const { knowledge, log } = this.options;
    const updates = knowledge.topics.flatMap((topic) => {
      const knownTopic = { epoch: known.epoch, revision: known[topic], table: known.table };
      if (!lacks(knowledge, topic, knownTopic)) return [];
      return log.since(topic, knownTopic) ?? completeUpdate(knowledge, topic) ?? [];
    });
    return this.message('state', updates);
  }

  /** A push without changes. Carries waiting load reports, each once from each daemon. */
  confirmationMessage(): PeerMessage {
    const { loads } = this;
    this.loads = [];
    return { ...this.updateMessage(), loads };
  }

  /**
   * Bad answers and nothing else: there may be several such messages a second, and decoding a full message takes
   * about as long as forwarding ten packets.
   */
  badAnswerMessage(): PeerMessage {
    const { selfId, zone, clock } = this.options;
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
      badAnswers: this.badAnswers.takeForPush(clock.now()),
    };
  }

  /** Adds a report to the next push without changes, replacing an older one of its page. */
  addLoadReport(report: LoadReport): void {
    this.loads = [...this.loads.filter(({ page }) => page !== report.page), report].slice(-LOADS_PER_MESSAGE);
  }

  private message(type: PeerMessage['type'], updates: readonly SpreadUpdate[]): PeerMessage {
    const { selfId, zone, knowledge, clock, role, peers, ejections, isUnsettled } = this.options;
    const nowMs = clock.now();
    const hasConfirmed = role.isReading && Number.isFinite(this.ownConfirmationMs);
    const self = hasConfirmed ? [{ id: selfId, confirmedAtMs: this.ownConfirmationMs }] : [];
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
      readers: [...self, ...role.leadingReaders(nowMs, READERS_PER_MESSAGE)],
      peers: peers.introduce(PEERS_PER_MESSAGE),
    };
  }
}

/** Revisions up to which each topic is known, in the latest epoch of any. */
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

/** True when `knowledge` has changes of a topic that whoever knows `known` lacks. */
function lacks(knowledge: RoutingKnowledge, topic: RoutingTopic, known: KnownTopic): boolean {
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
