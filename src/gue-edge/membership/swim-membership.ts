/** Membership of one balancer: failure detection, gossip, anti-entropy and quorum put together. */
import { hashString } from '../../common/hash.js';
import { jitter, pick } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import type { InboundControlMessage } from '../control/types.js';
import { SILENT_EVENT_LOG, type EventLog } from '../../observability/event.js';
import {
  DEFAULT_MEMBERSHIP_TIMING,
  GOSSIP_FANOUT,
  GOSSIP_RESERVE_BYTES_PER_SECOND,
  ZONE_VIEW_BATCH_MS,
  type MembershipTiming,
} from './constants.js';
import { ChangeReporter } from './change-reporter.js';
import { MembershipError } from './errors.js';
import { MEMBERSHIP_EVENTS } from './events.js';
import { GossipQueue } from './gossip-queue.js';
import { Gossiper } from './gossiper.js';
import { GuardedTimers } from './guarded-timers.js';
import { Joiner } from './joiner.js';
import { LocalHealth } from './local-health.js';
import { isRemoved, type MemberRecord } from './member-record.js';
import { MemberTable, type RecordChange } from './member-table.js';
import { Messenger } from './messenger.js';
import { Prober } from './prober.js';
import { Quorum } from './quorum.js';
import { sampleMembers } from './sampling.js';
import { StateSync } from './state-sync.js';
import { Suspicions } from './suspicion.js';
import type { KnownMember, MembershipStatistics, SwimMembershipOptions } from './membership-options.js';
import type { MembershipFeed, MembershipView } from './types.js';
import { ViewPublisher } from './view-publisher.js';
import {
  decodeEntry,
  decodeMessage,
  encodeEntry,
  MessageType,
  type MemberNews,
  type WireMessage,
} from './wire.js';
import { ZoneSilence } from './zone-silence.js';

/** See `MembershipFeed`. Call `join`, then `activate` when ready; `leave` and `stop` to go. */
export class SwimMembership implements MembershipFeed {
  readonly selfId: string;
  private readonly timing: MembershipTiming;
  private readonly events: EventLog;
  private readonly regionHash: number;
  private readonly health = new LocalHealth();
  private readonly timers: GuardedTimers;
  private readonly table: MemberTable;
  private readonly queue: GossipQueue;
  private readonly messenger: Messenger;
  private readonly gossiper: Gossiper;
  private readonly suspicions: Suspicions;
  private readonly prober: Prober;
  private readonly sync: StateSync;
  private readonly joiner: Joiner;
  private readonly zones: ZoneSilence;
  private readonly quorum: Quorum;
  private readonly publisher: ViewPublisher;
  private readonly reporter: ChangeReporter;
  private readonly counts = { suspicionsRaised: 0, refutations: 0, pauses: 0 };
  private reconnectDueMs = 0;
  /** What waited in the socket during a pause proves nothing: only answers to later probes do. */
  private sequenceAtPause = 0;
  private running = false;
  private stopped = false;

  constructor(private readonly options: SwimMembershipOptions) {
    const { clock, random, channel, identity, region, incarnation } = options;
    this.selfId = identity.id;
    this.timing = { ...DEFAULT_MEMBERSHIP_TIMING, ...options.timing };
    this.events = options.events ?? SILENT_EVENT_LOG;
    this.reporter = new ChangeReporter(this.events);
    this.regionHash = hashString(region);
    const { timing } = this;
    const memberCount = (): number => this.table.liveCount;
    this.timers = new GuardedTimers(clock, timing.pauseThresholdMs, (lostMs) => this.onPause(lostMs));
    this.table = new MemberTable(clock, identity, incarnation, (change) => this.onChange(change));
    this.queue = new GossipQueue(memberCount);
    this.suspicions = new Suspicions(this.timers, timing, memberCount, (idHash) => this.table.fail(idHash));
    const { table, timers, queue } = this;
    this.messenger = new Messenger(channel, this.regionHash, queue, {
      settingsVersion: options.settingsVersion ?? (() => 0),
      baseEpoch: () => this.quorum.base.epoch,
    });
    const { messenger } = this;
    this.gossiper = new Gossiper({
      table,
      queue,
      timers,
      random,
      timing,
      messenger,
      availableBytesPerSecond: () => channel.availableBytesPerSecond(),
    });
    this.sync = new StateSync({ table, timers, random, timing, messenger });
    this.prober = new Prober({
      table,
      timers,
      random,
      timing,
      messenger,
      health: this.health,
      wallMs: () => clock.wall(),
      onUnanswered: (target) => this.onUnanswered(target),
      onRound: () => this.onRound(),
    });
    this.zones = new ZoneSilence((zone, members) => this.onZoneSilent(zone, members));
    this.quorum = new Quorum({
      clock,
      timers,
      messenger,
      table,
      timing,
      region,
      platform: options.platform,
      suspicions: this.suspicions,
      isCutOff: () => this.prober.isCutOff,
      isZoneSilent: (zone) => this.zones.isSilent(zone),
      onChange: () => this.updateQuorum(),
    });
    this.publisher = new ViewPublisher({
      table,
      clock,
      region,
      isQuorate: () => this.quorum.isQuorate,
      beforePublish: () => this.updateQuorum(),
      batchMs: () => (this.zones.anySilent ? ZONE_VIEW_BATCH_MS : timing.viewBatchMs),
    });
    this.joiner = new Joiner({
      table,
      timers,
      random,
      timing,
      seeds: options.seeds,
      platform: options.platform,
      events: this.events,
      contact: (endpoint) => this.sync.request(endpoint),
      isListReader: () => this.quorum.isLowestReachable(),
    });
  }

  view(): MembershipView {
    return this.publisher.view();
  }

  subscribe(listener: (view: MembershipView) => void): () => void {
    return this.publisher.subscribe(listener);
  }

  /** Counters for metrics and tests. */
  statistics(): MembershipStatistics {
    return {
      ...this.counts,
      failures: this.reporter.failures,
      zoneEvents: this.zones.events,
      healthScore: this.health.score,
    };
  }

  /** Takes in active members known from elsewhere, before `join`; nothing is spread about them. For simulations. */
  preload(members: readonly KnownMember[]): void {
    for (const { identity, incarnation } of members) {
      if (identity.id === this.selfId) continue;
      const idHash = hashString(identity.id);
      const news = { idHash, identity, incarnation, refutation: 0, suspected: false, accuserHash: 0 };
      this.table.merge({ ...news, lifecycle: 'active' });
    }
  }

  /** Starts: looks for other members, answers and probes them. Resolves when one has answered or there is none to ask. */
  async join(): Promise<void> {
    if (this.running) throw stateError('join was called twice');
    this.running = true;
    this.options.channel.handle('membership', (message) => this.receive(message));
    this.queue.add(this.table.self, true, 0);
    this.quorum.start(this.options.seeds.length > 0 || this.options.platform !== undefined);
    this.prober.start();
    this.sync.start();
    this.publisher.publishNow();
    this.updateQuorum();
    await this.joiner.join();
  }

  /** True when this member may activate although it has met nobody: see `Quorum.mayFoundRegion`. */
  mayFoundRegion(): boolean {
    return this.quorum.mayFoundRegion;
  }

  /** Takes shards from now on: joining becomes active. */
  activate(): void {
    if (this.table.self.lifecycle !== 'joining') throw stateError('activate needs a joining member');
    this.table.advanceSelf('active');
    this.publisher.publishNow();
  }

  /** Gives its shards away: active becomes leaving. The flow keeper hands over; then call `stop`. */
  leave(): void {
    const { lifecycle } = this.table.self;
    if (lifecycle !== 'active' && lifecycle !== 'joining')
      throw stateError('leave needs a member that is in');
    this.table.advanceSelf('leaving');
    this.gossiper.spread(GOSSIP_FANOUT);
    this.publisher.publishNow();
  }

  /** Tells others that this member is gone and ends; nothing is sent afterwards. */
  stop(): void {
    if (this.stopped) return;
    this.stopped = true;
    if (this.running && !isRemoved(this.table.self)) {
      this.table.advanceSelf('left');
      this.gossiper.spread(2 * GOSSIP_FANOUT);
    }
    this.prober.stop();
    this.sync.stop();
    this.gossiper.stop();
    this.joiner.stop();
    this.suspicions.stop();
    this.quorum.stop();
    this.publisher.stop();
  }

  private receive(inbound: InboundControlMessage): void {
    if (this.stopped) return;
    const message = decodeMessage(inbound.payload);
    if (!message) {
      this.events.emit(MEMBERSHIP_EVENTS.badMessage, { member: inbound.senderId });
      return;
    }
    if (message.regionHash !== this.regionHash) return;
    const senderHash = hashString(inbound.senderId);
    const { refutations } = this.counts;
    for (const bytes of message.entries) {
      const news = decodeEntry(bytes, hashString);
      if (news) this.receiveNews(news, inbound.from);
      else this.events.emit(MEMBERSHIP_EVENTS.badMessage, { member: inbound.senderId });
    }
    this.noteSender(senderHash, inbound, message);
    this.dispatch(senderHash, inbound.from, message, this.counts.refutations > refutations);
  }

  /** What any message tells about its sender. */
  private noteSender(senderHash: number, inbound: InboundControlMessage, message: WireMessage): void {
    const known = this.table.get(senderHash);
    if (!known || known.incarnation < inbound.senderIncarnation) this.sync.requestSoon(inbound.from);
    this.quorum.noteContact();
    this.quorum.exchange.onMessage(inbound.from, message);
    if (message.settingsVersion && this.table.noteSettingsVersion(senderHash, message.settingsVersion)) {
      this.publisher.noteSettingsVersion();
    }
  }

  private dispatch(senderHash: number, from: Endpoint, message: WireMessage, refuted: boolean): void {
    switch (message.type) {
      case MessageType.PING:
        return this.prober.onPing(from, message, this.firstEntriesFor(senderHash, refuted));
      case MessageType.ACK:
        if (message.sequence > this.sequenceAtPause) this.quorum.noteFreshAnswer();
        return this.prober.onAck(senderHash, message);
      case MessageType.INDIRECT_PING:
        return this.prober.onIndirectPing(from, message);
      case MessageType.NEGATIVE_ACK:
        return this.prober.onNegativeAck(message);
      case MessageType.SYNC_REQUEST:
        return this.sync.onRequest(from, message);
      case MessageType.SYNC_STATE:
        this.sync.onState(from, message);
        return this.joiner.onContact();
      case MessageType.QUORUM_BASE_REQUEST:
        return this.quorum.exchange.onRequest(from);
      case MessageType.QUORUM_BASE:
        return this.quorum.exchange.onPart(message);
      default:
        return undefined;
    }
  }

  /** Tells a sender that is held for suspected or removed, and of a suspicion its message made this member refute. */
  private firstEntriesFor(senderHash: number, refuted: boolean): Uint8Array[] {
    const known = this.table.get(senderHash);
    const entries = refuted ? [encodeEntry(this.table.self, false)] : [];
    if (known && (known.suspected || isRemoved(known))) entries.push(encodeEntry(known, false));
    return entries;
  }

  private receiveNews(news: MemberNews, from: Endpoint): void {
    const outcome = this.table.merge(news);
    if (outcome === 'unknown') this.sync.requestSoon(from);
    else if (outcome === 'accused') this.onAccused(news);
    else if (outcome === 'outdated-accusation') {
      const entries = [encodeEntry(this.table.self, true)];
      this.messenger.send(from, { type: MessageType.GOSSIP, entries });
    } else if (outcome === 'reported-failed') this.onReportedFailed(news);
    else if (outcome === 'collision') {
      this.events.emit(MEMBERSHIP_EVENTS.collision, { member: news.identity?.id });
    } else if (outcome === 'known' && news.suspected) this.confirmSuspicion(news);
  }

  /** Another member's suspicion of a member that is suspected here as well. */
  private confirmSuspicion(news: MemberNews): void {
    const known = this.table.get(news.idHash);
    const sameVersion = known?.incarnation === news.incarnation && known.refutation === news.refutation;
    if (known?.suspected && sameVersion) this.accuse(known, news.accuserHash);
  }

  /** The member itself is asked at once: the report may be left over from a partition. */
  private onReportedFailed(news: MemberNews): void {
    this.suspicions.confirmFully(news.idHash);
    const record = this.table.get(news.idHash);
    const affordable = this.options.channel.availableBytesPerSecond() >= GOSSIP_RESERVE_BYTES_PER_SECOND;
    if (record && affordable) this.prober.greet(record);
  }

  private onAccused(news: MemberNews): void {
    const { self } = this.table;
    if (news.incarnation > self.incarnation && !this.isPredecessor(news)) return this.withdraw();
    this.counts.refutations += 1;
    this.health.worsen();
    this.table.refute(news);
    this.events.emit(MEMBERSHIP_EVENTS.refuted, { refutation: this.table.self.refutation });
  }

  /** News of an earlier process at this address whose clock was ahead, not of a later process elsewhere. */
  private isPredecessor(news: MemberNews): boolean {
    const own = this.table.self.identity.control;
    return (
      news.identity === undefined ||
      (news.identity.control.host === own.host && news.identity.control.port === own.port)
    );
  }

  /** A later process took over the id: this one must not act for it any more. */
  private withdraw(): void {
    this.events.emit(MEMBERSHIP_EVENTS.replaced, { member: this.selfId });
    this.quorum.withdraw();
    this.updateQuorum();
  }

  private onUnanswered(target: MemberRecord): void {
    const selfHash = this.table.self.idHash;
    if (target.suspected) this.accuse(target, selfHash);
    else if (this.table.suspect(target.idHash, selfHash)) this.counts.suspicionsRaised += 1;
  }

  /** Adds an accuser to a running suspicion and passes it on when it is a new one. */
  private accuse(target: MemberRecord, accuserHash: number): void {
    if (!this.suspicions.accuse(target.idHash, accuserHash)) return;
    this.queue.add(target, false, accuserHash);
    this.gossiper.wake();
  }

  /** The silence of one member confirms that of the others: the rest is probed next and all are removed soon. */
  private onZoneSilent(zone: string, members: number): void {
    this.events.emit(MEMBERSHIP_EVENTS.zoneSilent, { zone, members });
    const inZone = this.table.peers().filter((peer) => peer.identity.zone === zone);
    this.prober.probeSoon(inZone.filter((peer) => !peer.suspected).map((peer) => peer.idHash));
    for (const peer of inZone) this.suspicions.confirmFully(peer.idHash);
  }

  private onRound(): void {
    this.table.prune();
    this.reconnect();
    this.zones.refresh(this.timers.now());
    this.updateQuorum();
  }

  /** Now and then greets a member that failed: it may only have been cut off. */
  private reconnect(): void {
    const nowMs = this.timers.now();
    if (nowMs < this.reconnectDueMs) return;
    const { random } = this.options;
    this.reconnectDueMs = nowMs + jitter(this.timing.reconnectIntervalMs, 0.5, random);
    const failed = this.table.failed();
    if (failed.length === 0 || random() * (failed.length + this.table.liveCount) >= failed.length) return;
    this.prober.greet(pick(failed, random));
  }

  private onChange(change: RecordChange): void {
    const { record, previous, accuserHash } = change;
    const isNewProcess = !previous || previous.incarnation !== record.incarnation;
    if (record.suspected) {
      this.suspicions.accuse(record.idHash, accuserHash);
      if (this.zones.isSilent(record.identity.zone)) this.suspicions.confirmFully(record.idHash);
    } else this.suspicions.clear(record.idHash);
    this.quorum.note(change);
    if (!this.running) return;
    this.queue.add(record, isNewProcess && !isRemoved(record), accuserHash);
    this.gossiper.wake();
    const { zone } = record.identity;
    const liveInZone = (): number =>
      this.table.live().filter((member) => member.identity.zone === zone).length;
    this.zones.note(record, liveInZone, this.timers.now());
    this.reporter.report(change, this.zones.isSilent(zone));
    if (record.suspected || record.lifecycle === 'failed') this.updateQuorum();
    this.publisher.publishSoon();
  }

  /** Publishes at once when the quorum was lost or regained. */
  private updateQuorum(): void {
    if (this.stopped || !this.quorum.update()) return;
    const event = this.quorum.isQuorate ? MEMBERSHIP_EVENTS.quorumRegained : MEMBERSHIP_EVENTS.quorumLost;
    this.events.emit(event, { members: this.table.liveCount });
    this.publisher.publishNow();
  }

  /** Silence seen before or during the pause means nothing; the members are asked anew. */
  private onPause(lostMs: number): void {
    if (this.stopped || !this.running) return;
    this.counts.pauses += 1;
    this.events.emit(MEMBERSHIP_EVENTS.paused, { lostMs: Math.round(lostMs) });
    this.prober.discard();
    this.sequenceAtPause = this.prober.lastSequence;
    this.suspicions.restart();
    this.health.worsen();
    this.quorum.notePause(this.table.liveCount > 1);
    this.updateQuorum();
    for (const peer of sampleMembers(this.table.peers(), GOSSIP_FANOUT, this.options.random)) {
      this.prober.greet(peer);
    }
  }
}

function stateError(message: string): MembershipError {
  return new MembershipError(
    'membership.state',
    message,
    'Call join, activate, leave and stop in this order',
  );
}
