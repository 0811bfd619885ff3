/**
 * Handles the messages of other members: merges the updates that they carry, learns about their senders, and hands
 * each to the part that it is for.
 *
 * Owns the count of refutations and the last probe before a pause. Relies on `member-merge.ts` for what becomes of
 * an update, and on the control channel for who sent it.
 */
import { hashString } from '../../common/hash.js';
import type { Endpoint } from '../../common/types.js';
import type { InboundControlMessage } from '../control/types.js';
import type { Accusations } from './accusations.js';
import { GOSSIP_RESERVE_BYTES_PER_SECOND } from './constants.js';
import { MEMBERSHIP_EVENTS } from './events.js';
import { respondToAccusation } from './member-merge.js';
import { isRemoved } from './member-record.js';
import type { MembershipParts } from './membership-parts.js';
import type { QuorumUpdates } from './quorum-updates.js';
import {
  decodeEntry,
  decodeMessage,
  encodeEntry,
  MessageType,
  type MemberUpdate,
  type WireMessage,
} from './wire.js';

/** What a receiver works with. */
interface MessageReceiverContext {
  readonly parts: MembershipParts;
  readonly accusations: Accusations;
  readonly quorumUpdates: QuorumUpdates;
  readonly availableBytesPerSecond: () => number;
}

/** One receiver for each process. */
export class MessageReceiver {
  private refutationCount = 0;
  /** Probes up to this one were sent before the last pause of this process. */
  private sequenceAtPause = 0;

  constructor(private readonly context: MessageReceiverContext) {}

  /** Times that this member told others that it is alive, since start. */
  get refutations(): number {
    return this.refutationCount;
  }

  /**
   * Messages that waited in the socket during a pause do not show that their sender is alive: from now on only
   * responses to later probes do.
   */
  notePause(): void {
    this.sequenceAtPause = this.context.parts.prober.lastSequence;
  }

  /** Handles one authenticated message; logs and drops one that cannot be decoded. */
  receive(inbound: InboundControlMessage): void {
    const { events, regionHash } = this.context.parts;
    const message = decodeMessage(inbound.payload);
    if (!message) {
      events.emit(MEMBERSHIP_EVENTS.badMessage, { member: inbound.senderId });
      return;
    }
    if (message.regionHash !== regionHash) return;
    const senderHash = hashString(inbound.senderId);
    const refutationsBefore = this.refutationCount;
    for (const bytes of message.entries) {
      const update = decodeEntry(bytes, hashString);
      if (update) this.receiveUpdate(update, inbound.from);
      else events.emit(MEMBERSHIP_EVENTS.badMessage, { member: inbound.senderId });
    }
    this.noteSender(senderHash, inbound, message);
    this.dispatch(senderHash, inbound.from, message, this.refutationCount > refutationsBefore);
  }

  /** What any message tells about its sender. */
  private noteSender(senderHash: number, inbound: InboundControlMessage, message: WireMessage): void {
    const { table, sync, quorum, publisher } = this.context.parts;
    const known = table.get(senderHash);
    if (!known || known.incarnation < inbound.senderIncarnation) sync.requestSoon(inbound.from);
    quorum.noteContact();
    quorum.exchange.onMessage(inbound.from, message);
    if (message.settingsVersion && table.noteSettingsVersion(senderHash, message.settingsVersion)) {
      publisher.noteSettingsVersion();
    }
  }

  private dispatch(senderHash: number, from: Endpoint, message: WireMessage, refuted: boolean): void {
    const { prober, quorum, sync, joiner } = this.context.parts;
    switch (message.type) {
      case MessageType.PING:
        return prober.onPing(from, message, this.firstEntriesFor(senderHash, refuted));
      case MessageType.ACK:
        if (message.sequence > this.sequenceAtPause) quorum.noteFreshAnswer();
        return prober.onAck(senderHash, message);
      case MessageType.INDIRECT_PING:
        return prober.onIndirectPing(from, message);
      case MessageType.NEGATIVE_ACK:
        return prober.onNegativeAck(message);
      case MessageType.SYNC_REQUEST:
        return sync.onRequest(from, message);
      case MessageType.SYNC_STATE:
        sync.onState(from, message);
        return joiner.onContact();
      case MessageType.QUORUM_BASE_REQUEST:
        return quorum.exchange.onRequest(from);
      case MessageType.QUORUM_BASE:
        return quorum.exchange.onPart(message);
      default:
        return undefined;
    }
  }

  /** Entries for a sender that is suspected or removed here, and for one whose message this member refuted. */
  private firstEntriesFor(senderHash: number, refuted: boolean): Uint8Array[] {
    const { table } = this.context.parts;
    const known = table.get(senderHash);
    const entries = refuted ? [encodeEntry(table.self, false)] : [];
    if (known && (known.suspected || isRemoved(known))) entries.push(encodeEntry(known, false));
    return entries;
  }

  private receiveUpdate(update: MemberUpdate, from: Endpoint): void {
    const { table, sync, messenger, events } = this.context.parts;
    const outcome = table.merge(update);
    switch (outcome) {
      case 'unknown':
        return sync.requestSoon(from);
      case 'accused':
        return this.onAccused(update);
      case 'outdated-accusation':
        messenger.send(from, { type: MessageType.GOSSIP, entries: [encodeEntry(table.self, true)] });
        return undefined;
      case 'reported-failed':
        return this.onReportedFailed(update);
      case 'collision':
        return events.emit(MEMBERSHIP_EVENTS.collision, { member: update.identity?.id });
      case 'known':
        return update.suspected ? this.context.accusations.confirm(update) : undefined;
      case 'changed':
        return undefined;
    }
  }

  /** The member itself is asked at once: the report may be left over from a partition. */
  private onReportedFailed(update: MemberUpdate): void {
    const { suspicions, table, prober } = this.context.parts;
    suspicions.confirmFully(update.idHash);
    const record = table.get(update.idHash);
    const affordable = this.context.availableBytesPerSecond() >= GOSSIP_RESERVE_BYTES_PER_SECOND;
    if (record && affordable) prober.greet(record);
  }

  private onAccused(update: MemberUpdate): void {
    const { table, health, events } = this.context.parts;
    if (respondToAccusation(table.self, update) === 'give-way') return this.withdraw();
    this.refutationCount += 1;
    health.worsen();
    table.refute(update);
    events.emit(MEMBERSHIP_EVENTS.refuted, { refutation: table.self.refutation });
  }

  /** A later process took over the id: this one must not act for it any more. */
  private withdraw(): void {
    const { events, table, quorum } = this.context.parts;
    events.emit(MEMBERSHIP_EVENTS.replaced, { member: table.self.identity.id });
    quorum.withdraw();
    this.context.quorumUpdates.update();
  }
}
