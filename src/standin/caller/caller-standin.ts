/** A process of callers: a standing population of long flows, and short ones at a steady rate. */
import type { FastifyInstance } from 'fastify';
import { SystemClock, type Clock, type TimerHandle } from '../../common/clock.js';
import { seededRandom, type RandomSource } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import { decodeSegment, parseIpv4 } from '../../fabric/index.js';
import { startControlServer } from '../common/control-server.js';
import { bindDatagramSocket, type DatagramSocket } from '../common/datagram-socket.js';
import { CallerFlow, type CallerFlowHost } from './caller-flow.js';
import { ClientPorts } from './client-ports.js';
import { Tally } from './tally.js';
import {
  DEFAULT_LOAD,
  type CalledService,
  type CallerLoad,
  type CallerOptions,
  type CallerReport,
} from './types.js';

/** Time between two rounds of openings, ms. The rounds then stay small. */
const PACE_INTERVAL_MS = 20;
/** Time between two looks at the flows that still close at a stop, ms. PACE_INTERVAL_MS. */
const STOP_POLL_MS = 20;

/** A running process of callers. */
interface CallerStandin {
  readonly local: Endpoint;
  readonly control: Endpoint;
  report(): CallerReport;
  /** Opens nothing more, waits for outstanding answers (bounded), closes the flows. */
  stop(): Promise<CallerReport>;
  close(): Promise<void>;
}

function flowKey(address: number, port: number): number {
  return address * 0x10000 + port;
}

class Callers implements CallerStandin, CallerFlowHost {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly load: CallerLoad;
  readonly tally = new Tally();
  readonly requestPadding: string;
  private readonly ports: ClientPorts;
  private readonly flows = new Map<number, CallerFlow>();
  private readonly services: readonly (CalledService & { readonly numericAddress: number })[];
  private readonly totalWeight: number;
  private longFlows = 0;
  private lastPacedAtMs = 0;
  private longFlowsDue = 0;
  private shortFlowsDue = 0;
  private flowCount = 0;
  private stopping = false;
  private stopped = false;
  private pacer: TimerHandle | undefined;
  private socket!: DatagramSocket;
  private server!: { endpoint: Endpoint; close(): Promise<void> };

  constructor(private readonly options: CallerOptions) {
    this.clock = options.clock ?? new SystemClock();
    this.random = seededRandom(options.seed ?? 1);
    this.load = { ...DEFAULT_LOAD, ...options };
    this.requestPadding = 'x'.repeat(this.load.requestPaddingBytes);
    this.ports = new ClientPorts(this.load.firstClientAddress, this.load.clientAddresses);
    this.services = options.services.map((service) => ({
      ...service,
      numericAddress: parseIpv4(service.address.host),
    }));
    this.totalWeight = this.services.reduce((sum, service) => sum + (service.weight ?? 1), 0);
  }

  get local(): Endpoint {
    return this.socket.endpoint;
  }

  get control(): Endpoint {
    return this.server.endpoint;
  }

  async start(): Promise<void> {
    this.socket = await bindDatagramSocket(this.options.local, (packet) => this.receive(packet));
    this.server = await startControlServer(this.options.control, (server) => this.routes(server));
    this.lastPacedAtMs = this.clock.now();
    this.pace();
  }

  transmit(packet: Buffer): void {
    this.socket.send(packet, this.options.fabric);
  }

  onFlowEnded(flow: CallerFlow): void {
    this.flows.delete(flowKey(flow.plan.local.address, flow.plan.local.port));
    if (flow.plan.lifetimeMs === undefined) this.longFlows -= 1;
  }

  report(): CallerReport {
    return this.tally.report(this.stopped);
  }

  async stop(): Promise<CallerReport> {
    this.stopping = true;
    this.pacer?.cancel();
    for (const flow of [...this.flows.values()]) flow.finish();
    const deadlineMs = this.clock.now() + this.load.stopTimeoutMs;
    while (this.flows.size > 0 && this.clock.now() < deadlineMs) {
      await new Promise<void>((resolve) => this.clock.schedule(STOP_POLL_MS, resolve));
    }
    this.stopped = true;
    return this.report();
  }

  async close(): Promise<void> {
    this.stopping = true;
    this.pacer?.cancel();
    await Promise.all([this.socket.close(), this.server.close()]);
  }

  private routes(server: FastifyInstance): void {
    server.get('/report', () => this.report());
    server.post('/stop', () => this.stop());
  }

  private receive(packet: Buffer): void {
    const segment = decodeSegment(packet);
    if (typeof segment === 'string') {
      this.tally.requests.foreignOrPartial += 1;
      return;
    }
    const flow = this.flows.get(flowKey(segment.destinationAddress, segment.destinationPort));
    const { remote } = flow?.plan ?? {};
    if (remote?.address === segment.sourceAddress && remote.port === segment.sourcePort)
      flow?.receive(segment);
  }

  /** Opens what has fallen due since the last round. */
  private pace(): void {
    if (this.stopping) return;
    const elapsedSeconds = (this.clock.now() - this.lastPacedAtMs) / 1_000;
    this.lastPacedAtMs = this.clock.now();
    const { longFlowsPerSecond, openingsPerSecond } = this.load;
    this.longFlowsDue = Math.min(this.longFlowsDue + elapsedSeconds * longFlowsPerSecond, longFlowsPerSecond);
    this.shortFlowsDue += elapsedSeconds * openingsPerSecond;
    this.openLongFlows();
    this.openShortFlows();
    this.pacer = this.clock.schedule(PACE_INTERVAL_MS, () => this.pace());
  }

  private openLongFlows(): void {
    while (this.longFlowsDue >= 1 && this.longFlows < this.load.longFlows) {
      this.longFlowsDue -= 1;
      this.longFlows += 1;
      this.openFlow(undefined);
    }
  }

  private openShortFlows(): void {
    for (; this.shortFlowsDue >= 1; this.shortFlowsDue -= 1) {
      this.openFlow(-this.load.flowLifetimeMs * Math.log(1 - this.random()));
    }
  }

  private openFlow(lifetimeMs: number | undefined): void {
    const service = this.pickService();
    const local = this.ports.next();
    this.flowCount += 1;
    const name = `${this.load.firstClientAddress}-${this.flowCount}`;
    const remote = { address: service.numericAddress, port: service.address.port };
    const flow = new CallerFlow(this, { name, service: service.name, local, remote, lifetimeMs });
    this.flows.set(flowKey(local.address, local.port), flow);
  }

  private pickService(): CalledService & { readonly numericAddress: number } {
    let remaining = this.random() * this.totalWeight;
    for (const service of this.services) {
      remaining -= service.weight ?? 1;
      if (remaining < 0) return service;
    }
    throw new RangeError('a caller needs at least one service');
  }
}

/** Starts callers in this process. */
export async function startCallerStandin(options: CallerOptions): Promise<CallerStandin> {
  const callers = new Callers(options);
  await callers.start();
  return callers;
}
