/**
 * Pushes gossip to some peers, after the delays that `gossip-rule.ts` defines. Owns the timers of the pushes and the
 * revisions up to which it has sent changes; relies on `MessageComposer` for the content.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import type { MechanismCheck } from '../../common/mechanisms.js';
import type { Endpoint } from '../../common/types.js';
import type { AppliedUpdate, RoutingKnowledge } from '../routing/index.js';
import { FANOUT_OTHER_ZONES, FANOUT_SAME_ZONE, NOTHING_KNOWN } from './constants.js';
import { pushDelayMs, type GossipTrigger } from './gossip-rule.js';
import { knownRevisionsOf, type MessageComposer } from './message-composer.js';
import type { PeerView } from './peer-view.js';
import type { KnownRevisions, PeerMessage } from './types.js';
import type { UpdateLog } from './update-log.js';

interface UpdateSenderOptions {
  readonly clock: Clock;
  readonly knowledge: RoutingKnowledge;
  readonly peers: PeerView;
  readonly log: UpdateLog;
  readonly composer: MessageComposer;
  readonly isOn: MechanismCheck;
  /** Sends the same message to several peers. */
  readonly send: (to: readonly Endpoint[], message: PeerMessage) => void;
}

/** Sends changes, confirmations, ejections and bad answers, each after its batching delay. */
export class UpdateSender {
  private confirmationTimer: TimerHandle | undefined;
  private changeTimer: TimerHandle | undefined;
  private repeatTimer: TimerHandle | undefined;
  private ejectionTimer: TimerHandle | undefined;
  private badAnswerTimer: TimerHandle | undefined;
  private lastEjectionPushMs = Number.NEGATIVE_INFINITY;
  private lastChangePushMs = Number.NEGATIVE_INFINITY;
  /** Revisions up to which changes were sent. */
  private sentRevisions: KnownRevisions = {
    routes: NOTHING_KNOWN,
    backends: NOTHING_KNOWN,
    cordons: NOTHING_KNOWN,
    table: NOTHING_KNOWN,
  };

  constructor(private readonly options: UpdateSenderOptions) {}

  /** Logs a change and pushes it: at once, or batched with others if a push of changes was just sent. */
  onUpdateApplied({ topic, update, since }: AppliedUpdate): void {
    const { clock, log } = this.options;
    log.record({ topic, since: update.complete ? NOTHING_KNOWN : since, update });
    const delayMs = pushDelayMs('change', clock.now(), this.lastChangePushMs);
    if (delayMs === 0) return this.pushChanges();
    this.changeTimer ??= clock.schedule(delayMs, () => this.pushChanges());
  }

  /** Sends a message to some peers at once. It replaces pending pushes of confirmations and ejections. */
  push(message: PeerMessage): void {
    this.confirmationTimer?.cancel();
    this.confirmationTimer = undefined;
    this.ejectionTimer?.cancel();
    this.ejectionTimer = undefined;
    this.sendToPushTargets(message);
  }

  /** Schedules a push of confirmations after the batching delay, unless one is pending. */
  scheduleConfirmationPush(): void {
    this.confirmationTimer ??= this.schedulePush('confirmation', () => {
      this.confirmationTimer = undefined;
      this.push(this.options.composer.confirmationMessage());
    });
  }

  /** Schedules a push with the recent ejections, unless one is pending; limits the rate of such pushes. */
  scheduleEjectionPush(): void {
    const { clock, composer } = this.options;
    const push = (): void => {
      this.lastEjectionPushMs = clock.now();
      this.push(composer.confirmationMessage());
    };
    this.ejectionTimer ??= this.schedulePush('ejection', push, this.lastEjectionPushMs);
  }

  /** Schedules a push of bad answers after the batching delay, and further pushes until the queue is empty. */
  scheduleBadAnswerPush(): void {
    const { composer } = this.options;
    this.badAnswerTimer ??= this.schedulePush('bad-answer', () => {
      this.badAnswerTimer = undefined;
      const message = composer.badAnswerMessage();
      if (message.badAnswers.length > 0) this.sendToPushTargets(message);
      if (!composer.badAnswerOutbox.isEmpty) this.scheduleBadAnswerPush();
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

  private sendToPushTargets(message: PeerMessage): void {
    const { peers, send } = this.options;
    const targets = peers.nextPushTargets(FANOUT_SAME_ZONE, FANOUT_OTHER_ZONES);
    send(
      targets.map(({ endpoint }) => endpoint),
      message,
    );
  }

  /**
   * Pushes unsent changes. Two later pushes of confirmations reach the peers that this push missed; these then pull the
   * changes.
   */
  private pushChanges(): void {
    const { clock, knowledge, log, composer, isOn } = this.options;
    this.changeTimer?.cancel();
    this.changeTimer = undefined;
    this.lastChangePushMs = clock.now();
    const alreadySent = this.sentRevisions;
    const updates = knowledge.topics.flatMap(
      (topic) =>
        log.changesSince(topic, {
          epoch: alreadySent.epoch,
          revision: alreadySent[topic],
          table: alreadySent.table,
        }) ?? [],
    );
    this.sentRevisions = knownRevisionsOf(knowledge);
    this.push(composer.updateMessage(updates));
    this.scheduleConfirmationPush();
    this.repeatTimer?.cancel();
    if (isOn('repeated-confirmations'))
      this.repeatTimer = this.schedulePush('repeated-confirmation', () => this.scheduleConfirmationPush());
  }

  /** Schedules a push after the delay for its trigger. */
  private schedulePush(
    trigger: GossipTrigger,
    push: () => void,
    lastPushMs = Number.NEGATIVE_INFINITY,
  ): TimerHandle {
    const { clock } = this.options;
    return clock.schedule(pushDelayMs(trigger, clock.now(), lastPushMs), push);
  }
}
