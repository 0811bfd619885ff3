/** Looks up routes by the address that callers use, and settings by service. Relies on an immutable route table. */
import type { Route, RoutedService, RouteTable } from './types.js';

const PORTS_PER_ADDRESS = 65_536;

/** Packs an address and port into one number below 2^48. */
export function addressKey(address: number, port: number): number {
  return address * PORTS_PER_ADDRESS + port;
}

/** Returns the address and port of a key. */
export function splitAddressKey(key: number): readonly [address: number, port: number] {
  const port = key % PORTS_PER_ADDRESS;
  return [(key - port) / PORTS_PER_ADDRESS, port];
}

/** An immutable index of one table. */
export class RouteIndex {
  private readonly byAddress: ReadonlyMap<number, Route>;
  private readonly services: ReadonlyMap<string, RoutedService>;

  constructor(readonly table: RouteTable) {
    this.byAddress = new Map(table.routes.map((route) => [addressKey(route.address, route.port), route]));
    this.services = new Map(table.services.map((service) => [service.name, service]));
  }

  /** Returns the route of an address; undefined when there is none. */
  find(address: number, port: number): Route | undefined {
    return this.byAddress.get(addressKey(address, port));
  }

  /** Returns true when the table has the service, in its services or as a target of a route. */
  namesService(service: string): boolean {
    if (this.services.has(service)) return true;
    return this.table.routes.some(({ targets }) => targets.some((target) => target.service === service));
  }

  /** Maximum number of open flows per back end of `service`; Infinity when the table does not set it. */
  maxConnectionsOf(service: string): number {
    return this.services.get(service)?.maxConnections ?? Number.POSITIVE_INFINITY;
  }

  /** Maximum request rate (per second) of one cold back end of `service`; undefined: no limit. */
  coldRequestsPerSecondOf(service: string): number | undefined {
    return this.services.get(service)?.coldRequestsPerSecond;
  }
}
