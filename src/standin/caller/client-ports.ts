/** Hands out client addresses and ports, each pair used once before any is used again. */
import { parseIpv4 } from '../../fabric/index.js';
import type { SegmentAddress } from '../segment-connection/index.js';

/** Client ports: all but the 1,024 that systems reserve. */
const FIRST_PORT = 1_024;
const PORTS = 65_536 - FIRST_PORT;

export class ClientPorts {
  private readonly firstAddress: number;
  private issued = 0;

  constructor(
    firstAddress: string,
    private readonly addresses: number,
  ) {
    this.firstAddress = parseIpv4(firstAddress);
  }

  next(): SegmentAddress {
    const address = (this.firstAddress + (this.issued % this.addresses)) >>> 0;
    const port = FIRST_PORT + (Math.floor(this.issued / this.addresses) % PORTS);
    this.issued += 1;
    return { address, port };
  }
}
