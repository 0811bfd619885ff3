/** A fleet of hollow daemons spread over host processes, with a stand-in platform in this process. */
import { cpus, freemem, totalmem } from 'node:os';
import { SystemClock } from '../../common/clock.js';
import { seededRandom, type RandomSource } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { createStoreClient, type ConnectedStoreClient } from '../../store/index.js';
import { setFields, TREE_OBJECT_KEY, TreeEditor, type TreeDocument } from '../../settings/index.js';
import { startPlatformStandin, type PlatformStandin } from '../../standin/platform/index.js';
import { ExperimentError } from '../errors.js';
import { ControlClient, readEndpoint } from '../http-control.js';
import type { ProcessLauncher } from '../process-launcher.js';
import type { RunDirectory } from '../run-directory.js';
import { parseEndpoint } from '../../settings/index.js';
import { writeHostConfiguration } from './host-configuration.js';
import type { HollowLoad, HollowSpecification, HostSample } from './types.js';

const MAX_HOSTS = Math.max(2, cpus().length - 2);
const DAEMONS_PER_HOST = 12;
const REQUEST_TIMEOUT_MS = 120_000;
const SETTLE_POLL_MS = 500;
const SEEDS_PER_REGION = 3;
/** Daemons of a host are started in batches of this size, so that a boot is not one single burst. */
const START_BATCH = 10;

/** A fleet to start. */
export interface ClusterOptions {
  readonly daemons: readonly HollowSpecification[];
  readonly tree: TreeDocument;
  readonly seed: number;
}

/** An accepted edit. */
export interface ScaleEdit {
  readonly version: number;
  readonly startedAtWallMs: number;
}

interface Host {
  readonly endpoint: Endpoint;
  readonly ids: Set<string>;
}

export class ScaleCluster {
  private readonly client = new ControlClient();
  private readonly hosts: Host[] = [];
  private readonly seedsByRegion = new Map<string, Endpoint[]>();
  private readonly random: RandomSource;
  private edits = 0;
  /** Wall time at which the first daemon was told to start. */
  startedAtWallMs = Date.now();

  private constructor(
    private readonly options: ClusterOptions,
    private readonly launcher: ProcessLauncher,
    private readonly directory: RunDirectory,
    readonly platform: PlatformStandin,
    private readonly platformClient: ConnectedStoreClient,
  ) {
    this.random = seededRandom(options.seed);
  }

  /** Starts platform, hosts and daemons; the caller waits with `settle`. */
  static async start(
    options: ClusterOptions,
    launcher: ProcessLauncher,
    directory: RunDirectory,
  ): Promise<ScaleCluster> {
    const platform = await startPlatformStandin({ port: 0, objects: { [TREE_OBJECT_KEY]: options.tree } });
    const client = createStoreClient({
      baseUrl: platform.url,
      clock: new SystemClock(),
      random: seededRandom(options.seed),
      events: SILENT_EVENT_LOG,
      caller: 'operator',
    });
    const cluster = new ScaleCluster(options, launcher, directory, platform, client);
    const hostCount = Math.min(MAX_HOSTS, Math.max(1, Math.ceil(options.daemons.length / DAEMONS_PER_HOST)));
    try {
      await Promise.all(Array.from({ length: hostCount }, (_unused, index) => cluster.startHost(index)));
      cluster.startedAtWallMs = Date.now();
      await cluster.startDaemons(options.daemons);
      return cluster;
    } catch (error) {
      await cluster.close();
      throw error;
    }
  }

  get hostCount(): number {
    return this.hosts.length;
  }

  /** Starts more daemons, dealt out over the hosts. */
  async startDaemons(specifications: readonly HollowSpecification[]): Promise<void> {
    const dealt = this.hosts.map((): HollowSpecification[] => []);
    specifications.forEach((specification, index) => dealt[index % dealt.length]!.push(specification));
    const first = specifications.filter((each) => !this.seedsByRegion.has(each.region));
    for (const specification of first.slice(0, 1)) await this.startOn(this.hosts[0]!, [specification]);
    const started = new Set(first.slice(0, 1).map(({ id }) => id));
    await Promise.all(this.hosts.map((host, index) => this.startInBatches(host, dealt[index]!, started)));
  }

  async sample(): Promise<HostSample[]> {
    return Promise.all(this.hosts.map((host) => this.post(host, '/sample', {}) as Promise<HostSample>));
  }

  async setLoad(load: HollowLoad): Promise<void> {
    await Promise.all(this.hosts.map((host) => this.post(host, '/load', load)));
  }

  async mark(): Promise<void> {
    await Promise.all(this.hosts.map((host) => this.post(host, '/mark', {})));
  }

  /** Ends daemons: `/crash` at once and silently, `/leave` after a hand-over. */
  async end(how: '/crash' | '/leave', ids: readonly string[]): Promise<void> {
    await Promise.all(
      this.hosts.map((host) => {
        const own = ids.filter((id) => host.ids.delete(id));
        return own.length > 0 ? this.post(host, how, { ids: own }) : undefined;
      }),
    );
  }

  /** Cuts daemons off from the platform, or heals that. */
  async blockPlatform(ids: readonly string[], blocked: boolean): Promise<void> {
    await Promise.all(this.hosts.map((host) => this.post(host, '/platform', { ids, blocked })));
  }

  /** Changes the weight of one back end. */
  async edit(): Promise<ScaleEdit> {
    const editor = new TreeEditor({
      platform: this.platformClient,
      clock: new SystemClock(),
      random: this.random,
    });
    const backends = this.options.tree.nodes.filter((node) => node.kind === 'backend');
    const node = backends[Math.floor(this.random() * backends.length)]!;
    this.edits += 1;
    const startedAtWallMs = Date.now();
    const outcome = await editor.edit(setFields(node.path, { weight: 1 + this.edits / 1_000 }), {
      author: 'scale',
      token: `scale-${this.options.seed}-${this.edits}`,
      summary: 'scale run',
    });
    if (outcome.isErr) throw outcome.error;
    return { version: outcome.value.version, startedAtWallMs };
  }

  /** Waits until `done` holds for a sample; undefined when it does not within `limitMs`. */
  async waitFor(
    done: (samples: readonly HostSample[]) => boolean,
    limitMs: number,
  ): Promise<number | undefined> {
    const startedAtMs = Date.now();
    while (Date.now() - startedAtMs < limitMs) {
      const samples = await this.sample();
      if (done(samples)) return Date.now() - startedAtMs;
      await new Promise((resolve) => setTimeout(resolve, SETTLE_POLL_MS));
    }
    return undefined;
  }

  async close(): Promise<void> {
    await this.launcher.stopAll();
    await this.client.close();
    await this.platformClient.close();
    await this.platform.close();
  }

  private async startHost(index: number): Promise<void> {
    const file = writeHostConfiguration(this.directory, {
      platformUrl: this.platform.url,
      seed: this.options.seed + index,
      service: firstServiceAddress(this.options.tree),
    });
    const managed = this.launcher.start(`hollow host ${index}`, ['experiment', 'hollow-host', file]);
    const ready = await managed.ready();
    this.hosts.push({ endpoint: readEndpoint(ready['control'], 'hollow host'), ids: new Set() });
  }

  private async startInBatches(
    host: Host,
    specifications: readonly HollowSpecification[],
    started: ReadonlySet<string>,
  ): Promise<void> {
    const rest = specifications.filter(({ id }) => !started.has(id));
    for (let index = 0; index < rest.length; index += START_BATCH) {
      await this.startOn(host, rest.slice(index, index + START_BATCH));
    }
  }

  private async startOn(host: Host, daemons: readonly HollowSpecification[]): Promise<void> {
    const regions = new Set(daemons.map(({ region }) => region));
    for (const region of regions) {
      const ofRegion = daemons.filter((daemon) => daemon.region === region);
      const seeds = this.seedsByRegion.get(region) ?? [];
      const answer = (await this.post(host, '/start', { daemons: ofRegion, seeds })) as {
        started: { id: string; control: Endpoint }[];
      };
      for (const { id, control } of answer.started) {
        host.ids.add(id);
        if (seeds.length < SEEDS_PER_REGION) seeds.push(control);
      }
      this.seedsByRegion.set(region, seeds);
    }
  }

  private post(host: Host, path: string, body: unknown): Promise<unknown> {
    return this.client.post(host.endpoint, path, body, REQUEST_TIMEOUT_MS);
  }
}

function firstServiceAddress(tree: TreeDocument): Endpoint {
  const service = tree.nodes.find((node) => node.kind === 'service');
  const address = service && parseEndpoint(String(service.fields['address']));
  if (!address) {
    throw new ExperimentError(
      'experiment.bad-answer',
      'the tree has no service',
      'Generate one with services',
    );
  }
  return address;
}

/** Memory of this machine that is in use now, and its size, in bytes. */
export function machineMemory(): { readonly usedBytes: number; readonly totalBytes: number } {
  const totalBytes = totalmem();
  return { usedBytes: totalBytes - freemem(), totalBytes };
}
