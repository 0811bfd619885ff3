/**
 * Builds the parts of one member and connects what they ask of each other. The parts that report something
 * (changes, pauses, silence) do so through streams, to which `SwimMembership` subscribes; so every part exists
 * before another uses it.
 *
 * Owns nothing afterwards: `SwimMembership` has the parts.
 */
import { hashString } from '../../common/hash.js';
import { SILENT_EVENT_LOG, type EventLog } from '../../observability/event.js';
import { ChangeReporter } from './change-reporter.js';
import { DEFAULT_MEMBERSHIP_TIMING, ZONE_VIEW_BATCH_MS, type MembershipTiming } from './constants.js';
import { GossipQueue } from './gossip-queue.js';
import { Gossiper } from './gossiper.js';
import { GuardedTimers } from './guarded-timers.js';
import { Joiner } from './joiner.js';
import { LocalHealth } from './local-health.js';
import { MemberTable } from './member-table.js';
import type { SwimMembershipOptions } from './membership-options.js';
import { Messenger } from './messenger.js';
import { Prober } from './prober.js';
import { QuorumBase } from './quorum-base.js';
import { Quorum } from './quorum.js';
import { StateSync } from './state-sync.js';
import { Suspicions } from './suspicion.js';
import { ViewPublisher } from './view-publisher.js';
import { ZoneSilence } from './zone-silence.js';

/** Tables, timers and senders, which the other parts share. */
interface MembershipBase {
  readonly events: EventLog;
  readonly timing: MembershipTiming;
  readonly regionHash: number;
  readonly health: LocalHealth;
  readonly timers: GuardedTimers;
  readonly table: MemberTable;
  readonly queue: GossipQueue;
  readonly quorumBase: QuorumBase;
  readonly suspicions: Suspicions;
  readonly messenger: Messenger;
}

/** One of each for a process. */
export interface MembershipParts extends MembershipBase {
  readonly gossiper: Gossiper;
  readonly sync: StateSync;
  readonly prober: Prober;
  readonly zones: ZoneSilence;
  readonly quorum: Quorum;
  readonly publisher: ViewPublisher;
  readonly joiner: Joiner;
  readonly reporter: ChangeReporter;
}

/** The parts of a member; none of them runs yet. */
export function createMembershipParts(options: SwimMembershipOptions): MembershipParts {
  const { clock, random, channel, region, platform } = options;
  const base = createBase(options);
  const { table, timers, timing, messenger, queue, events } = base;
  const common = { table, timers, random, timing, messenger };
  const zones = new ZoneSilence();
  const sync = new StateSync(common);
  const availableBytesPerSecond = (): number => channel.availableBytesPerSecond();
  const gossiper = new Gossiper({ ...common, queue, availableBytesPerSecond });
  const prober = new Prober({ ...common, health: base.health, wallMs: () => clock.wall() });
  const quorum = new Quorum({
    ...common,
    clock,
    region,
    platform,
    base: base.quorumBase,
    suspicions: base.suspicions,
    isCutOff: () => prober.isCutOff,
    isZoneSilent: (zone) => zones.isSilent(zone),
  });
  const publisher = new ViewPublisher({
    table,
    clock,
    region,
    isQuorate: () => quorum.isQuorate,
    batchMs: () => (zones.anySilent ? ZONE_VIEW_BATCH_MS : timing.viewBatchMs),
  });
  const joiner = new Joiner({
    ...common,
    seeds: options.seeds,
    platform,
    events,
    contact: (endpoint) => sync.request(endpoint),
    isListReader: () => quorum.isLowestReachable(),
  });
  const reporter = new ChangeReporter(events);
  return { ...base, gossiper, sync, prober, zones, quorum, publisher, joiner, reporter };
}

function createBase(options: SwimMembershipOptions): MembershipBase {
  const { clock, channel, identity, incarnation, region } = options;
  const timing = { ...DEFAULT_MEMBERSHIP_TIMING, ...options.timing };
  const regionHash = hashString(region);
  const timers = new GuardedTimers(clock, timing.pauseThresholdMs);
  const table = new MemberTable(clock, identity, incarnation);
  const memberCount = (): number => table.liveCount;
  const queue = new GossipQueue(memberCount);
  const quorumBase = new QuorumBase();
  return {
    events: options.events ?? SILENT_EVENT_LOG,
    timing,
    regionHash,
    health: new LocalHealth(),
    timers,
    table,
    queue,
    quorumBase,
    suspicions: new Suspicions(timers, timing, memberCount, (idHash) => table.fail(idHash)),
    messenger: new Messenger(channel, regionHash, queue, {
      settingsVersion: options.settingsVersion ?? (() => 0),
      baseEpoch: () => quorumBase.epoch,
    }),
  };
}
