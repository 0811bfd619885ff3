/** Daemons that spread knowledge on a virtual clock: a simulated source, a simulated network, and their faults. */
import { VirtualClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { LoadView } from '../load/index.js';
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
import { Spreader } from './spreader.js';
import type { EjectionReport } from './types.js';

export type { SourceFault } from './simulated-source.js';

/** The times of all daemons. */
export const TIMINGS = freshnessTimings(3_000);

/** One daemon of the cluster. */
export class SimulatedDaemon {
  readonly knowledge: RoutingKnowledge;
  readonly settlement: BackendSettlement;
  readonly spreader: Spreader;
  readonly endpoint: Endpoint;
  /** Back ends that others ejected, each once. */
  readonly suspicions: string[] = [];
  /** Bad answers that others noticed, each once, with the time at which they arrived. */
  readonly badAnswers = new Map<string, number>();
  /** The load of back ends as others reported it. */
  readonly loads = new LoadView();
  private readonly clock: VirtualClock;
  private readonly events = SILENT_EVENT_LOG;
  private readonly availability: SourceAvailability;
  private readonly followers: readonly SourceFollower[];
  private readonly abort = new AbortController();
  private reading: AbortController | undefined;

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
    this.availability.setMinimumRetryDelay(() => this.spreader.minimumRetryDelayMs());
    const { knowledge } = this;
    const recordsMayLapse = (): boolean => this.availability.recordsMayLapse();
    this.settlement = new BackendSettlement({ clock, events, knowledge, recordsMayLapse });
    this.followers = this.followersOf(cluster);
    this.spreader = new Spreader({
      selfId: id,
      zone: zoneOf(formatEndpoint(this.endpoint)),
      seeds: () => cluster.seeds,
      knowledge: this.knowledge,
      transport: cluster.network.open(this.endpoint),
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
      applyLoadReport: (report) => this.loads.applyReport(report),
      applyBadAnswerReport: (report) => this.applyBadAnswerReport(report),
      applyEjectionReport: (report) => this.applyEjectionReport(report),
    });
    for (const follower of this.followers) void follower.readFirst(this.abort.signal);
    this.spreader.start(this.abort.signal);
  }

  /** Version of the routes in force; 0 before the first. */
  get version(): number {
    return this.knowledge.routes()?.table.version ?? 0;
  }

  /** Ends it without a farewell. */
  kill(network: SimulatedPeerNetwork): void {
    this.abort.abort();
    this.reading?.abort();
    network.close(this.endpoint);
  }

  private followersOf({ source, options }: SpreadingCluster): readonly SourceFollower[] {
    const { clock, knowledge, availability } = this;
    const following = {
      clock,
      source: source.for(this.id),
      knowledge,
      availability,
      timings: TIMINGS,
      problems: new ProblemLog(this.events),
      history: new SourceHistoryLog(this.events),
      usesLongWatches: options.usesLongWatches,
      onConfirmation: () => this.spreader.recordOwnConfirmation(),
    };
    return knowledge.topics.map((topic) => new SourceFollower(topic, following));
  }

  private setReading(isReading: boolean): void {
    this.reading?.abort();
    this.reading = isReading ? new AbortController() : undefined;
    if (isReading) this.availability.beginReading();
    else this.availability.endReading();
    for (const follower of this.followers) if (this.reading) void follower.run(this.reading.signal);
  }

  private applyBadAnswerReport({ backendId, observer }: BadAnswerReport): boolean {
    const key = `${backendId} ${observer}`;
    if (this.badAnswers.has(key)) return false;
    this.badAnswers.set(key, this.clock.now());
    return true;
  }

  private applyEjectionReport({ backendId }: EjectionReport): boolean {
    if (this.suspicions.includes(backendId)) return false;
    this.suspicions.push(backendId);
    return true;
  }
}

/** What daemons of a cluster do differently; nothing unless given. */
export interface ClusterOptions {
  readonly followsCordons?: boolean;
  readonly usesLongWatches?: boolean;
}

/** A cluster with a source and a network. */
export class SpreadingCluster {
  readonly clock = new VirtualClock();
  readonly source = new SimulatedSource(this.clock);
  readonly network: SimulatedPeerNetwork;
  readonly daemons: SimulatedDaemon[] = [];
  readonly seeds: Endpoint[] = [];
  private started = 0;

  constructor(
    size: number,
    readonly seed = 1,
    readonly options: ClusterOptions = {},
  ) {
    this.network = new SimulatedPeerNetwork(this.clock, seededRandom(seed));
    for (let index = 1; index <= Math.min(3, size); index += 1) {
      this.seeds.push({ host: `10.1.0.${index}`, port: 7_720 });
    }
    for (let index = 0; index < size; index += 1) this.add();
  }

  /** Starts one more daemon. */
  add(): SimulatedDaemon {
    this.started += 1;
    const daemon = new SimulatedDaemon(`balancer-${this.started}`, this.started, this);
    this.daemons.push(daemon);
    return daemon;
  }

  kill(daemon: SimulatedDaemon): void {
    daemon.kill(this.network);
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
  }

  readers(): SimulatedDaemon[] {
    return this.daemons.filter(({ spreader }) => spreader.isReading);
  }

  /** Runs until `done`; resolves to the ms it took, or Infinity after `limitMs`. */
  async timeUntil(done: () => boolean, limitMs: number): Promise<number> {
    const startedMs = this.clock.now();
    while (this.clock.now() - startedMs <= limitMs) {
      if (done()) return this.clock.now() - startedMs;
      await this.clock.advanceAsync(5, 5);
    }
    return Number.POSITIVE_INFINITY;
  }

  /** Largest age of what any of `daemons` knows. */
  maxAge(daemons: readonly SimulatedDaemon[] = this.daemons): number {
    return Math.max(...daemons.map(({ knowledge }) => knowledge.age()));
  }
}

/** A cluster has its readers after this long. */
export const SETTLE_MS = 4_000;

/** A cluster that has run for `SETTLE_MS`. */
export async function settled(
  size: number,
  seed = 1,
  options: ClusterOptions = {},
): Promise<SpreadingCluster> {
  const cluster = new SpreadingCluster(size, seed, options);
  await cluster.clock.advanceAsync(SETTLE_MS, 10);
  return cluster;
}

/** Time until every daemon of `daemons` has this version in force. */
export function timeOfVersion(
  cluster: SpreadingCluster,
  version: number,
  daemons: readonly SimulatedDaemon[] = cluster.daemons,
): Promise<number> {
  return cluster.timeUntil(() => daemons.every((daemon) => daemon.version === version), 10_000);
}

/** Lets the source treat its readers badly. */
export function faultReaders(cluster: SpreadingCluster, fault: SourceFault): void {
  for (const { id } of cluster.readers()) cluster.source.faults.set(id, fault);
}
