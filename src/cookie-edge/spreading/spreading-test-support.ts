/** Cluster of daemons that gossip on a virtual clock, with a simulated source and a simulated network. */
import { VirtualClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { LoadView } from '../load/index.js';
import type { OpeningAnswer } from '../opening-lookup/index.js';
import type { BadAnswerReport } from '../outliers/index.js';
import {
  BackendSettlement,
  freshnessTimings,
  ProblemLog,
  RoutingKnowledge,
  SourceAvailability,
  SourceFollower,
  SourceHistoryLog,
} from '../routing/index.js';
import { SimulatedPeerNetwork, zoneOf } from './simulated-peer-network.js';
import { SimulatedSource, type SourceFault } from './simulated-source.js';
import { GossipNode, type GossipNodeOptions } from './gossip-node.js';
import type { EjectionReport } from './types.js';

export type { SourceFault } from './simulated-source.js';

/** Freshness timings of all daemons, for a bound of 3 s. */
export const TIMINGS = freshnessTimings(3_000);

/** One daemon of a simulated cluster. */
export class SimulatedDaemon {
  readonly knowledge: RoutingKnowledge;
  readonly settlement: BackendSettlement;
  readonly gossipNode: GossipNode;
  readonly endpoint: Endpoint;
  /** Back ends that other daemons ejected, each once. */
  readonly ejectionsReceived: string[] = [];
  /** Arrival times of the bad answers that other daemons observed, by `backendId observer`. */
  readonly badAnswerArrivals = new Map<string, number>();
  /** Back ends at which this daemon placed openings, by the caller's port. */
  readonly placedOpenings = new Map<number, string>();
  /** Answers of peers about openings, by peer. */
  readonly openingAnswers = new Map<string, OpeningAnswer>();
  /** Load of back ends as other daemons reported it. */
  readonly loads = new LoadView();
  private readonly clock: VirtualClock;
  private readonly events = SILENT_EVENT_LOG;
  private readonly availability: SourceAvailability;
  private readonly followers: readonly SourceFollower[];
  private readonly abort = new AbortController();
  private readingAbort: AbortController | undefined;

  constructor(
    readonly id: string,
    index: number,
    cluster: SpreadingCluster,
  ) {
    this.clock = cluster.clock;
    this.endpoint = { host: `10.1.${index >> 8}.${index & 0xff}`, port: 7_720 };
    const { clock, events } = this;
    const { followsCordons } = cluster.options;
    const random = seededRandom(cluster.seed * 1_000 + index);
    this.knowledge = new RoutingKnowledge({ clock, events, retentionMs: 60_000, followsCordons });
    this.availability = new SourceAvailability(clock, random, events);
    this.availability.setMinimumRetryDelay(() => this.gossipNode.minimumRetryDelayMs());
    const { knowledge } = this;
    const recordsMayLapse = (): boolean => this.availability.recordsMayLapse();
    this.settlement = new BackendSettlement({ clock, events, knowledge, recordsMayLapse });
    this.followers = this.createFollowers(cluster);
    this.gossipNode = new GossipNode({
      selfId: id,
      zone: zoneOf(formatEndpoint(this.endpoint)),
      seeds: () => cluster.seeds,
      knowledge: this.knowledge,
      transport: cluster.network.openTransport(this.endpoint),
      clock,
      random,
      events,
      timings: TIMINGS,
      setReading: (isReading) => this.setReading(isReading),
      recordArrival: () => undefined,
      mayHaveWaited: () => false,
      recordsMayLapse,
      isUnsettled: () => this.settlement.isUnsettled,
      onSettledPeer: () => this.settlement.recordSettledPeer(),
      ...this.messageHandlers(),
    });
    for (const follower of this.followers) void follower.readFirst(this.abort.signal);
    this.gossipNode.start(this.abort.signal);
  }

  /** Returns the handlers of reports, queries and answers of other daemons. */
  private messageHandlers(): Partial<GossipNodeOptions> {
    return {
      applyLoadReport: (report) => this.loads.applyReport(report),
      applyBadAnswerReport: (report) => this.applyBadAnswerReport(report),
      applyEjectionReport: (report) => this.applyEjectionReport(report),
      answerOpeningQuery: (query) => ({ ...query, backendId: this.placedOpenings.get(query.sourcePort) }),
      applyOpeningAnswer: (answer, peer) => this.openingAnswers.set(peer, answer),
    };
  }

  /** Version of the route table in force; 0 before the first. */
  get version(): number {
    return this.knowledge.routes()?.table.version ?? 0;
  }

  /** Stops this daemon without an announcement to its peers. */
  kill(network: SimulatedPeerNetwork): void {
    this.abort.abort();
    this.readingAbort?.abort();
    network.removeDaemon(this.endpoint);
  }

  private createFollowers({ source, options }: SpreadingCluster): readonly SourceFollower[] {
    const { clock, knowledge, availability } = this;
    const followerOptions = {
      clock,
      source: source.asSeenBy(this.id),
      knowledge,
      availability,
      timings: TIMINGS,
      problems: new ProblemLog(this.events),
      history: new SourceHistoryLog(this.events),
      usesLongWatches: options.usesLongWatches,
      onConfirmation: () => this.gossipNode.recordOwnConfirmation(),
    };
    return knowledge.topics.map((topic) => new SourceFollower(topic, followerOptions));
  }

  private setReading(isReading: boolean): void {
    this.readingAbort?.abort();
    this.readingAbort = isReading ? new AbortController() : undefined;
    if (isReading) this.availability.beginReading();
    else this.availability.endReading();
    for (const follower of this.followers) if (this.readingAbort) void follower.run(this.readingAbort.signal);
  }

  private applyBadAnswerReport({ backendId, observer }: BadAnswerReport): boolean {
    const key = `${backendId} ${observer}`;
    if (this.badAnswerArrivals.has(key)) return false;
    this.badAnswerArrivals.set(key, this.clock.now());
    return true;
  }

  private applyEjectionReport({ backendId }: EjectionReport): boolean {
    if (this.ejectionsReceived.includes(backendId)) return false;
    this.ejectionsReceived.push(backendId);
    return true;
  }
}

/** Options of the daemons in a cluster; the defaults are those of `RoutingKnowledge` and `SourceFollower`. */
export interface ClusterOptions {
  readonly followsCordons?: boolean;
  readonly usesLongWatches?: boolean;
}

/** Daemons that share a simulated source and a simulated network. */
export class SpreadingCluster {
  readonly clock = new VirtualClock();
  readonly source = new SimulatedSource(this.clock);
  readonly network: SimulatedPeerNetwork;
  readonly daemons: SimulatedDaemon[] = [];
  readonly seeds: Endpoint[] = [];
  private startedCount = 0;

  constructor(
    size: number,
    readonly seed = 1,
    readonly options: ClusterOptions = {},
  ) {
    this.network = new SimulatedPeerNetwork(this.clock, seededRandom(seed));
    for (let index = 1; index <= Math.min(3, size); index += 1) {
      this.seeds.push({ host: `10.1.0.${index}`, port: 7_720 });
    }
    for (let index = 0; index < size; index += 1) this.startDaemon();
  }

  /** Starts one more daemon. */
  startDaemon(): SimulatedDaemon {
    this.startedCount += 1;
    const daemon = new SimulatedDaemon(`balancer-${this.startedCount}`, this.startedCount, this);
    this.daemons.push(daemon);
    return daemon;
  }

  killDaemon(daemon: SimulatedDaemon): void {
    daemon.kill(this.network);
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
  }

  readers(): SimulatedDaemon[] {
    return this.daemons.filter(({ gossipNode }) => gossipNode.isReading);
  }

  /** Runs until `isDone` returns true; resolves to the elapsed ms, or to Infinity after `limitMs`. */
  async timeUntil(isDone: () => boolean, limitMs: number): Promise<number> {
    const startedMs = this.clock.now();
    while (this.clock.now() - startedMs <= limitMs) {
      if (isDone()) return this.clock.now() - startedMs;
      await this.clock.advanceAsync(5, 5);
    }
    return Number.POSITIVE_INFINITY;
  }

  /** Returns the largest age of the routes and back ends of any of `daemons`, in ms. */
  maxAge(daemons: readonly SimulatedDaemon[] = this.daemons): number {
    return Math.max(...daemons.map(({ knowledge }) => knowledge.maxTopicAge()));
  }
}

/** Time in ms after which the readers of a cluster no longer change. */
export const SETTLE_MS = 4_000;

/** Starts a cluster and runs it for `SETTLE_MS`. */
export async function startSettledCluster(
  size: number,
  seed = 1,
  options: ClusterOptions = {},
): Promise<SpreadingCluster> {
  const cluster = new SpreadingCluster(size, seed, options);
  await cluster.clock.advanceAsync(SETTLE_MS, 10);
  return cluster;
}

/** Resolves to the ms until the route table `version` is in force at all `daemons`, or to Infinity after 10 s. */
export function timeUntilVersion(
  cluster: SpreadingCluster,
  version: number,
  daemons: readonly SimulatedDaemon[] = cluster.daemons,
): Promise<number> {
  return cluster.timeUntil(() => daemons.every((daemon) => daemon.version === version), 10_000);
}

/** Makes the source fail for its current readers. */
export function injectReaderFault(cluster: SpreadingCluster, fault: SourceFault): void {
  for (const { id } of cluster.readers()) cluster.source.faults.set(id, fault);
}
