/** The back-end processes of a run, one a zone: started, faulted, sampled, asked for their totals. */
import type { Endpoint } from '../common/types.js';
import type { BackendDefinition, BackendStandinReport } from '../standin/backend/types.js';
import { REPORT_REQUEST_TIMEOUT_MS } from './constants.js';
import { readEndpoint, type ControlClient } from './http-control.js';
import type { ProcessLauncher } from './process-launcher.js';
import type { BackendFaults } from './scenario-actions.js';
import type { Scenario } from './scenario.js';
import { shortName, type BackendAddresses, type SiteTemplate } from './site-template.js';

const ANY_PORT: Endpoint = { host: '127.0.0.1', port: 0 };

interface BackendProcessesOptions {
  readonly launcher: ProcessLauncher;
  readonly client: ControlClient;
  readonly site: SiteTemplate;
  readonly scenario: Scenario;
  readonly seed: number;
}

export class BackendProcesses {
  /** Addresses by full node path. */
  readonly addresses = new Map<string, BackendAddresses>();
  private controls: Endpoint[] = [];

  constructor(private readonly options: BackendProcessesOptions) {}

  /** Starts every back end of the site, spare ones too. */
  async start(): Promise<void> {
    this.controls = await Promise.all(this.options.site.zones.map((zone) => this.startZone(zone)));
  }

  /** Changes faults of one back end, by full node path. */
  async setFaults(path: string, faults: BackendFaults | { crash: boolean }): Promise<void> {
    await this.options.client.put(this.addresses.get(path)!.health, '/faults', faults);
  }

  /** Totals of every process; undefined when one does not answer in time. */
  async reports(timeoutMs?: number): Promise<readonly BackendStandinReport[] | undefined> {
    const get = (control: Endpoint) => this.options.client.get(control, '/report', timeoutMs);
    try {
      return (await Promise.all(this.controls.map(get))) as BackendStandinReport[];
    } catch {
      // A stand-in that is paused or gone; the caller reports that totals are missing.
      return undefined;
    }
  }

  /** For each process the ids, of those given, that ran there. */
  async executedOf(ids: readonly string[]): Promise<readonly (readonly string[])[]> {
    const ask = (control: Endpoint) =>
      this.options.client.post(control, '/executed', { ids }, REPORT_REQUEST_TIMEOUT_MS);
    return (await Promise.all(this.controls.map(ask))) as string[][];
  }

  /** For each process the ids of requests that must not run twice and ran there. */
  async unrepeatableIds(): Promise<readonly (readonly string[])[]> {
    const ask = (control: Endpoint) =>
      this.options.client.get(control, '/executed-unrepeatable', REPORT_REQUEST_TIMEOUT_MS);
    return (await Promise.all(this.controls.map(ask))) as string[][];
  }

  private async startZone(zone: string): Promise<Endpoint> {
    const { launcher, site, seed } = this.options;
    const backends = site.backends.filter((backend) => backend.zone === zone);
    const definitions = backends.map((backend) => this.definition(backend.name));
    const flags = ['--backends', JSON.stringify(definitions), '--seed', String(seed)];
    const process = launcher.start(`backends-${zone}`, ['standin', 'backend', ...flags]);
    const line = await process.ready();
    for (const running of line.backends as { name: string; endpoint: unknown; health: unknown }[]) {
      this.addresses.set(running.name, {
        endpoint: readEndpoint(running.endpoint, running.name),
        health: readEndpoint(running.health, running.name),
      });
    }
    return readEndpoint(line.control, `backends-${zone} control`);
  }

  private definition(path: string): BackendDefinition {
    const { site, scenario } = this.options;
    const backend = site.backends.find((candidate) => candidate.name === path)!;
    const service = site.serviceOf(backend);
    return {
      slots: backend.slots,
      maxConnections: backend.maxConnections,
      ...scenario.topology.backends,
      ...scenario.topology.backendOverrides[shortName(path)],
      name: path,
      service: service.name,
      addresses: [service.address],
      endpoint: ANY_PORT,
      health: ANY_PORT,
    };
  }
}
