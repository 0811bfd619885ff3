/** One back end: its flows, its slots and its faults. */
import type { RemoteInfo } from 'node:dgram';
import type { Clock } from '../../common/clock.js';
import type { RandomSource } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import { decodeSegment, parseIpv4, buildReset, type Segment } from '../../fabric/index.js';
import { decodePacket, emptyPacketView } from '../../fabric/packet-decoder.js';
import { bindDatagramSocket, type DatagramSocket } from '../common/datagram-socket.js';
import { DEFAULT_GIVE_UP_MS, TIME_WAIT_MS } from '../segment-connection/index.js';
import { BackendFlow, type FlowHost } from './backend-flow.js';
import type { ExecutionLog } from './execution-log.js';
import { LoadReporter, type LoadReport } from './load-reporter.js';
import { RequestRunner } from './request-runner.js';
import { drawServiceTimeMs } from './service-time.js';
import {
  DEFAULT_CAPACITY,
  NO_FAULTS,
  type BackendCapacity,
  type BackendDefinition,
  type BackendFaults,
  type BackendReport,
} from './types.js';

const TWO_POW_32 = 0x1_0000_0000;

function addressKey(address: number, port: number): number {
  return address * 0x10000 + port;
}

function flowKey(segment: Segment): string {
  const { sourceAddress, sourcePort, destinationAddress, destinationPort } = segment;
  return `${sourceAddress}:${sourcePort}>${destinationAddress}:${destinationPort}`;
}

/** A back end on its own data socket. */
export class Backend implements FlowHost {
  readonly name: string;
  readonly service: string;
  readonly runner: RequestRunner;
  readonly answerPadding: string;
  readonly giveUpMs: number;
  private readonly capacity: BackendCapacity;
  private readonly addresses: ReadonlySet<number>;
  private readonly flows = new Map<string, BackendFlow>();
  private readonly loadReporter: LoadReporter;
  private readonly totals = {
    opened: 0,
    refused: 0,
    requestsRun: 0,
    requestsShed: 0,
    requestsNotRun: 0,
    misdelivered: 0,
    strays: 0,
    malformed: 0,
  };
  private readonly view = emptyPacketView();
  private socket!: DatagramSocket;
  private openFlows = 0;
  private startedAtMs: number;
  private lastNewFlowAtMs: number | undefined;
  private currentFaults = NO_FAULTS;
  draining = false;

  constructor(
    private readonly definition: BackendDefinition,
    readonly clock: Clock,
    private readonly random: RandomSource,
    executions: ExecutionLog,
  ) {
    this.name = definition.name;
    this.service = definition.service;
    this.capacity = { ...DEFAULT_CAPACITY, ...definition };
    this.giveUpMs = definition.giveUpMs ?? DEFAULT_GIVE_UP_MS;
    this.answerPadding = 'x'.repeat(this.capacity.answerPaddingBytes);
    this.addresses = new Set(definition.addresses.map(({ host, port }) => addressKey(parseIpv4(host), port)));
    this.startedAtMs = clock.now();
    this.runner = new RequestRunner(
      this.capacity,
      clock,
      () => this.nextServiceTimeMs(),
      (request) => {
        this.totals.requestsRun += 1;
        executions.record(request.id, request.repeatable);
      },
    );
    this.loadReporter = new LoadReporter(clock, () => this.load());
  }

  async start(): Promise<void> {
    this.socket = await bindDatagramSocket(this.definition.endpoint, (packet, source) =>
      this.receive(packet, source),
    );
    this.loadReporter.start();
  }

  get endpoint(): Endpoint {
    return this.socket.endpoint;
  }

  get faults(): BackendFaults {
    return this.currentFaults;
  }

  get retryAfterMs(): number {
    return this.capacity.retryAfterMs;
  }

  setFaults(faults: Partial<BackendFaults>): void {
    const wasDown = this.currentFaults.crash;
    this.currentFaults = { ...this.currentFaults, ...faults };
    if (this.currentFaults.crash && !wasDown) this.loseEverything();
    if (!this.currentFaults.crash && wasDown) this.startedAtMs = this.clock.now();
  }

  /** What `/health` says. */
  saysHealthy(): boolean {
    const healthy = !this.draining;
    return this.currentFaults.healthLies ? !healthy : healthy;
  }

  /** What `/load` says. */
  saidLoad(): LoadReport {
    return this.loadReporter.report(this.currentFaults);
  }

  report(): BackendReport {
    const { name, service, openFlows, draining, lastNewFlowAtMs } = this;
    const { busySlots, queued } = this.runner;
    return { name, service, openFlows, busySlots, queued, ...this.totals, lastNewFlowAtMs, draining };
  }

  async close(): Promise<void> {
    this.loadReporter.stop();
    this.loseEverything();
    await this.socket.close();
  }

  send(packet: Buffer, to: Endpoint): void {
    if (!this.currentFaults.crash && !this.currentFaults.blackhole) this.socket.send(packet, to);
  }

  onShed(): void {
    this.totals.requestsShed += 1;
  }

  onNotRun(): void {
    this.totals.requestsNotRun += 1;
  }

  onFlowEnded(flow: BackendFlow): void {
    this.openFlows -= 1;
    this.clock.schedule(TIME_WAIT_MS, () => {
      if (this.flows.get(flow.key) === flow) this.flows.delete(flow.key);
    });
  }

  private load(): LoadReport {
    const { openFlows } = this;
    return { openFlows, busySlots: this.runner.busySlots, capacity: this.capacity.maxConnections };
  }

  private loseEverything(): void {
    for (const flow of this.flows.values()) flow.discard();
    this.flows.clear();
    this.runner.reset();
    this.openFlows = 0;
  }

  private nextServiceTimeMs(): number {
    const { serviceTimeDistribution, serviceTimeMs, coldStartMs, coldFactor } = this.capacity;
    const cold = this.clock.now() - this.startedAtMs < coldStartMs;
    const meanMs = serviceTimeMs * this.currentFaults.slowFactor * (cold ? coldFactor : 1);
    return drawServiceTimeMs(serviceTimeDistribution, meanMs, this.random);
  }

  private receive(packet: Buffer, source: RemoteInfo): void {
    if (this.currentFaults.crash || this.currentFaults.blackhole) return;
    const segment = decodeSegment(packet);
    if (typeof segment === 'string') this.totals.malformed += 1;
    else if (this.addresses.has(addressKey(segment.destinationAddress, segment.destinationPort))) {
      this.deliver(segment, packet, { host: source.address, port: source.port });
    } else this.totals.misdelivered += 1;
  }

  private deliver(segment: Segment, packet: Buffer, from: Endpoint): void {
    const flow = this.flows.get(flowKey(segment));
    const opening = segment.syn && !segment.ack;
    if (flow && !(flow.closed && opening)) flow.receive(segment, from);
    else if (opening) this.open(segment, packet, from);
    else if (!segment.rst) this.rejectStray(packet, from);
  }

  private open(syn: Segment, packet: Buffer, from: Endpoint): void {
    const full = this.openFlows >= this.capacity.maxConnections;
    if (full || this.currentFaults.refuseOpenings) {
      this.totals.refused += 1;
      this.sendReset(packet, from);
      return;
    }
    this.totals.opened += 1;
    this.openFlows += 1;
    this.lastNewFlowAtMs = this.clock.wall();
    const initialSequence = Math.floor(this.random() * TWO_POW_32);
    const key = flowKey(syn);
    this.flows.set(key, new BackendFlow(this, key, { syn, initialSequence, from }));
  }

  private rejectStray(packet: Buffer, from: Endpoint): void {
    this.totals.strays += 1;
    this.sendReset(packet, from);
  }

  private sendReset(packet: Buffer, from: Endpoint): void {
    decodePacket(packet, this.view);
    const reset = buildReset(this.view);
    if (reset) this.send(reset, from);
  }
}
