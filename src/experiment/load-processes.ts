/** The caller processes of a run: started with their load, stopped in order, their reports collected. */
import { formatEndpoint, type Endpoint } from '../common/types.js';
import type { EffectiveService } from '../settings/index.js';
import type { CallerReport } from '../standin/caller/types.js';
import { MS_PER_SECOND, REPORT_REQUEST_TIMEOUT_MS } from './constants.js';
import { readEndpoint, type ControlClient } from './http-control.js';
import type { ManagedProcess, ProcessLauncher } from './process-launcher.js';
import type { LoadSettings } from './scenario.js';

/** Distance between the seeds of runs, so that no caller process of one run has the seed of another's. */
const SEED_STRIDE = 1_000;
/** Client addresses of one caller process: a /24 of its own. */
const CLIENT_ADDRESSES = 256;
/** Longest wait of a caller for outstanding answers at its stop, ms. */
const CALLER_STOP_TIMEOUT_MS = 20_000;

interface Caller {
  readonly process: ManagedProcess;
  readonly control: Endpoint;
  lastReport: CallerReport | undefined;
  stopped: boolean;
}

interface LoadProcessesOptions {
  readonly launcher: ProcessLauncher;
  readonly client: ControlClient;
  readonly fabric: Endpoint;
  readonly seed: number;
}

export class LoadProcesses {
  private readonly callers: Caller[] = [];
  private readonly byLoad = new Map<LoadSettings, Caller[]>();
  private started = 0;

  constructor(private readonly options: LoadProcessesOptions) {}

  /** Starts the processes of one load; they open flows from their start. */
  async start(load: LoadSettings, service: EffectiveService): Promise<void> {
    const group = Array.from({ length: load.callers }, () => this.startOne(load, service));
    this.byLoad.set(load, await Promise.all(group));
  }

  /** Stops one load: its flows are closed in order. */
  async stop(load: LoadSettings): Promise<void> {
    await Promise.all((this.byLoad.get(load) ?? []).map((caller) => this.stopOne(caller)));
  }

  async stopAll(): Promise<void> {
    await Promise.all(this.callers.map((caller) => this.stopOne(caller)));
  }

  /** Asks every caller for its totals; a caller that does not answer keeps its last ones. */
  async refresh(): Promise<readonly CallerReport[]> {
    await Promise.all(
      this.callers.map(async (caller) => {
        if (caller.stopped) return;
        const report = await this.options.client.get(caller.control, '/report').catch(() => undefined);
        if (report) caller.lastReport = report as CallerReport;
      }),
    );
    return this.reports();
  }

  /** Last known totals; undefined for a caller that never answered. */
  reports(): readonly CallerReport[] {
    return this.callers.flatMap((caller) => (caller.lastReport ? [caller.lastReport] : []));
  }

  /** True when the totals of every caller are those after its stop. */
  get complete(): boolean {
    return this.callers.every((caller) => caller.lastReport?.stopped);
  }

  private async startOne(load: LoadSettings, service: EffectiveService): Promise<Caller> {
    this.started += 1;
    const number = this.started;
    const process = this.options.launcher.start(`caller-${number}`, this.flags(load, service, number));
    const line = await process.ready();
    const control = readEndpoint(line.control, `caller-${number} control`);
    const caller: Caller = { process, control, lastReport: undefined, stopped: false };
    this.callers.push(caller);
    return caller;
  }

  private async stopOne(caller: Caller): Promise<void> {
    if (caller.stopped) return;
    caller.stopped = true;
    const timeoutMs = CALLER_STOP_TIMEOUT_MS + REPORT_REQUEST_TIMEOUT_MS;
    const report = await this.options.client
      .post(caller.control, '/stop', {}, timeoutMs)
      .catch(() => undefined);
    if (report) caller.lastReport = report as CallerReport;
    await caller.process.stop();
  }

  private flags(load: LoadSettings, service: EffectiveService, number: number): string[] {
    const share = (total: number): string => String(total / load.callers);
    const services = JSON.stringify([{ name: service.name, address: service.address }]);
    const flags: [string, string][] = [
      ['fabric', formatEndpoint(this.options.fabric)],
      ['services', services],
      ['long-flows', String(Math.round(load.longFlows / load.callers))],
      ['long-flows-per-second', share(load.longFlowsPerSecond)],
      ['openings-per-second', share(load.openingsPerSecond)],
      ['flow-lifetime-ms', String(load.lifetimeSeconds * MS_PER_SECOND)],
      ['request-interval-ms', String(load.requestIntervalMs)],
      ['unrepeatable-share', String(load.unrepeatableShare)],
      ['cancel-share', String(load.cancelShare)],
      ['stop-timeout-ms', String(CALLER_STOP_TIMEOUT_MS)],
      ['client-addresses', String(CLIENT_ADDRESSES)],
      ['first-client-address', `10.200.${number}.0`],
      ['seed', String(this.options.seed * SEED_STRIDE + number)],
    ];
    if (load.deadlineMs !== undefined) flags.push(['deadline-ms', String(load.deadlineMs)]);
    return ['standin', 'caller', ...flags.flatMap(([name, value]) => [`--${name}`, value])];
  }
}
