/** Daemons that spread knowledge on a virtual clock: a simulated source, a simulated network, and their faults. */
import Result from 'true-myth/result';
import { VirtualClock, type Clock } from '../common/clock.js';
import { seededRandom, type RandomSource } from '../common/random.js';
import { formatEndpoint, type Endpoint } from '../common/types.js';
import { SILENT_EVENT_LOG } from '../observability/event.js';
import {
  freshnessTimings,
  RoutingKnowledge,
  RoutingSourceError,
  SourceCircuit,
  SourceFollower,
  type RoutedBackend,
  type RouteTable,
  type RoutingSource,
  type RoutingSourceErrorKind,
  type RoutingTopic,
  type RoutingUpdate,
} from '../routing/index.js';
import { backendAt, tableAt, updateAt } from '../routing/routing-test-support.js';
import { fetchError, type SpreadingError } from './errors.js';
import { Spreader } from './spreader.js';
import {
  ROUTING_TOPICS,
  type DatagramReceiver,
  type KnownRevisions,
  type PeerTransport,
  type StateProvider,
} from './types.js';

const ANSWER_MS = 4;
const HOP_MS = 2;
const CALL_TIMEOUT_MS = 1_000;

/** The times of all daemons. */
export const TIMINGS = freshnessTimings(3_000);

/** How the source treats a daemon. */
export type SourceFault = 'refuse' | 'throttle' | 'silent';

interface LoggedChange {
  readonly revision: number;
  readonly topic: RoutingTopic;
  readonly backend?: RoutedBackend;
  readonly removed?: string;
}

/** A source with one counter of revisions, watches, a history that may be lost, and faults for some daemons. */
export class SimulatedSource {
  revision = 2;
  calls = 0;
  /** Faults by daemon; `*` is for all. */
  readonly faults = new Map<string, SourceFault>();
  private table: RouteTable | undefined = tableAt(2);
  private readonly backends = new Map<string, RoutedBackend>([['a', backendAt('a', 1)]]);
  private changes: LoggedChange[] = [];
  private historyFrom = 0;
  private readonly waiters = new Set<() => void>();

  constructor(private readonly clock: Clock) {}

  /** The operator has not written any routes yet. */
  withoutRoutes(): void {
    this.table = undefined;
  }

  /** Puts a new table in force; its version is its revision. */
  changeRoutes(content: Partial<RouteTable> = {}): number {
    this.revision += 1;
    this.table = tableAt(this.revision, content);
    return this.note({ revision: this.revision, topic: 'routes' });
  }

  changeBackend(id: string, change: Partial<RoutedBackend> = {}): number {
    this.revision += 1;
    const backend = backendAt(id, this.revision, change);
    this.backends.set(id, backend);
    return this.note({ revision: this.revision, topic: 'backends', backend });
  }

  removeBackend(id: string): number {
    this.revision += 1;
    this.backends.delete(id);
    return this.note({ revision: this.revision, topic: 'backends', removed: id });
  }

  /** Forgets every change so far; watches that ask for them are told so. */
  forgetHistory(): void {
    this.historyFrom = this.revision;
    this.changes = [];
  }

  /** The source as the daemon `id` sees it. */
  for(id: string): RoutingSource {
    return {
      read: (topic, _freshness, signal) => this.call(id, signal, () => Promise.resolve(this.snapshot(topic))),
      watch: (topic, revision, waitMs, signal) =>
        this.call(id, signal, () => this.waitForChange(topic, revision, waitMs, signal)),
    };
  }

  private note(change: LoggedChange): number {
    this.changes.push(change);
    for (const wake of [...this.waiters]) wake();
    return change.revision;
  }

  private async call(
    id: string,
    signal: AbortSignal,
    answer: () => Promise<RoutingUpdate | undefined>,
  ): Promise<Result<RoutingUpdate, RoutingSourceError>> {
    this.calls += 1;
    await this.sleep(ANSWER_MS, signal);
    const fault = this.faultOf(id);
    if (fault === 'refuse') return failure('routing.unavailable');
    if (fault === 'throttle') return failure('routing.throttled');
    if (fault !== 'silent') {
      const update = await answer();
      const faultNow = this.faultOf(id);
      if (faultNow !== 'silent') return update ? Result.ok(update) : failure('routing.history-gone');
    }
    await this.sleep(CALL_TIMEOUT_MS, signal);
    return failure('routing.timeout');
  }

  private faultOf(id: string): SourceFault | undefined {
    return this.faults.get(id) ?? this.faults.get('*');
  }

  private snapshot(topic: RoutingTopic): RoutingUpdate {
    const { revision } = this;
    const routes = this.table ? [this.table] : [];
    if (topic === 'routes') return updateAt(revision, { complete: true, routes });
    return updateAt(revision, { complete: true, backends: [...this.backends.values()] });
  }

  private async waitForChange(
    topic: RoutingTopic,
    since: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<RoutingUpdate | undefined> {
    const changed = (): boolean =>
      this.changes.some((change) => change.topic === topic && change.revision > since);
    if (since < this.historyFrom) return undefined;
    if (!changed()) await this.waitUntil(changed, waitMs, signal);
    if (since < this.historyFrom) return undefined;
    const news = this.changes.filter((change) => change.topic === topic && change.revision > since);
    return updateAt(this.revision, {
      routes: topic === 'routes' && news.length > 0 && this.table ? [this.table] : [],
      backends: news.flatMap(({ backend }) => backend ?? []),
      removals: news.flatMap(({ removed, revision }) => (removed ? [{ id: removed, revision }] : [])),
    });
  }

  private waitUntil(condition: () => boolean, waitMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.clock.schedule(waitMs, done);
      const wake = (): void => {
        if (condition()) done();
      };
      const { waiters } = this;
      function done(): void {
        timer.cancel();
        waiters.delete(wake);
        signal.removeEventListener('abort', done);
        resolve();
      }
      waiters.add(wake);
      signal.addEventListener('abort', done);
    });
  }

  private sleep(delayMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.clock.schedule(delayMs, done);
      function done(): void {
        timer.cancel();
        signal.removeEventListener('abort', done);
        resolve();
      }
      signal.addEventListener('abort', done);
    });
  }
}

function failure(kind: RoutingSourceErrorKind): Result<RoutingUpdate, RoutingSourceError> {
  return Result.err(new RoutingSourceError(kind, 'simulated'));
}

/** Transports between daemons, with loss, and cuts between two groups. */
export class SimulatedPeerNetwork {
  lossRate = 0;
  /** Daemons (`host:port`) that reach nobody and are reached by nobody. */
  readonly cut = new Set<string>();
  bytes = 0;
  /** Bytes of states that were fetched. */
  fetchedBytes = 0;
  fetchedBytesBetweenZones = 0;
  private readonly nodes = new Map<string, { receive: DatagramReceiver; provideState: StateProvider }>();

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  open(endpoint: Endpoint): PeerTransport {
    const self = formatEndpoint(endpoint);
    return {
      endpoint,
      send: (to, bytes) => this.deliver(self, endpoint, formatEndpoint(to), bytes),
      fetch: (from, known) => this.fetch(self, from, known),
      serve: (receive, provideState) => this.nodes.set(self, { receive, provideState }),
      close: () => {
        this.nodes.delete(self);
        return Promise.resolve();
      },
    };
  }

  close(endpoint: Endpoint): void {
    this.nodes.delete(formatEndpoint(endpoint));
  }

  private deliver(self: string, from: Endpoint, to: string, bytes: Uint8Array): void {
    this.bytes += bytes.length;
    if (!this.reaches(self, to) || this.random() < this.lossRate) return;
    this.clock.schedule(HOP_MS * (0.5 + this.random()), () => {
      if (this.reaches(self, to)) this.nodes.get(to)?.receive(bytes, from);
    });
  }

  private async fetch(
    self: string,
    from: Endpoint,
    known: KnownRevisions,
  ): Promise<Result<Uint8Array, SpreadingError>> {
    const to = formatEndpoint(from);
    await new Promise<void>((resolve) => void this.clock.schedule(2 * HOP_MS, resolve));
    const node = this.reaches(self, to) ? this.nodes.get(to) : undefined;
    if (!node) return Result.err(fetchError(from, new Error('simulated')));
    const bytes = node.provideState(known);
    this.fetchedBytes += bytes.length;
    if (zoneOf(self) !== zoneOf(to)) this.fetchedBytesBetweenZones += bytes.length;
    return Result.ok(bytes);
  }

  private reaches(self: string, to: string): boolean {
    return !this.cut.has(self) && !this.cut.has(to);
  }
}

/** The zone of a daemon, by its `host:port`. */
function zoneOf(endpoint: string): string {
  const host = endpoint.split(':')[0] ?? '';
  return `zone-${Number(host.split('.').at(-1)) % 3}`;
}

/** One daemon of the cluster. */
export class SimulatedDaemon {
  readonly knowledge: RoutingKnowledge;
  readonly spreader: Spreader;
  readonly endpoint: Endpoint;
  /** Back ends that others suspected, each once. */
  readonly suspicions: string[] = [];
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
    this.knowledge = new RoutingKnowledge({ clock, events, retentionMs: 60_000 });
    const circuit = new SourceCircuit(clock, random, events);
    circuit.retryNoSoonerThan(() => this.spreader.leastRetryMs());
    const following = {
      ...{ clock, source: source.for(id), knowledge: this.knowledge, circuit, timings: TIMINGS },
      onProof: () => this.spreader.noteOwnProof(),
    };
    const followers = ROUTING_TOPICS.map((topic) => new SourceFollower(topic, following));
    this.spreader = new Spreader({
      ...{
        selfId: id,
        zone: zoneOf(formatEndpoint(this.endpoint)),
        seeds: () => cluster.seeds,
        knowledge: this.knowledge,
      },
      ...{ transport: network.open(this.endpoint), clock, random, events },
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
      noteSuspicion: ({ backendId }) => {
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
