/**
 * Computes, applies and joins changes of the route table, so that gossip carries only the routes that differ. Does no
 * input or output.
 */
import { combine32, hashString } from '../../common/hash.js';
import type { Route, RouteTable, RouteTableChange } from './types.js';

/** The change that leads from one table to a later one. */
export function compareTables(before: RouteTable, after: RouteTable): RouteTableChange {
  const known = byName(before.routes);
  const routes = after.routes.filter((route) => !isSameRoute(known.get(route.name), route));
  const present = new Set(after.routes.map(({ name }) => name));
  const removedRoutes = before.routes.filter(({ name }) => !present.has(name)).map(({ name }) => name);
  const { version, revision, idleTimeoutMs, services } = after;
  return {
    fromRevisions: [before.revision],
    version,
    revision,
    idleTimeoutMs,
    services,
    routes,
    removedRoutes,
    digest: digestOfRoutes(after.routes),
  };
}

/**
 * The table that a change leads to; undefined when the change was not made for this table, or leads to another one than
 * it was made from. A table between two that were compared does not do: what changed there and back is not in the
 * change.
 */
export function applyTableChange(table: RouteTable, change: RouteTableChange): RouteTable | undefined {
  if (table.revision === change.revision) return table;
  if (!change.fromRevisions.includes(table.revision)) return undefined;
  const routes = byName(table.routes);
  for (const name of change.removedRoutes) routes.delete(name);
  for (const route of change.routes) routes.set(route.name, route);
  const { version, revision, idleTimeoutMs, services, digest } = change;
  const changed = [...routes.values()];
  if (digestOfRoutes(changed) !== digest) return undefined;
  const epoch = table.epoch === undefined ? {} : { epoch: table.epoch };
  return { version, ...epoch, revision, idleTimeoutMs, services, routes: changed };
}

/** True when `second` starts from the table that `first` leads to. */
export function isNextChange(first: RouteTableChange, second: RouteTableChange): boolean {
  return second.fromRevisions.includes(first.revision);
}

/** One change that does what `first` and then `second` do, of which `isNextChange` must hold. */
export function joinTableChanges(first: RouteTableChange, second: RouteTableChange): RouteTableChange {
  const routes = byName(first.routes);
  const removed = new Set(first.removedRoutes);
  for (const name of second.removedRoutes) {
    routes.delete(name);
    removed.add(name);
  }
  for (const route of second.routes) {
    routes.set(route.name, route);
    removed.delete(route.name);
  }
  const fromRevisions = [...new Set([...first.fromRevisions, ...second.fromRevisions])];
  return { ...second, fromRevisions, routes: [...routes.values()], removedRoutes: [...removed] };
}

/** 32-bit digest of routes that does not depend on their order. */
export function digestOfRoutes(routes: readonly Route[]): number {
  return routes.reduce((sum, route) => (sum + digestOfRoute(route)) >>> 0, 0);
}

function digestOfRoute({ name, address, port, targets, allowedRegions = [] }: Route): number {
  const start = combine32(hashString(name), combine32(address, port));
  const parts = [...targets.map(({ service, weight }) => `${service} ${weight}`), ...allowedRegions];
  return parts.reduce((digest, part) => combine32(digest, hashString(part)), start);
}

function byName(routes: readonly Route[]): Map<string, Route> {
  return new Map(routes.map((route) => [route.name, route]));
}

function isSameRoute(left: Route | undefined, right: Route): boolean {
  if (!left || left.address !== right.address || left.port !== right.port) return false;
  if (left.priority !== right.priority || left.targetLatencyMs !== right.targetLatencyMs) return false;
  if (left.targets.length !== right.targets.length) return false;
  if (left.allowedRegions?.join() !== right.allowedRegions?.join()) return false;
  return left.targets.every(({ service, weight }, index) => {
    const other = right.targets[index];
    return other?.service === service && other.weight === weight;
  });
}
