/**
 * Pushes gossip to some peers when the rule in `gossip-rule.ts` says so. Owns the timers of the pushes and the
 * revisions up to which changes were sent; relies on `MessageComposer` for the content.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import type { MechanismCheck } from '../../common/mechanisms.js';
import type { Endpoint } from '../../common/types.js';
import type { AppliedUpdate, RoutingKnowledge } from '../routing/index.js';
import { FANOUT_ELSEWHERE, FANOUT_IN_ZONE, NOTHING_KNOWN } from './constants.js';
import { pushDelayMs, type GossipTrigger } from './gossip-rule.js';
import { knownRevisionsOf, type MessageComposer } from './message-composer.js';
import type { PeerView } from './peer-view.js';
import type { KnownRevisions, PeerMessage } from './types.js';
import type { UpdateLog } from './update-log.js';

/** Collaborators of a sender. */
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

/** Sends changes, confirmations, ejections and bad answers, each after its gather time. */
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

  /** Logs a change and pushes it at once, or together with those that came closely before it. */
  onApplied({ topic, update, since }: AppliedUpdate): void {
    const { clock, log } = this.options;
    log.record({ topic, since: update.complete ? NOTHING_KNOWN : since, update });
    const delayMs = pushDelayMs('change', clock.now(), this.changesSentMs);
    if (delayMs === 0) return this.pushChanges();
    this.changeTimer ??= clock.schedule(delayMs, () => this.pushChanges());
  }

  /** Sends a message to some peers at once. */
  push(message: PeerMessage): void {
    this.confirmationTimer?.cancel();
    this.confirmationTimer = undefined;
    this.ejectionTimer?.cancel();
    this.ejectionTimer = undefined;
    this.sendToSome(message);
  }

  /** Pushes confirmations after a moment, together with those that come meanwhile. */
  pushSoon(): void {
    this.confirmationTimer ??= this.schedule('confirmation', () => {
      this.confirmationTimer = undefined;
      this.push(this.options.composer.confirmationMessage());
    });
  }

  /** Pushes ejections, which every message carries, after a moment, and later while there are many. */
  pushEjections(): void {
    const { clock, composer } = this.options;
    const push = (): void => {
      this.ejectionsPushedMs = clock.now();
      this.push(composer.confirmationMessage());
    };
    this.ejectionTimer ??= this.schedule('ejection', push, this.ejectionsPushedMs);
  }

  /** Pushes bad answers after a moment, together with those that come meanwhile, and repeats until none waits. */
  pushBadAnswers(): void {
    const { composer } = this.options;
    this.badAnswerTimer ??= this.schedule('bad-answer', () => {
      this.badAnswerTimer = undefined;
      const message = composer.badAnswerMessage();
      if (message.badAnswers.length > 0) this.sendToSome(message);
      if (!composer.badAnswers.isEmpty) this.pushBadAnswers();
    });
  }

  /** Cancels every pending push. */
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

  /** Two more rounds, of confirmations only, reach the peers that the first one missed: they pull the changes. */
  private pushChanges(): void {
    const { clock, knowledge, log, composer, isOn } = this.options;
    this.changeTimer?.cancel();
    this.changeTimer = undefined;
    this.changesSentMs = clock.now();
    const sent = this.sentRevisions;
    const updates = knowledge.topics.flatMap(
      (topic) => log.since(topic, { epoch: sent.epoch, revision: sent[topic], table: sent.table }) ?? [],
    );
    this.sentRevisions = knownRevisionsOf(knowledge);
    this.push(composer.updateMessage(updates));
    this.pushSoon();
    this.repeatTimer?.cancel();
    if (isOn('repeated-confirmations'))
      this.repeatTimer = this.schedule('repeated-confirmation', () => this.pushSoon());
  }

  /** Schedules a push after the delay of its trigger. */
  private schedule(
    trigger: GossipTrigger,
    push: () => void,
    lastPushMs = Number.NEGATIVE_INFINITY,
  ): TimerHandle {
    const { clock } = this.options;
    return clock.schedule(pushDelayMs(trigger, clock.now(), lastPushMs), push);
  }
}
