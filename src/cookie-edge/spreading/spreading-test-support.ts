/** Daemons that spread knowledge on a virtual clock: a simulated source, a simulated network, and their faults. */
import { VirtualClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import { LoadView } from '../load/index.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import {
  freshnessTimings,
  ProblemLog,
  RoutingKnowledge,
  SourceCircuit,
  SourceFollower,
} from '../routing/index.js';
import { SimulatedPeerNetwork, zoneOf } from './simulated-peer-network.js';
import { SimulatedSource, type SourceFault } from './simulated-source.js';
import { Spreader } from './spreader.js';

export type { SourceFault } from './simulated-source.js';

/** The times of all daemons. */
export const TIMINGS = freshnessTimings(3_000);

/** One daemon of the cluster. */
export class SimulatedDaemon {
  readonly knowledge: RoutingKnowledge;
  readonly spreader: Spreader;
  readonly endpoint: Endpoint;
  /** Back ends that others suspected, each once. */
  readonly suspicions: string[] = [];
  /** Bad answers that others noticed, each once, and when they were heard of. */
  readonly badAnswers = new Map<string, number>();
  /** The load of back ends as others reported it. */
  readonly loads = new LoadView();
  private readonly abort = new AbortController();
  private reading: AbortController | undefined;

  constructor(
    readonly id: string,
    index: number,
    cluster: SpreadingCluster,
  ) {
    const { clock, source, network } = cluster;
    this.endpoint = { host: `10.1.${index >> 8}.${index & 0xff}`, port: 7_720 };
    const random = seededRandom(cluster.seed * 1_000 + index);
    const events = SILENT_EVENT_LOG;
    this.knowledge = new RoutingKnowledge({
      clock,
      events,
      retentionMs: 60_000,
      followsCordons: cluster.options.followsCordons,
    });
    const circuit = new SourceCircuit(clock, random, events);
    circuit.retryNoSoonerThan(() => this.spreader.minimumRetryDelayMs());
    const following = {
      clock,
      source: source.for(id),
      knowledge: this.knowledge,
      circuit,
      timings: TIMINGS,
      problems: new ProblemLog(events),
      usesLongWatches: cluster.options.usesLongWatches,
      onConfirmation: () => this.spreader.noteOwnConfirmation(),
    };
    const followers = this.knowledge.topics.map((topic) => new SourceFollower(topic, following));
    this.spreader = new Spreader({
      selfId: id,
      zone: zoneOf(formatEndpoint(this.endpoint)),
      seeds: () => cluster.seeds,
      knowledge: this.knowledge,
      transport: network.open(this.endpoint),
      clock,
      random,
      events,
      timings: TIMINGS,
      setReading: (isReading) => {
        this.reading?.abort();
        this.reading = isReading ? new AbortController() : undefined;
        if (isReading) circuit.begin();
        else circuit.end();
        for (const follower of followers) if (this.reading) void follower.run(this.reading.signal);
      },
      noteArrival: () => undefined,
      mayBeOld: () => false,
      recordsMayLapse: () => circuit.recordsMayLapse(),
      applyLoadReport: (report) => this.loads.accept(report),
      applyBadAnswerReport: ({ backendId, observer }) => {
        const key = `${backendId} ${observer}`;
        if (this.badAnswers.has(key)) return false;
        this.badAnswers.set(key, clock.now());
        return true;
      },
      applyEjectionReport: ({ backendId }) => {
        if (this.suspicions.includes(backendId)) return false;
        this.suspicions.push(backendId);
        return true;
      },
    });
    for (const follower of followers) void follower.readFirst(this.abort.signal);
    this.spreader.start(this.abort.signal);
  }

  /** Version of the routes in force; 0 before the first. */
  get version(): number {
    return this.knowledge.routes()?.table.version ?? 0;
  }

  /** Ends it without a word. */
  kill(network: SimulatedPeerNetwork): void {
    this.abort.abort();
    this.reading?.abort();
    network.close(this.endpoint);
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
