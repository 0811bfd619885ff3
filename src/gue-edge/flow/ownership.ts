/**
 * Who holds which shard: takes shards over, replicates them, and hands them on as the membership view changes, as
 * the rules of `shard-rules.ts` say. A shard is held until its next holder has acknowledged it; the view alone
 * moves no shard.
 *
 * Owns the shards kept here. Relies on the view for the keepers, on the senders of shards to repeat what was not
 * acknowledged, and on the replica holder for what is held for others.
 */
import type { MembershipView } from '../membership/types.js';
import { BackupSync } from './backup-sync.js';
import { ORPHAN_WAIT_LIMIT_MS, ORPHAN_WAIT_MS, PAUSE_DETECTION_MS, SHARD_COUNT } from './constants.js';
import { FLOW_EVENTS } from './events.js';
import type { FlowContext } from './flow-context.js';
import { KeeperTransfers } from './keeper-transfers.js';
import type { PacketRelay } from './packet-relay.js';
import { sailquay } from './pb/flow.js';
import type { ReplicaHolder } from './replica-holder.js';
import type { ReplicaPeer } from './replica-peer.js';
import type { ReplicaPeers } from './replica-peers.js';
import { fromBitmap } from './shard-set.js';
import { KeptShard, type ReplicaShard } from './shard-holding.js';
import { judgeAcquiring, mayUseUntrusted } from './shard-rules.js';
import { ReplicaInstaller } from './replica-installer.js';
import { ReplicaRecovery } from './replica-recovery.js';
import { ShardInstaller } from './shard-installer.js';
import type { IncomingShard, InstallOutcome, ShardReceiver } from './shard-receiver.js';
import type { ShardSender } from './shard-sender.js';
import { snapshotReplica } from './shard-snapshot.js';

const { ShardPurpose } = sailquay.flow;

/** The parts that ownership works with. */
interface OwnershipParts {
  readonly relay: PacketRelay;
  readonly holder: ReplicaHolder;
  readonly peers: ReplicaPeers;
  readonly sender: ShardSender;
  readonly receiver: ShardReceiver;
}

/** Decides about every shard on each view and each tick. */
export class Ownership {
  /** Shards given to another keeper since start. */
  givenShards = 0;
  readonly backups: BackupSync;
  /** Shards since the last tick, for one log event each. */
  private startedEmpty = 0;
  private readonly installer: ShardInstaller;
  private readonly replicaInstaller: ReplicaInstaller;
  private readonly transfers: KeeperTransfers;
  private readonly recovery: ReplicaRecovery;

  constructor(
    private readonly context: FlowContext,
    private readonly parts: OwnershipParts,
  ) {
    this.installer = new ShardInstaller(context);
    this.backups = new BackupSync(context, parts);
    this.replicaInstaller = new ReplicaInstaller(context, parts.holder);
    this.transfers = new KeeperTransfers(context, {
      sender: parts.sender,
      installer: this.installer,
      onGiven: (kept, keeperId) => this.onGiven(kept, keeperId),
    });
    this.recovery = new ReplicaRecovery(context, parts, {
      promote: (replica) => this.promote(replica),
    });
  }

  /** Takes over a membership view. */
  onView(view: MembershipView): void {
    const previous = this.context.map;
    const regainedQuorum = view.quorate && !this.context.view.quorate;
    const changed = this.context.setView(view);
    if (changed) {
      this.parts.relay.previousMap = previous;
      this.context.components.events.emit(FLOW_EVENTS.ownershipChanged, {
        owners: this.context.map.owners.length,
      });
    }
    for (const targetId of this.parts.sender.targets()) {
      if (!this.context.member(targetId)) this.parts.sender.failTarget(targetId);
    }
    if (regainedQuorum) {
      this.stepDownUnreplicated(() => true);
      this.returnUnacknowledged();
    }
    this.acquireOwnShards();
    this.reconcile();
  }

  /** Does what is due. */
  tick(): void {
    this.detectPause();
    this.reconcile();
    this.logChanges();
  }

  /** Takes in a shard from another balancer. */
  install(incoming: IncomingShard): InstallOutcome {
    if (incoming.header.purpose === ShardPurpose.REPLICA) return this.replicaInstaller.install(incoming);
    if (!this.isOwnKeeper(incoming.shard)) return 'refused';
    const { header } = incoming;
    const kept = this.context.kept.get(incoming.shard);
    if (!header.trusted && !this.mayUseUntrusted(kept)) return 'refused';
    const target = kept ?? this.acquire(incoming.shard);
    const outcome = this.installer.install(target, header, incoming.records);
    if (outcome === 'superseded') return 'done';
    this.backups.drop(target);
    this.backups.restart(target);
    target.owed.push({ senderId: incoming.from.senderId, transferId: incoming.transferId });
    this.reconcileKept(target);
    return 'later';
  }

  /** Another balancer will hand over these shards: they are not started empty meanwhile. */
  onOffer(offer: sailquay.flow.Offer.$Properties): void {
    const nowMs = this.context.now();
    for (const shard of fromBitmap(offer.shards ?? new Uint8Array())) {
      const kept = this.context.kept.get(shard);
      if (kept?.role !== 'acquiring') continue;
      if (nowMs - kept.acquiringSinceMs < ORPHAN_WAIT_LIMIT_MS) kept.awaitedSinceMs = nowMs;
    }
  }

  /** The backup has handed this keeper's shards on: steps down, and waits for what the next keeper or backup sends. */
  onLapsed(peer: ReplicaPeer): void {
    let given = 0;
    this.parts.peers.nextGeneration(peer.memberId);
    for (const kept of [...this.context.kept.values()]) {
      if (kept.backup !== peer) continue;
      kept.backup = undefined;
      this.giveUp(kept, [peer.memberId], true);
      given += 1;
    }
    this.parts.peers.close(peer);
    if (given > 0) this.context.components.events.emit(FLOW_EVENTS.steppedDown, { shards: given });
  }

  /** A member that this keeper had lost sight of says that it has handed on what it was the backup for. */
  onLapsedUnseen(memberId: string): void {
    this.parts.peers.nextGeneration(memberId);
    this.stepDownUnreplicated((kept) => kept.lastBackupId === memberId);
  }

  /**
   * Steps down from shards that lost their backup while this balancer was cut off: the backup may have handed them on.
   * Known flows are forwarded meanwhile; a shard that is not offered is started again with them.
   */
  private stepDownUnreplicated(isConcerned: (kept: KeptShard) => boolean): void {
    let given = 0;
    for (const kept of [...this.context.kept.values()]) {
      if (kept.role === 'acquiring' || kept.backup || kept.lastBackupId === undefined) continue;
      if (!isConcerned(kept)) continue;
      this.giveUp(kept, [kept.lastBackupId, ...this.parts.relay.probableHolders(kept.shard)], true);
      given += 1;
    }
    if (given > 0) this.context.components.events.emit(FLOW_EVENTS.steppedDown, { shards: given });
  }

  private detectPause(): void {
    const nowMs = this.context.now();
    const gapMs = nowMs - this.context.lastTickMs;
    this.context.lastTickMs = nowMs;
    const paused = gapMs > PAUSE_DETECTION_MS;
    if (paused) this.context.components.events.emit(FLOW_EVENTS.pauseDetected, { gapMs: Math.round(gapMs) });
    if (!paused && this.context.view.quorate) return;
    this.parts.holder.distrustAll();
    this.context.cautiousUntilMs = nowMs + ORPHAN_WAIT_MS;
    if (paused) this.returnUnacknowledged();
  }

  /**
   * Gives shards back that were received and not yet acknowledged: their senders may have taken this balancer for gone
   * and serve them again. They hand them over once more.
   */
  private returnUnacknowledged(): void {
    for (const kept of [...this.context.kept.values()]) {
      if (kept.role === 'acquiring' || kept.owed.length === 0) continue;
      this.giveUp(kept, [...new Set(kept.owed.map((owed) => owed.senderId))], true);
    }
  }

  private logChanges(): void {
    const { events } = this.context.components;
    if (this.startedEmpty > 0) events.emit(FLOW_EVENTS.shardsStartedEmpty, { shards: this.startedEmpty });
    this.startedEmpty = 0;
    this.recovery.logTakeovers();
  }

  private reconcile(): void {
    for (const kept of this.context.kept.values()) {
      if (kept.settledFor !== this.context.ownersSequence) this.reconcileKept(kept);
    }
    for (const replica of this.context.replicas.values()) this.recovery.reconcile(replica);
  }

  private acquireOwnShards(): void {
    const { map, selfId, kept } = this.context;
    for (let shard = 0; shard < SHARD_COUNT; shard += 1) {
      if (map.keeper(shard)?.id === selfId && !kept.has(shard)) this.acquire(shard);
    }
  }

  private acquire(shard: number): KeptShard {
    const kept = new KeptShard(shard, this.context.now(), this.parts.relay.probableHolders(shard));
    this.context.kept.set(shard, kept);
    return kept;
  }

  private isOwnKeeper(shard: number): boolean {
    return this.context.view.quorate && this.context.map.keeper(shard)?.id === this.context.selfId;
  }

  private mayUseUntrusted(kept: KeptShard | undefined): boolean {
    return mayUseUntrusted({
      kept: kept && { acquiring: kept.role === 'acquiring', acquiringSinceMs: kept.acquiringSinceMs },
      nowMs: this.context.now(),
      cautiousUntilMs: this.context.cautiousUntilMs,
    });
  }

  private reconcileKept(kept: KeptShard): void {
    const keeper = this.context.map.keeper(kept.shard);
    if (kept.role === 'acquiring') this.reconcileAcquiring(kept, keeper?.id);
    else if (kept.role === 'transferring') this.transfers.reconcile(kept);
    else if (keeper && keeper.id !== this.context.selfId) this.transfers.handOn(kept, keeper);
    else this.backups.ensure(kept);
  }

  private reconcileAcquiring(kept: KeptShard, keeperId: string | undefined): void {
    const { context, installer } = this;
    const nowMs = context.now();
    const settings = context.components.settings.current();
    const replica = context.replicas.get(kept.shard);
    const verdict = judgeAcquiring({
      isKeeper: keeperId === context.selfId,
      quorate: context.view.quorate,
      hasSettings: settings !== undefined,
      replicaHeldHere: replica?.trusted === true && context.member(replica.keeperId) !== undefined,
      nowMs,
      cautiousUntilMs: context.cautiousUntilMs,
      acquiringSinceMs: kept.acquiringSinceMs,
      awaitedSinceMs: kept.awaitedSinceMs,
    });
    if (verdict === 'forget') {
      installer.forgetFlows(kept);
      context.kept.delete(kept.shard);
    } else if (verdict === 'postpone') kept.awaitedSinceMs = nowMs;
    else if (verdict === 'start-unoffered') {
      installer.startUnoffered(kept, settings!.version);
      this.startedEmpty += 1;
      this.backups.ensure(kept);
    }
  }

  private onGiven(kept: KeptShard, keeperId: string): void {
    this.givenShards += 1;
    this.giveUp(kept, [keeperId], false);
  }

  /**
   * Lets go of a shard that others hold now.
   *
   * @param keepFlows the shard is likely to come back: its flows are kept to be merged with what is sent then
   */
  private giveUp(kept: KeptShard, holders: readonly string[], keepFlows: boolean): void {
    this.backups.drop(kept);
    kept.formerBackup?.sendReleases();
    for (const owed of kept.owed.splice(0))
      this.parts.receiver.acknowledge(owed.senderId, owed.transferId, false);
    this.context.kept.delete(kept.shard);
    const stillKeeper = this.context.map.keeper(kept.shard)?.id === this.context.selfId;
    if (stillKeeper && keepFlows) this.installer.dropPending(kept);
    else this.installer.forgetFlows(kept);
    if (!stillKeeper) return;
    const next = new KeptShard(kept.shard, this.context.now(), holders, keepFlows ? kept : undefined);
    this.context.kept.set(kept.shard, next);
  }

  /** This balancer is the next keeper itself. */
  private promote(replica: ReplicaShard): void {
    const kept = this.context.kept.get(replica.shard);
    if (!replica.trusted && !this.mayUseUntrusted(kept)) return;
    this.recovery.begin(replica);
    const { records, ...header } = snapshotReplica(this.context, replica);
    const target = kept ?? this.acquire(replica.shard);
    const recovery = { ...header, purpose: ShardPurpose.RECOVERY };
    const outcome = this.installer.install(target, recovery, records);
    if (outcome === 'installed') {
      this.backups.drop(target);
      this.backups.restart(target);
    }
    this.parts.holder.remove(replica);
    this.reconcileKept(target);
  }
}
