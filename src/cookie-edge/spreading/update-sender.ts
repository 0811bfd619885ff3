/** Sends updates to some peers: changes at once, those that follow closely together, and confirmations a moment after they came. */
import type { Clock, TimerHandle } from '../../common/clock.js';
import type { MechanismCheck } from '../../common/mechanisms.js';
import type { Endpoint } from '../../common/types.js';
import type { AppliedUpdate, RoutingKnowledge } from '../routing/index.js';
import {
  CHANGE_GATHER_MS,
  FANOUT_ELSEWHERE,
  FANOUT_IN_ZONE,
  REPEAT_CONFIRMATION_MS,
  BAD_ANSWER_GATHER_MS,
  EJECTION_GATHER_MS,
  NOTHING_KNOWN,
  CONFIRMATION_GATHER_MS,
} from './constants.js';
import { knownRevisionsOf, type MessageComposer } from './message-composer.js';
import type { PeerView } from './peer-view.js';
import type { KnownRevisions, PeerMessage } from './types.js';
import type { UpdateLog } from './update-log.js';

/** What a sender needs. */
interface UpdateSenderOptions {
  readonly clock: Clock;
  readonly knowledge: RoutingKnowledge;
  readonly peers: PeerView;
  readonly log: UpdateLog;
  readonly composer: MessageComposer;
  readonly isOn: MechanismCheck;
  /** Sends the same message to each of some peers. */
  readonly send: (to: readonly Endpoint[], message: PeerMessage) => void;
}

/** See the module. */
export class UpdateSender {
  private confirmationTimer: TimerHandle | undefined;
  private changeTimer: TimerHandle | undefined;
  private repeatTimer: TimerHandle | undefined;
  private ejectionTimer: TimerHandle | undefined;
  private badAnswerTimer: TimerHandle | undefined;
  private ejectionsPushedMs = Number.NEGATIVE_INFINITY;
  private changesSentMs = Number.NEGATIVE_INFINITY;
  /** Revisions up to which changes were sent. */
  private sentRevisions: KnownRevisions = {
    routes: NOTHING_KNOWN,
    backends: NOTHING_KNOWN,
    cordons: NOTHING_KNOWN,
    table: NOTHING_KNOWN,
  };

  constructor(private readonly options: UpdateSenderOptions) {}

  /** Logs a change and sends it at once, or with those that came closely before it. */
  onApplied({ topic, update, since }: AppliedUpdate): void {
    const { clock, log } = this.options;
    log.record({ topic, since: update.complete ? NOTHING_KNOWN : since, update });
    const waitMs = this.changesSentMs + CHANGE_GATHER_MS - clock.now();
    if (waitMs <= 0) return this.pushChanges();
    this.changeTimer ??= clock.schedule(waitMs, () => this.pushChanges());
  }

  /** Sends a message to some peers at once. */
  push(message: PeerMessage): void {
    this.confirmationTimer?.cancel();
    this.confirmationTimer = undefined;
    this.ejectionTimer?.cancel();
    this.ejectionTimer = undefined;
    this.sendToSome(message);
  }

  /** Sends confirmations after a moment, together with those that come meanwhile. */
  pushSoon(): void {
    this.confirmationTimer ??= this.options.clock.schedule(CONFIRMATION_GATHER_MS, () => {
      this.confirmationTimer = undefined;
      this.push(this.options.composer.confirmationMessage());
    });
  }

  /** Sends suspicions of back ends, which every message carries, after a moment, and later while there are many. */
  pushEjections(): void {
    const { clock, composer } = this.options;
    const leastMs = this.ejectionsPushedMs + EJECTION_GATHER_MS - clock.now();
    this.ejectionTimer ??= clock.schedule(Math.max(CONFIRMATION_GATHER_MS, leastMs), () => {
      this.ejectionsPushedMs = clock.now();
      this.push(composer.confirmationMessage());
    });
  }

  /** Sends bad answers a moment later, together with those that come meanwhile, and goes on until all are told. */
  pushBadAnswers(): void {
    const { clock, composer } = this.options;
    this.badAnswerTimer ??= clock.schedule(BAD_ANSWER_GATHER_MS, () => {
      this.badAnswerTimer = undefined;
      const message = composer.badAnswerMessage();
      if (message.badAnswers.length > 0) this.sendToSome(message);
      if (!composer.badAnswers.isEmpty) this.pushBadAnswers();
    });
  }

  /** Sends nothing any more of its own accord. */
  stop(): void {
    this.confirmationTimer?.cancel();
    this.changeTimer?.cancel();
    this.repeatTimer?.cancel();
    this.ejectionTimer?.cancel();
    this.badAnswerTimer?.cancel();
  }

  private sendToSome(message: PeerMessage): void {
    const { peers, send } = this.options;
    const chosen = peers.choose(FANOUT_IN_ZONE, FANOUT_ELSEWHERE);
    send(
      chosen.map(({ endpoint }) => endpoint),
      message,
    );
  }

  /** Two more rounds, of confirmations only, reach those that the first one missed: they ask for the changes. */
  private pushChanges(): void {
    const { clock, knowledge, log, composer, isOn } = this.options;
    this.changeTimer?.cancel();
    this.changeTimer = undefined;
    this.changesSentMs = clock.now();
    const sent = this.sentRevisions;
    const updates = knowledge.topics.flatMap(
      (topic) => log.since(topic, { revision: sent[topic], table: sent.table }) ?? [],
    );
    this.sentRevisions = knownRevisionsOf(knowledge);
    this.push(composer.updateMessage(updates));
    this.pushSoon();
    this.repeatTimer?.cancel();
    if (isOn('repeated-confirmations'))
      this.repeatTimer = clock.schedule(REPEAT_CONFIRMATION_MS, () => this.pushSoon());
  }
}
