/** What differs between two route tables, so that a change of few routes travels as few routes. */
import type { Route, RouteTable, RouteTableChange } from './types.js';

/** The change that leads from one table to a later one. */
export function compareTables(before: RouteTable, after: RouteTable): RouteTableChange {
  const known = byName(before.routes);
  const routes = after.routes.filter((route) => !isSameRoute(known.get(route.name), route));
  const present = new Set(after.routes.map(({ name }) => name));
  const removedRoutes = before.routes.filter(({ name }) => !present.has(name)).map(({ name }) => name);
  const { version, revision, idleTimeoutMs, services } = after;
  return { fromRevision: before.revision, version, revision, idleTimeoutMs, services, routes, removedRoutes };
}

/** The table that a change leads to; undefined when the change starts from a later table than this. */
export function applyTableChange(table: RouteTable, change: RouteTableChange): RouteTable | undefined {
  if (table.revision < change.fromRevision) return undefined;
  const routes = byName(table.routes);
  for (const name of change.removedRoutes) routes.delete(name);
  for (const route of change.routes) routes.set(route.name, route);
  const { version, revision, idleTimeoutMs, services } = change;
  return { version, revision, idleTimeoutMs, services, routes: [...routes.values()] };
}

/** One change that does what `first` and then `second` do. */
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
  const { fromRevision } = first;
  return { ...second, fromRevision, routes: [...routes.values()], removedRoutes: [...removed] };
}

function byName(routes: readonly Route[]): Map<string, Route> {
  return new Map(routes.map((route) => [route.name, route]));
}

function isSameRoute(left: Route | undefined, right: Route): boolean {
  if (!left || left.address !== right.address || left.port !== right.port) return false;
  if (left.targets.length !== right.targets.length) return false;
  return left.targets.every(({ service, weight }, index) => {
    const other = right.targets[index];
    return other?.service === service && other.weight === weight;
  });
}
