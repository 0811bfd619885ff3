/** Finds routes by the address that callers use, and settings by service. Relies on an immutable route table. */
import type { Route, RoutedService, RouteTable } from './types.js';

const PORTS = 65_536;

/** Key of an address and port; below 2^48. */
export function addressKey(address: number, port: number): number {
  return address * PORTS + port;
}

/** The address and port of a key. */
export function splitAddressKey(key: number): readonly [address: number, port: number] {
  const port = key % PORTS;
  return [(key - port) / PORTS, port];
}

/** An immutable index of one table. */
export class RouteIndex {
  private readonly byAddress: ReadonlyMap<number, Route>;
  private readonly services: ReadonlyMap<string, RoutedService>;

  constructor(readonly table: RouteTable) {
    this.byAddress = new Map(table.routes.map((route) => [addressKey(route.address, route.port), route]));
    this.services = new Map(table.services.map((service) => [service.name, service]));
  }

  /** The route of an address; undefined when there is none. */
  find(address: number, port: number): Route | undefined {
    return this.byAddress.get(addressKey(address, port));
  }

  /** True when the table names the service, in a route or by itself. */
  namesService(service: string): boolean {
    if (this.services.has(service)) return true;
    return this.table.routes.some(({ targets }) => targets.some((target) => target.service === service));
  }

  /** Open flows that a back end of `service` holds; unlimited when the table says nothing. */
  maxConnectionsOf(service: string): number {
    return this.services.get(service)?.maxConnections ?? Number.POSITIVE_INFINITY;
  }

  /** Requests a second that one cold back end of `service` bears; undefined: no limit. */
  coldRequestsPerSecondOf(service: string): number | undefined {
    return this.services.get(service)?.coldRequestsPerSecond;
  }
}
