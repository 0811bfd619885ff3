/** The balancers of a run as processes: started, stopped, killed, paused, replaced; and the fabric's list of them. */
import { formatEndpoint, type Endpoint } from '../common/types.js';
import type { PlacementMode } from '../gue-edge/placement/types.js';
import { FLEET_READY_TIMEOUT_MS, PLANNED_STOP_TIMEOUT_MS } from './constants.js';
import { ExperimentError } from './errors.js';
import { readEndpoint, type ControlClient } from './http-control.js';
import type { ManagedProcess, ProcessLauncher } from './process-launcher.js';
import type { RunDirectory } from './run-directory.js';

const ANY_PORT = '127.0.0.1:0';
const REGION = 'region-1';
const READY_POLL_MS = 100;

/** One running balancer. */
export interface Balancer {
  readonly name: string;
  readonly zone: string;
  readonly process: ManagedProcess;
  readonly control: Endpoint;
  readonly data: Endpoint;
  readonly admin: Endpoint;
  paused: boolean;
}

/** A time in which a balancer was not expected to follow: paused, cut off, or gone for good (`untilMs` unset). */
export interface Absence {
  readonly name: string;
  readonly fromMs: number;
  untilMs: number | undefined;
}

interface BalancerFleetOptions {
  readonly launcher: ProcessLauncher;
  readonly client: ControlClient;
  readonly directory: RunDirectory;
  readonly platformUrl: string;
  readonly platform: Endpoint;
  readonly fabricControl: Endpoint;
  readonly fabricReturn: Endpoint;
  readonly mode: PlacementMode;
}

export class BalancerFleet {
  readonly running = new Map<string, Balancer>();
  readonly absences: Absence[] = [];
  private readonly countByZone = new Map<string, number>();

  constructor(private readonly options: BalancerFleetOptions) {}

  get all(): readonly Balancer[] {
    return [...this.running.values()];
  }

  /** The running balancer of that name, or the first one of `zone:NAME`. */
  find(selector: string): Balancer {
    const found = selector.startsWith('zone:')
      ? this.all.find((balancer) => balancer.zone === selector.slice('zone:'.length))
      : this.running.get(selector);
    if (found) return found;
    throw new ExperimentError(
      'experiment.invalid-scenario',
      `no running balancer "${selector}"`,
      'Name a balancer that runs at that time, e.g. ZONE-1',
    );
  }

  /** Starts the next balancer of a zone, named ZONE-N. */
  join(zone: string): Promise<Balancer> {
    const count = (this.countByZone.get(zone) ?? 0) + 1;
    this.countByZone.set(zone, count);
    return this.start(`${zone}-${count}`, zone);
  }

  /** Starts a balancer; the fabric and the machine list learn of it at once. */
  async start(name: string, zone: string): Promise<Balancer> {
    const configuration = this.options.directory.writeYaml(`${name}.yaml`, this.configurationOf(name, zone));
    const flags = ['daemon', 'run', '--config', configuration, '--enable-fault-injection'];
    const process = this.options.launcher.start(name, flags);
    const line = await process.ready();
    const balancer: Balancer = {
      name,
      zone,
      process,
      control: readEndpoint(line.control, `${name} control`),
      data: readEndpoint(line.data, `${name} data`),
      admin: readEndpoint(line.admin, `${name} admin`),
      paused: false,
    };
    this.running.set(name, balancer);
    await this.publish();
    return balancer;
  }

  /** Planned stop: SIGTERM, then waits until the daemon has handed over and ended. Returns how it ended. */
  async leave(balancer: Balancer): Promise<string> {
    this.absent(balancer.name);
    const end = await balancer.process.stop(PLANNED_STOP_TIMEOUT_MS);
    this.running.delete(balancer.name);
    await this.publish();
    return end.signal === 'SIGKILL'
      ? `had to be killed after ${PLANNED_STOP_TIMEOUT_MS} ms`
      : `ended (${end.code})`;
  }

  /** SIGKILL. The fabric finds out by its readiness checks; the machine list lags. */
  async crash(balancer: Balancer): Promise<void> {
    this.absent(balancer.name);
    balancer.process.signal('SIGKILL');
    await balancer.process.ended;
    this.running.delete(balancer.name);
    await this.publishMachines();
  }

  pause(balancer: Balancer): void {
    this.absent(balancer.name);
    balancer.paused = true;
    balancer.process.signal('SIGSTOP');
  }

  resume(balancer: Balancer): void {
    balancer.process.signal('SIGCONT');
    balancer.paused = false;
    this.present(balancer.name);
  }

  /** Cuts a zone off from the other balancers, or heals it. Packets of fabric and back ends still pass. */
  async partition(zone: string, cut: boolean): Promise<void> {
    const inside = this.all.filter((balancer) => balancer.zone === zone);
    const outside = this.all.filter((balancer) => balancer.zone !== zone);
    const block = async (members: readonly Balancer[], others: readonly Balancer[]): Promise<void> => {
      const blocked = cut ? others.flatMap((other) => [other.control, other.data].map(formatEndpoint)) : [];
      await Promise.all(
        members.map((member) => this.options.client.put(member.admin, '/faults', { blocked })),
      );
    };
    await Promise.all([block(inside, outside), block(outside, inside)]);
    for (const balancer of inside) {
      if (cut) this.absent(balancer.name);
      else this.present(balancer.name);
    }
  }

  /** Waits until every balancer is ready and in the fabric's rotation. */
  async waitUntilReady(names: readonly string[], timeoutMs = FLEET_READY_TIMEOUT_MS): Promise<void> {
    const deadline = Date.now() + timeoutMs;
    for (;;) {
      const counters = (await this.options.client.get(this.options.fabricControl, '/counters')) as {
        inRotation: readonly string[];
      };
      const missing = names.filter((name) => !counters.inRotation.includes(name));
      if (missing.length === 0) return;
      if (Date.now() > deadline) throw await this.notReady(missing);
      await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
    }
  }

  private configurationOf(name: string, zone: string): object {
    const { directory, mode, platformUrl, fabricReturn } = this.options;
    return {
      id: name,
      region: REGION,
      zone,
      control: ANY_PORT,
      data: ANY_PORT,
      admin: ANY_PORT,
      fabricReturn: formatEndpoint(fabricReturn),
      platform: platformUrl,
      seeds: this.all.map((balancer) => formatEndpoint(balancer.control)),
      clusterKeyFile: directory.keyFile,
      placement: mode,
      log: { format: 'json', level: 'info' },
    };
  }

  private async publish(): Promise<void> {
    const list = this.all.map(({ name, data, admin }) => ({ name, data, admin }));
    await this.options.client.put(this.options.fabricControl, '/balancers', list);
    await this.publishMachines();
  }

  private async publishMachines(): Promise<void> {
    const machines = this.all.map(({ name, zone, control }) => ({ name, zone, control, state: 'live' }));
    await this.options.client.put(this.options.platform, '/machines', { machines });
  }

  private absent(name: string): void {
    this.absences.push({ name, fromMs: Date.now(), untilMs: undefined });
  }

  private present(name: string): void {
    const open = this.absences.findLast((absence) => absence.name === name && absence.untilMs === undefined);
    if (open) open.untilMs = Date.now();
  }

  private async notReady(missing: readonly string[]): Promise<ExperimentError> {
    const reasons = await Promise.all(missing.map((name) => this.reasonOf(name)));
    return new ExperimentError(
      'experiment.not-ready',
      reasons.join('; '),
      'Look at the status page of that daemon',
    );
  }

  private async reasonOf(name: string): Promise<string> {
    const balancer = this.running.get(name);
    if (!balancer) return `${name} does not run`;
    try {
      const status = (await this.options.client.get(balancer.admin, '/status')) as {
        reasons?: readonly string[];
      };
      return `${name} is not ready: ${status.reasons?.join(', ') || 'no reason given'}`;
    } catch (error) {
      return `${name} does not answer: ${error instanceof Error ? error.message : String(error)}`;
    }
  }
}
