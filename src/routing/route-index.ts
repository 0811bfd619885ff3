/** Finds routes by the address that callers use. */
import type { Route, RouteTable } from './types.js';

const PORTS = 65_536;

/** Key of an address and port; below 2^48. */
export function addressKey(address: number, port: number): number {
  return address * PORTS + port;
}

/** An immutable index of one table. */
export class RouteIndex {
  private readonly byAddress: ReadonlyMap<number, Route>;
  private readonly maxConnections: ReadonlyMap<string, number>;

  constructor(readonly table: RouteTable) {
    this.byAddress = new Map(table.routes.map((route) => [addressKey(route.address, route.port), route]));
    this.maxConnections = new Map(
      table.services.map(({ name, maxConnections }): [string, number] => [name, maxConnections]),
    );
  }

  /** The route of an address; undefined when there is none. */
  find(address: number, port: number): Route | undefined {
    return this.byAddress.get(addressKey(address, port));
  }

  /** Open flows that a back end of `service` holds; unlimited when the table says nothing. */
  maxConnectionsOf(service: string): number {
    return this.maxConnections.get(service) ?? Number.POSITIVE_INFINITY;
  }
}
