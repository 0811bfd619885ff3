/**
 * Services by address and port. An address remembers every service it ever stood for, so that established flows of a
 * service that was removed or moved stay with their back ends, and a record of any other service is recognised.
 */
import { combine32 } from '../../common/hash.js';
import { parseIpv4 } from '../../fabric/ipv4-address.js';
import type { EffectiveService } from '../../settings/types.js';

/** One service address. */
export interface ServicePort {
  readonly address: number;
  readonly port: number;
  /** The service that stands behind the address now; undefined once it was removed. */
  service: EffectiveService | undefined;
  /** Ids of all services that ever stood behind it. */
  readonly serviceIds: Set<number>;
}

/** Finds the service of a packet. */
export class ServiceIndex {
  /** By 31-bit hash of address and port; ports with equal hashes share a list. */
  private readonly buckets = new Map<number, ServicePort[]>();

  /** Takes over the services in force; services that are gone keep their addresses without a service. */
  replace(services: readonly EffectiveService[]): void {
    for (const ports of this.buckets.values()) {
      for (const port of ports) port.service = undefined;
    }
    for (const service of services) {
      const port = this.associate(parseIpv4(service.address.host), service.address.port, service.id);
      port.service = service;
    }
  }

  /** Notes that a service stands or stood behind an address. */
  associate(address: number, port: number, serviceId: number): ServicePort {
    let found = this.find(address, port);
    if (!found) {
      found = { address, port, service: undefined, serviceIds: new Set() };
      const hash = bucketOf(address, port);
      const bucket = this.buckets.get(hash);
      if (bucket) bucket.push(found);
      else this.buckets.set(hash, [found]);
    }
    found.serviceIds.add(serviceId);
    return found;
  }

  find(address: number, port: number): ServicePort | undefined {
    const bucket = this.buckets.get(bucketOf(address, port));
    if (!bucket) return undefined;
    for (const candidate of bucket) {
      if (candidate.address === address && candidate.port === port) return candidate;
    }
    return undefined;
  }

  /** Every address that a service stands or stood behind. */
  addressesOf(serviceId: number): ServicePort[] {
    return [...this.buckets.values()].flat().filter((port) => port.serviceIds.has(serviceId));
  }
}

function bucketOf(address: number, port: number): number {
  return combine32(address, port) >>> 1;
}
