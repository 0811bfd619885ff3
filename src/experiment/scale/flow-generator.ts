/** Makes flows whose shards a hollow daemon keeps, so that each opening is its own decision and none is relayed. */
import type { RandomSource } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import type { PacketView } from '../../fabric/types.js';
import { fingerprintFlow, SHARD_COUNT, shardOf } from '../../flow/index.js';

const NO_BYTES = Buffer.alloc(0);
const FIRST_ADDRESS = 0x0a400000;
const ADDRESS_COUNT = 0x00400000;
const FIRST_PORT = 1_024;
const PORT_COUNT = 64_000;
const FLOWS_PER_REFILL = 16_384;
const MAX_TRIES_PER_FLOW = 4;

interface GeneratedFlow {
  readonly address: number;
  readonly port: number;
}

/** A pool of flows by shard, shared by the daemons of a process, so that few random tries are wasted. */
export class FlowPool {
  private readonly byShard: GeneratedFlow[][] = Array.from({ length: SHARD_COUNT }, () => []);
  private readonly fingerprint = { high: 0, low: 0 };

  constructor(
    private readonly service: { readonly address: number; readonly port: number },
    private readonly random: RandomSource,
  ) {}

  /** A flow of the shard that was not handed out before. */
  take(shard: number): GeneratedFlow {
    const flows = this.byShard[shard] as GeneratedFlow[];
    for (let tries = 0; flows.length === 0 && tries < MAX_TRIES_PER_FLOW * SHARD_COUNT; tries += 1)
      this.refill();
    const flow = flows.pop();
    if (!flow) throw new RangeError(`no flow found for shard ${shard}`);
    return flow;
  }

  private refill(): void {
    for (let count = 0; count < FLOWS_PER_REFILL; count += 1) {
      const address = FIRST_ADDRESS + Math.floor(this.random() * ADDRESS_COUNT);
      const port = FIRST_PORT + Math.floor(this.random() * PORT_COUNT);
      fingerprintFlow(address, port, this.service.address, this.service.port, this.fingerprint);
      this.byShard[shardOf(this.fingerprint.high)]?.push({ address, port });
    }
  }
}

/** Packet of a generated flow. */
export function flowPacket(
  flow: GeneratedFlow,
  service: { readonly address: number; readonly port: number },
  kind: 'syn' | 'rst',
): PacketView {
  return {
    bytes: NO_BYTES,
    sourceAddress: flow.address,
    sourcePort: flow.port,
    destinationAddress: service.address,
    destinationPort: service.port,
    syn: kind === 'syn',
    ack: false,
    fin: false,
    rst: kind === 'rst',
    hops: 0,
    relayedFrom: undefined,
  };
}

/** IPv4 address and port of an endpoint as numbers. */
export function numericEndpoint(endpoint: Endpoint): { readonly address: number; readonly port: number } {
  const address = endpoint.host.split('.').reduce((sum, part) => sum * 256 + Number(part), 0);
  return { address, port: endpoint.port };
}
