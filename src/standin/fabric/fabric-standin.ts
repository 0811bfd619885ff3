/** Sprays callers' packets over the ready balancers and takes their answers back to the callers. */
import type { RemoteInfo } from 'node:dgram';
import { SystemClock, type Clock } from '../../common/clock.js';
import { pick, seededRandom, type RandomSource } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import { IPV4_HEADER_BYTES } from '../../fabric/constants.js';
import { startControlServer } from '../common/control-server.js';
import { bindDatagramSocket, type DatagramSocket } from '../common/datagram-socket.js';
import { BalancerRotation } from './balancer-rotation.js';
import type { FabricBalancer, FabricCounters, FabricImpairments, FabricOptions } from './types.js';

/** Bytes before these fields in an IPv4 header (RFC 791). */
const SOURCE_OFFSET = 12;
const DESTINATION_OFFSET = 16;

/** A running fabric. */
export interface FabricStandin {
  readonly callerSide: Endpoint;
  readonly balancerSide: Endpoint;
  readonly control: Endpoint;
  setBalancers(balancers: readonly FabricBalancer[]): void;
  setImpairments(impairments: Partial<FabricImpairments>): void;
  counters(): FabricCounters;
  close(): Promise<void>;
}

function mutableCounters() {
  return {
    fromCallers: 0,
    sprayed: 0,
    toCallers: 0,
    lost: 0,
    duplicated: 0,
    reordered: 0,
    noBalancer: 0,
    unknownCaller: 0,
    malformed: 0,
  };
}

class Fabric implements FabricStandin {
  private readonly random: RandomSource;
  private readonly clock: Clock;
  private readonly rotation: BalancerRotation;
  private readonly totals = mutableCounters();
  private readonly byBalancer = new Map<string, number>();
  /** Caller's datagram address by inner address. */
  private readonly callers = new Map<number, Endpoint>();
  private impairments: FabricImpairments;
  private callerSocket!: DatagramSocket;
  private balancerSocket!: DatagramSocket;
  private server!: { endpoint: Endpoint; close(): Promise<void> };

  constructor(private readonly options: FabricOptions) {
    this.random = seededRandom(options.seed ?? 1);
    this.clock = options.clock ?? new SystemClock();
    this.rotation = new BalancerRotation(this.clock);
    this.impairments = {
      lossShare: options.lossShare ?? 0,
      duplicateShare: options.duplicateShare ?? 0,
      reorderShare: options.reorderShare ?? 0,
      reorderDelayMs: options.reorderDelayMs ?? 0,
      oneWayDelayMs: options.oneWayDelayMs ?? 0,
    };
  }

  get callerSide(): Endpoint {
    return this.callerSocket.endpoint;
  }

  get balancerSide(): Endpoint {
    return this.balancerSocket.endpoint;
  }

  get control(): Endpoint {
    return this.server.endpoint;
  }

  async start(): Promise<void> {
    const { callerSide, balancerSide, control, balancers } = this.options;
    this.callerSocket = await bindDatagramSocket(callerSide, (packet, source) =>
      this.fromCaller(packet, source),
    );
    this.balancerSocket = await bindDatagramSocket(balancerSide, (packet) => this.fromBalancer(packet));
    this.server = await startControlServer(control, (server) => {
      server.get('/counters', () => this.counters());
      server.put('/balancers', (request) => {
        this.setBalancers(request.body as FabricBalancer[]);
        return { balancers: (request.body as FabricBalancer[]).length };
      });
      server.put('/impairments', (request) => {
        this.setImpairments(request.body as Partial<FabricImpairments>);
        return this.impairments;
      });
    });
    this.setBalancers(balancers ?? []);
    this.rotation.start();
  }

  setBalancers(balancers: readonly FabricBalancer[]): void {
    this.rotation.replace(balancers);
  }

  setImpairments(impairments: Partial<FabricImpairments>): void {
    this.impairments = { ...this.impairments, ...impairments };
  }

  counters(): FabricCounters {
    return {
      ...this.totals,
      byBalancer: Object.fromEntries(this.byBalancer),
      inRotation: this.rotation.ready.map((balancer) => balancer.name),
    };
  }

  async close(): Promise<void> {
    this.rotation.stop();
    await Promise.all([this.callerSocket.close(), this.balancerSocket.close(), this.server.close()]);
  }

  private fromCaller(packet: Buffer, source: RemoteInfo): void {
    this.totals.fromCallers += 1;
    if (!this.wellFormed(packet)) return;
    this.learnCaller(packet.readUInt32BE(SOURCE_OFFSET), source);
    this.carry(() => this.spray(packet));
  }

  private fromBalancer(packet: Buffer): void {
    if (!this.wellFormed(packet)) return;
    const caller = this.callers.get(packet.readUInt32BE(DESTINATION_OFFSET));
    if (!caller) {
      this.totals.unknownCaller += 1;
      return;
    }
    this.carry(() => {
      this.totals.toCallers += 1;
      this.callerSocket.send(packet, caller);
    });
  }

  private wellFormed(packet: Buffer): boolean {
    const wellFormed = packet.length >= IPV4_HEADER_BYTES && packet[0]! >>> 4 === 4;
    if (!wellFormed) this.totals.malformed += 1;
    return wellFormed;
  }

  private learnCaller(address: number, source: RemoteInfo): void {
    const known = this.callers.get(address);
    if (known?.port === source.port && known.host === source.address) return;
    this.callers.set(address, { host: source.address, port: source.port });
  }

  private spray(packet: Buffer): void {
    const { ready } = this.rotation;
    if (ready.length === 0) {
      this.totals.noBalancer += 1;
      return;
    }
    const balancer = pick(ready, this.random);
    this.totals.sprayed += 1;
    this.byBalancer.set(balancer.name, (this.byBalancer.get(balancer.name) ?? 0) + 1);
    this.balancerSocket.send(packet, balancer.data);
  }

  /** Applies the impairments to one packet. */
  private carry(deliver: () => void): void {
    const { lossShare, duplicateShare } = this.impairments;
    if (this.happens(lossShare)) {
      this.totals.lost += 1;
      return;
    }
    if (this.happens(duplicateShare)) {
      this.totals.duplicated += 1;
      this.deliverLater(deliver);
    }
    this.deliverLater(deliver);
  }

  private deliverLater(deliver: () => void): void {
    const { oneWayDelayMs, reorderShare, reorderDelayMs } = this.impairments;
    const reordered = this.happens(reorderShare);
    if (reordered) this.totals.reordered += 1;
    const delayMs = oneWayDelayMs + (reordered ? reorderDelayMs : 0);
    if (delayMs > 0) this.clock.schedule(delayMs, deliver);
    else deliver();
  }

  private happens(share: number): boolean {
    return share > 0 && this.random() < share;
  }
}

/** Starts a fabric in this process. */
export async function startFabricStandin(options: FabricOptions): Promise<FabricStandin> {
  const fabric = new Fabric(options);
  await fabric.start();
  return fabric;
}
