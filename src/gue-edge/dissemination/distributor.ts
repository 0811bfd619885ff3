/**
 * Brings every accepted version of the settings tree into force on this balancer and passes it on.
 *
 * Owns the parts of this folder and the timers of anti-entropy and integrity checks. Relies on the store reader and
 * on peers for trees, on the tree holder for which one takes effect, and on the membership view for peers.
 */
import type { Clock } from '../../common/clock.js';
import { Ticker } from '../../common/event-stream.js';
import { jitter, type RandomSource } from '../../common/random.js';
import type { ControlChannel } from '../control/types.js';
import type { MembershipFeed } from '../membership/types.js';
import type { EventLog } from '../../observability/event.js';
import type { StoreClient, StoredObject } from '../../store/index.js';
import { TREE_OBJECT_KEY, type EffectiveSettings } from '../../settings/index.js';
import * as limits from './constants.js';
import {
  buildFromDocument,
  buildFromNodeSet,
  type DistributedTree,
  type TreeCodec,
} from './distributed-tree.js';
import { DisseminationError, invalidTree } from './errors.js';
import { DISSEMINATION_EVENTS } from './events.js';
import { Messenger, type Sender } from './messenger.js';
import { decodeNodeSet } from './node-set.js';
import type { sailquay } from './pb/dissemination.js';
import { livePeers, sample } from './peers.js';
import { Puller, type Transfer } from './puller.js';
import { Pusher } from './pusher.js';
import { decodeStamp, encodeStamp, NO_TREE, sameTree, supersedes, type TreeStamp } from './stamp.js';
import { newCounters, type DisseminationCounters } from './statistics.js';
import { StoreReader } from './store-reader.js';
import { TransferServer } from './transfer-server.js';
import { settingsTreeCodec, toDocument } from './tree-codec.js';
import { TreeHolder, type TreeOrigin } from './tree-holder.js';
import type { SettingsFeed } from './types.js';

/** What a distributor needs. */
interface SettingsDistributorOptions {
  readonly region: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly channel: ControlChannel;
  readonly membership: MembershipFeed;
  /** Absent: this balancer never reads the store itself. */
  readonly platform?: StoreClient | undefined;
  readonly treeKey?: string;
  readonly codec?: TreeCodec;
}

/** State for the admin page. */
export interface DisseminationStatus {
  /** Version in force; 0 before the first. */
  readonly version: number;
  readonly digest: string;
  readonly nodes: number;
  /** When the version in force took effect here, and when its last edit was made; ms since the epoch, 0: unknown. */
  readonly appliedAtWallMs: number;
  readonly acceptedAtWallMs: number;
  /** Time from the edit to its effect here in ms; undefined when it is unknown or the clocks disagree. */
  readonly timeToInForceMs: number | undefined;
  /** Name of the reader lease that this balancer holds. */
  readonly readerLease: string | undefined;
  /** Newest version that a peer has named, when that is not in force here yet. */
  readonly newerVersionKnown: number | undefined;
  readonly counters: Readonly<DisseminationCounters>;
}

export class SettingsDistributor implements SettingsFeed {
  private readonly counters = newCounters();
  private readonly codec: TreeCodec;
  private readonly closing = new AbortController();
  private readonly holder: TreeHolder;
  private readonly messenger: Messenger;
  private readonly pusher: Pusher;
  private readonly puller: Puller;
  private readonly server: TransferServer;
  private readonly reader: StoreReader | undefined;
  private reading: Promise<void> = Promise.resolve();

  constructor(private readonly options: SettingsDistributorOptions) {
    const { clock, random, events, channel, membership, platform } = options;
    this.codec = options.codec ?? settingsTreeCodec;
    this.holder = new TreeHolder(clock, events, this.counters);
    this.messenger = new Messenger(channel, events, this.counters);
    const { holder, messenger, counters } = this;
    this.pusher = new Pusher({ holder, messenger, membership, clock, random });
    this.server = new TransferServer(this.holder, this.messenger, clock, this.counters);
    this.puller = new Puller({
      holder,
      messenger,
      clock,
      random,
      counters,
      deliver: (pulled) => this.applyNodeSet(pulled, 'pull'),
      signal: this.closing.signal,
    });
    this.reader = platform && this.createReader(platform);
  }

  /** Starts reading, listening and comparing; call once. */
  start(): void {
    const { signal } = this.closing;
    this.holder.applied.subscribe((applied) => this.pusher.spread(applied, signal));
    this.messenger.receive((body, sender) => this.onMessage(body, sender));
    const { clock } = this.options;
    new Ticker(clock, () => this.antiEntropyDelayMs()).run(signal, () => this.compareWithPeer());
    new Ticker(clock, () => limits.INTEGRITY_CHECK_INTERVAL_MS).run(signal, () =>
      this.holder.checkNextNodes(limits.INTEGRITY_CHECK_NODES),
    );
    this.compareWithPeer();
    if (this.reader) this.reading = this.reader.run(signal);
  }

  /** Gives the reader lease back and stops. The settings in force stay readable. */
  async close(): Promise<void> {
    this.closing.abort();
    await this.reading;
  }

  current(): EffectiveSettings | undefined {
    return this.holder.settings();
  }

  subscribe(listener: (settings: EffectiveSettings) => void): () => void {
    return this.holder.applied.subscribe(({ tree }) => listener(tree.settings));
  }

  status(): DisseminationStatus {
    const stamp = this.holder.current()?.stamp ?? NO_TREE;
    const appliedAtWallMs = this.holder.appliedAtWallMs();
    const elapsedMs = appliedAtWallMs - stamp.acceptedAtWallMs;
    const known = this.puller.newestVersionKnown();
    return {
      version: stamp.version,
      digest: stamp.digest,
      nodes: stamp.nodeCount,
      appliedAtWallMs,
      acceptedAtWallMs: stamp.acceptedAtWallMs,
      timeToInForceMs: stamp.acceptedAtWallMs > 0 && elapsedMs >= 0 ? elapsedMs : undefined,
      readerLease: this.reader?.leaseName(),
      newerVersionKnown: known > stamp.version ? known : undefined,
      counters: { ...this.counters },
    };
  }

  private createReader(platform: StoreClient): StoreReader {
    const { membership, region, clock, random, events } = this.options;
    return new StoreReader({
      platform,
      membership,
      region,
      clock,
      random,
      events,
      counters: this.counters,
      treeKey: this.options.treeKey ?? TREE_OBJECT_KEY,
      versionInForce: () => this.holder.stamp().version,
      onDocument: (object, readerToken) => this.onDocument(object, readerToken),
    });
  }

  /** A document from the store, read under a trusted lease. */
  private onDocument(object: StoredObject, readerToken: number): void {
    const { version } = object;
    const inForce = this.holder.stamp();
    if (version < inForce.version) {
      this.counters.ignoredOlder += 1;
      this.options.events.emit(DISSEMINATION_EVENTS.olderTreeIgnored, { version, inForce: inForce.version });
      return;
    }
    const document = toDocument(object.value);
    if (!document) {
      const error = invalidTree(version, ['the document is not a settings tree']);
      this.holder.reject({ version, digest: 'unreadable' }, error, 'store');
      return;
    }
    const source = { version, readerToken, acceptedAtWallMs: document.edits.at(-1)?.atWallMs ?? 0 };
    const built = buildFromDocument(this.codec, document, source, this.intactTree());
    if (built.isErr) {
      this.holder.reject({ version, digest: 'store' }, built.error, 'store');
      return;
    }
    const { stamp } = built.value.tree;
    this.holder.meet(stamp, 'store');
    if (supersedes(stamp, this.holder.stamp())) this.holder.install(built.value, 'store');
  }

  private onMessage(body: sailquay.dissemination.Message, sender: Sender): void {
    if (body.announcement) this.onAnnouncement(body.announcement, sender);
    else if (body.probe) this.onProbe(decodeStamp(body.probe.stamp), sender);
    else if (body.pullRequest) this.server.serve(body.pullRequest, sender);
    else if (body.pullChunk) this.puller.receive(body.pullChunk);
  }

  private onAnnouncement(announcement: sailquay.dissemination.IAnnouncement, sender: Sender): void {
    const stamp = decodeStamp(announcement.stamp);
    this.holder.meet(stamp, sender.id);
    this.pusher.note(sender.id, stamp);
    if (!this.holder.wants(stamp)) return;
    const base = decodeStamp(announcement.base);
    const delta = announcement.delta ?? new Uint8Array();
    const applies = base.version > 0 && delta.length > 0 && sameTree(base, this.holder.stamp());
    if (applies && this.applyNodeSet({ bytes: delta, base, target: stamp, from: sender }, 'push')) return;
    this.puller.consider(stamp, sender);
  }

  private onProbe(stamp: TreeStamp, sender: Sender): void {
    const own = this.holder.stamp();
    this.holder.meet(stamp, sender.id);
    this.pusher.note(sender.id, stamp);
    if (this.holder.wants(stamp)) this.puller.consider(stamp, sender);
    else if (own.version > 0 && supersedes(own, stamp)) this.pusher.announceTo(sender.endpoint, stamp);
  }

  /** Builds and installs a peer's tree; false when it was not put in force. */
  private applyNodeSet({ bytes, base, target, from }: Transfer, origin: TreeOrigin): boolean {
    const isDelta = base.version > 0;
    if (isDelta && !sameTree(base, this.holder.stamp())) return false;
    try {
      const baseTree = isDelta ? this.holder.current() : undefined;
      const received = decodeNodeSet(bytes);
      const trees = { base: baseTree, previous: this.holder.current() };
      const built = buildFromNodeSet(this.codec, received, target, trees);
      if (built.isOk) return this.holder.install(built.value, origin);
      this.holder.reject(target, built.error, from.id);
    } catch (error) {
      this.dropUndecodable(error, from);
    }
    return false;
  }

  private dropUndecodable(error: unknown, sender: Sender): void {
    if (!(error instanceof DisseminationError)) throw error;
    this.counters.badMessages += 1;
    this.options.events.emit(DISSEMINATION_EVENTS.badMessage, { from: sender.id, detail: error.message });
  }

  private intactTree(): DistributedTree | undefined {
    return this.holder.stamp().version > 0 ? this.holder.current() : undefined;
  }

  private antiEntropyDelayMs(): number {
    const behind = this.holder.stamp().version === 0 || this.puller.isBehind();
    const intervalMs = behind ? limits.ANTI_ENTROPY_BEHIND_MS : limits.ANTI_ENTROPY_INTERVAL_MS;
    return jitter(intervalMs, limits.PAUSE_SPREAD, this.options.random);
  }

  private compareWithPeer(): void {
    const [peer] = sample(livePeers(this.options.membership), 1, this.options.random);
    if (!peer) return;
    this.messenger.send(peer.control, { probe: { stamp: encodeStamp(this.holder.stamp()) } });
  }
}
