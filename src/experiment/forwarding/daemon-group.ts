/** Real daemons of one region, with a settings tree of one service whose back ends are the sinks. */
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import { parseTree, TREE_OBJECT_KEY } from '../../settings/index.js';
import { startPlatformStandin } from '../../standin/platform/index.js';
import { ExperimentError } from '../errors.js';
import { readEndpoint } from '../http-control.js';
import { ProcessLauncher, type ManagedProcess } from '../process-launcher.js';
import { RunDirectory } from '../run-directory.js';
import { SERVICE_ADDRESS } from './constants.js';
import type { WorkerReady } from './types.js';

const ANY_PORT = '127.0.0.1:0';
const MAX_CONNECTIONS = 1_000_000;
const READY_POLL_MS = 200;
const READY_ATTEMPTS = 300;

/** A running daemon. */
interface ForwardingDaemon {
  readonly process: ManagedProcess;
  readonly control: Endpoint;
  readonly data: Endpoint;
  readonly admin: Endpoint;
}

function treeOf(sinks: readonly WorkerReady[]): unknown {
  const backends = sinks.map((sink, index) => [
    `sink-${index}`,
    {
      zone: 'zone-0',
      endpoint: formatEndpoint(sink.data),
      healthEndpoint: formatEndpoint(sink.health!),
      maxConnections: MAX_CONNECTIONS,
    },
  ]);
  const service = { address: formatEndpoint(SERVICE_ADDRESS), backends: Object.fromEntries(backends) };
  return { sites: { site: { services: { service } } } };
}

async function isReady(daemon: ForwardingDaemon): Promise<boolean> {
  try {
    return (await fetch(`http://${formatEndpoint(daemon.admin)}/readyz`)).ok;
  } catch {
    // Not listening yet; the caller asks again.
    return false;
  }
}

/** Daemons with their platform; `close` ends them all. */
export class DaemonGroup {
  readonly daemons: ForwardingDaemon[] = [];
  private readonly launcher = new ProcessLauncher();
  private readonly directory = new RunDirectory();
  private closePlatform: () => Promise<void> = async () => undefined;

  static async start(
    count: number,
    sinks: readonly WorkerReady[],
    fabricReturn: Endpoint,
  ): Promise<DaemonGroup> {
    const group = new DaemonGroup();
    try {
      await group.startAll(count, sinks, fabricReturn);
      return group;
    } catch (error) {
      await group.close();
      throw error;
    }
  }

  async close(): Promise<void> {
    this.launcher.killAll();
    await Promise.all(this.daemons.map((daemon) => daemon.process.ended));
    await this.closePlatform();
    this.directory.remove();
  }

  private async startAll(
    count: number,
    sinks: readonly WorkerReady[],
    fabricReturn: Endpoint,
  ): Promise<void> {
    const tree = parseTree(treeOf(sinks)).unwrapOrElse((faults) => {
      throw new Error(`the experiment's own tree is wrong: ${JSON.stringify(faults)}`);
    });
    const platform = await startPlatformStandin({ port: 0, objects: { [TREE_OBJECT_KEY]: tree } });
    this.closePlatform = () => platform.close();
    for (let index = 0; index < count; index += 1) {
      this.daemons.push(await this.startDaemon(index, platform.url, fabricReturn));
    }
    for (const daemon of this.daemons) await this.waitUntilReady(daemon);
  }

  private async startDaemon(
    index: number,
    platform: string,
    fabricReturn: Endpoint,
  ): Promise<ForwardingDaemon> {
    const configuration = this.directory.writeYaml(`balancer-${index}.yaml`, {
      id: `balancer-${index}`,
      region: 'region-1',
      zone: `zone-${index}`,
      control: ANY_PORT,
      data: ANY_PORT,
      admin: ANY_PORT,
      fabricReturn: formatEndpoint(fabricReturn),
      platform,
      seeds: this.daemons.map((daemon) => formatEndpoint(daemon.control)),
      clusterKeyFile: this.directory.keyFile,
      log: { format: 'json', level: 'warn' },
    });
    const process = this.launcher.start(`balancer-${index}`, ['daemon', 'run', '--config', configuration]);
    const line = await process.ready();
    return {
      process,
      control: readEndpoint(line.control, 'control'),
      data: readEndpoint(line.data, 'data'),
      admin: readEndpoint(line.admin, 'admin'),
    };
  }

  private async waitUntilReady(daemon: ForwardingDaemon): Promise<void> {
    for (let attempt = 0; attempt < READY_ATTEMPTS; attempt += 1) {
      if (await isReady(daemon)) return;
      await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
    }
    throw new ExperimentError(
      'experiment.not-ready',
      `a balancer did not become ready: ${daemon.process.recentErrors}`,
      'Look at its log',
    );
  }
}
