/**
 * Membership of one balancer: failure detection, gossip, anti-entropy and quorum put together. Owns the life of the
 * member (join, activate, leave, stop) and reacts to what its parts report; relies on a control channel and, if
 * there is one, on the store for its lease and machine list.
 */
import { hashString } from '../../common/hash.js';
import { jitter, pick } from '../../common/random.js';
import { Accusations } from './accusations.js';
import { MEMBERSHIP_FANOUT } from './constants.js';
import { MembershipError } from './errors.js';
import { MEMBERSHIP_EVENTS } from './events.js';
import { isRemoved } from './member-record.js';
import type { RecordChange } from './member-table.js';
import type { KnownMember, MembershipStatistics, SwimMembershipOptions } from './membership-options.js';
import { createMembershipParts, type MembershipParts } from './membership-parts.js';
import { MessageReceiver } from './message-receiver.js';
import { QuorumUpdates } from './quorum-updates.js';
import { sampleMembers } from './sampling.js';
import type { MembershipFeed, MembershipView } from './types.js';

/** Part of the reconnect interval that is drawn at random, so that members do not contact a failed one together. */
const RECONNECT_JITTER = 0.5;

/** Call `join`, then `activate` when ready; `leave` and `stop` to go. */
export class SwimMembership implements MembershipFeed {
  readonly selfId: string;
  private readonly parts: MembershipParts;
  private readonly accusations: Accusations;
  private readonly quorumUpdates: QuorumUpdates;
  private readonly receiver: MessageReceiver;
  private pauseCount = 0;
  private reconnectDueMs = 0;
  private running = false;
  private stopped = false;

  constructor(private readonly options: SwimMembershipOptions) {
    const { channel, identity } = options;
    this.selfId = identity.id;
    const parts = createMembershipParts(options);
    this.parts = parts;
    this.accusations = new Accusations(parts);
    this.quorumUpdates = new QuorumUpdates(parts);
    this.receiver = new MessageReceiver({
      parts,
      accusations: this.accusations,
      quorumUpdates: this.quorumUpdates,
      availableBytesPerSecond: () => channel.availableBytesPerSecond(),
    });
    this.reactToParts();
  }

  view(): MembershipView {
    return this.parts.publisher.view();
  }

  subscribe(listener: (view: MembershipView) => void): () => void {
    return this.parts.publisher.subscribe(listener);
  }

  /** Counters for metrics and tests. */
  statistics(): MembershipStatistics {
    const { reporter, zones, health } = this.parts;
    return {
      suspicionsRaised: this.accusations.raised,
      refutations: this.receiver.refutations,
      pauses: this.pauseCount,
      failures: reporter.failures,
      zoneEvents: zones.events,
      healthScore: health.score,
    };
  }

  /** Merges active members known from elsewhere, before `join`; nothing is gossiped about them. For simulations. */
  preload(members: readonly KnownMember[]): void {
    for (const { identity, incarnation } of members) {
      if (identity.id === this.selfId) continue;
      const idHash = hashString(identity.id);
      const introduction = { idHash, identity, incarnation, refutation: 0, suspected: false, accuserHash: 0 };
      this.parts.table.merge({ ...introduction, lifecycle: 'active' });
    }
  }

  /**
   * Starts: looks for other members, answers and probes them. Resolves when one has answered or there is none to
   * ask.
   */
  async join(): Promise<void> {
    if (this.running) throw stateError('join was called twice');
    const { channel, seeds, platform } = this.options;
    const { queue, table, quorum, prober, sync, publisher, joiner } = this.parts;
    this.running = true;
    channel.handle('membership', (message) => {
      if (!this.stopped) this.receiver.receive(message);
    });
    queue.add(table.self, true, 0);
    quorum.start(seeds.length > 0 || platform !== undefined);
    prober.start();
    sync.start();
    publisher.publishNow();
    this.quorumUpdates.update();
    await joiner.join();
  }

  /** True when this member may become active without any other live member: see `decideFounding`. */
  mayFoundRegion(): boolean {
    return this.parts.quorum.mayFoundRegion;
  }

  /** Takes shards from now on: joining becomes active. */
  activate(): void {
    const { table, publisher } = this.parts;
    if (table.self.lifecycle !== 'joining') throw stateError('activate needs a joining member');
    table.advanceSelf('active');
    publisher.publishNow();
  }

  /** Gives its shards away: active becomes leaving. The flow keeper hands over; then call `stop`. */
  leave(): void {
    const { table, gossiper, publisher } = this.parts;
    const { lifecycle } = table.self;
    if (lifecycle !== 'active' && lifecycle !== 'joining')
      throw stateError('leave needs a member that is in');
    table.advanceSelf('leaving');
    gossiper.spread(MEMBERSHIP_FANOUT);
    publisher.publishNow();
  }

  /** Tells others that this member is gone and ends; nothing is sent afterwards. */
  stop(): void {
    if (this.stopped) return;
    const { table, gossiper, prober, sync, joiner, suspicions, quorum, publisher } = this.parts;
    this.stopped = true;
    this.quorumUpdates.stop();
    if (this.running && !isRemoved(table.self)) {
      table.advanceSelf('left');
      gossiper.spread(2 * MEMBERSHIP_FANOUT);
    }
    prober.stop();
    sync.stop();
    gossiper.stop();
    joiner.stop();
    suspicions.stop();
    quorum.stop();
    publisher.stop();
  }

  private reactToParts(): void {
    const { timers, table, prober, zones, quorum, publisher } = this.parts;
    timers.pauses.subscribe((lostMs) => this.onPause(lostMs));
    table.changes.subscribe((change) => this.onChange(change));
    prober.unanswered.subscribe((target) => this.accusations.onUnanswered(target));
    prober.rounds.subscribe(() => this.onRound());
    zones.silences.subscribe(({ zone, silentMembers }) => this.onZoneSilent(zone, silentMembers));
    quorum.changes.subscribe(() => this.quorumUpdates.update());
    publisher.due.subscribe(() => this.quorumUpdates.update());
  }

  /** The silence of one member confirms that of the others: the rest is probed next and all are removed soon. */
  private onZoneSilent(zone: string, members: number): void {
    const { events, table, prober, suspicions } = this.parts;
    events.emit(MEMBERSHIP_EVENTS.zoneSilent, { zone, members });
    const inZone = table.peers().filter((peer) => peer.identity.zone === zone);
    prober.probeSoon(inZone.filter((peer) => !peer.suspected).map((peer) => peer.idHash));
    for (const peer of inZone) suspicions.confirmFully(peer.idHash);
  }

  private onRound(): void {
    const { table, zones, timers } = this.parts;
    table.prune();
    this.reconnect();
    zones.refresh(timers.now());
    this.quorumUpdates.update();
  }

  /** Now and then greets a member that failed: it may only have been cut off. */
  private reconnect(): void {
    const { timers, timing, table, prober } = this.parts;
    const nowMs = timers.now();
    if (nowMs < this.reconnectDueMs) return;
    const { random } = this.options;
    this.reconnectDueMs = nowMs + jitter(timing.reconnectIntervalMs, RECONNECT_JITTER, random);
    const failed = table.failed();
    if (failed.length === 0 || random() * (failed.length + table.liveCount) >= failed.length) return;
    prober.greet(pick(failed, random));
  }

  private onChange(change: RecordChange): void {
    const { table, suspicions, zones, quorum, queue, gossiper, reporter, publisher, timers } = this.parts;
    const { record, previous, accuserHash } = change;
    const { zone } = record.identity;
    const isNewProcess = !previous || previous.incarnation !== record.incarnation;
    if (record.suspected) {
      suspicions.accuse(record.idHash, accuserHash);
      if (zones.isSilent(zone)) suspicions.confirmFully(record.idHash);
    } else suspicions.clear(record.idHash);
    quorum.note(change);
    if (!this.running) return;
    queue.add(record, isNewProcess && !isRemoved(record), accuserHash);
    gossiper.wake();
    const liveInZone = (): number => table.live().filter((member) => member.identity.zone === zone).length;
    zones.note(record, liveInZone, timers.now());
    reporter.report(change, zones.isSilent(zone));
    if (record.suspected || record.lifecycle === 'failed') this.quorumUpdates.update();
    publisher.publishSoon();
  }

  /** Silence seen before or during the pause means nothing; the members are asked anew. */
  private onPause(lostMs: number): void {
    if (this.stopped || !this.running) return;
    const { events, prober, suspicions, health, quorum, table } = this.parts;
    this.pauseCount += 1;
    events.emit(MEMBERSHIP_EVENTS.paused, { lostMs: Math.round(lostMs) });
    prober.discard();
    this.receiver.notePause();
    suspicions.restart();
    health.worsen();
    quorum.notePause(table.liveCount > 1);
    this.quorumUpdates.update();
    for (const peer of sampleMembers(table.peers(), MEMBERSHIP_FANOUT, this.options.random))
      prober.greet(peer);
  }
}

function stateError(message: string): MembershipError {
  return new MembershipError(
    'membership.state',
    message,
    'Call join, activate, leave and stop in this order',
  );
}
