/**
 * Computes, applies and merges changes of the route table, so that gossip carries only the routes that differ. Does
 * no input or output.
 */
import { combine32, hashString } from '../../common/hash.js';
import type { Route, RouteTable, RouteTableChange } from './types.js';

/** Computes the change from one table to a later one. */
export function diffTables(fromTable: RouteTable, toTable: RouteTable): RouteTableChange {
  const previousRoutes = indexByName(fromTable.routes);
  const routes = toTable.routes.filter((route) => !isSameRoute(previousRoutes.get(route.name), route));
  const currentNames = new Set(toTable.routes.map(({ name }) => name));
  const removedRoutes = fromTable.routes
    .filter(({ name }) => !currentNames.has(name))
    .map(({ name }) => name);
  const { version, revision, idleTimeoutMs, services } = toTable;
  return {
    fromRevisions: [fromTable.revision],
    version,
    revision,
    idleTimeoutMs,
    services,
    routes,
    removedRoutes,
    digest: digestOfRoutes(toTable.routes),
    requirementDigest: digestOfRequirements(toTable.routes),
  };
}

/**
 * Applies a change and returns the new table. Returns undefined when the change does not start from this table, or when
 * the digest of the result does not match. A change cannot be applied to a table between its start and its end, because
 * it lacks the routes that were changed and changed back in between.
 */
export function applyTableChange(table: RouteTable, change: RouteTableChange): RouteTable | undefined {
  if (table.revision === change.revision) return table;
  if (!change.fromRevisions.includes(table.revision)) return undefined;
  const routes = indexByName(table.routes);
  for (const name of change.removedRoutes) routes.delete(name);
  for (const route of change.routes) routes.set(route.name, route);
  const { version, revision, idleTimeoutMs, services } = change;
  const changedRoutes = [...routes.values()];
  if (!matchesDigests(changedRoutes, change)) return undefined;
  const epoch = table.epoch === undefined ? {} : { epoch: table.epoch };
  return { version, ...epoch, revision, idleTimeoutMs, services, routes: changedRoutes };
}

/** Returns true when `second` starts from the table that `first` produces. */
export function isConsecutiveChange(first: RouteTableChange, second: RouteTableChange): boolean {
  return second.fromRevisions.includes(first.revision);
}

/** Merges two consecutive changes into one; `isConsecutiveChange(first, second)` must be true. */
export function mergeTableChanges(first: RouteTableChange, second: RouteTableChange): RouteTableChange {
  const routes = indexByName(first.routes);
  const removedNames = new Set(first.removedRoutes);
  for (const name of second.removedRoutes) {
    routes.delete(name);
    removedNames.add(name);
  }
  for (const route of second.routes) {
    routes.set(route.name, route);
    removedNames.delete(route.name);
  }
  const fromRevisions = [...new Set([...first.fromRevisions, ...second.fromRevisions])];
  return { ...second, fromRevisions, routes: [...routes.values()], removedRoutes: [...removedNames] };
}

/** Returns true if the routes are those from which the digests of a change were computed. */
function matchesDigests(
  routes: readonly Route[],
  { digest, requirementDigest }: Pick<RouteTableChange, 'digest' | 'requirementDigest'>,
): boolean {
  if (digestOfRoutes(routes) !== digest) return false;
  return requirementDigest === undefined || digestOfRequirements(routes) === requirementDigest;
}

/** Computes a 32-bit digest of addresses, targets and regions that does not depend on the order of the routes. */
export function digestOfRoutes(routes: readonly Route[]): number {
  return sumOfDigests(routes, digestOfRoute);
}

/**
 * Computes a 32-bit digest of priorities and target latencies that does not depend on the order of the routes. Both are
 * taken as the wire carries them: whole numbers, and a target latency of 0 for none.
 */
function digestOfRequirements(routes: readonly Route[]): number {
  return sumOfDigests(routes, ({ name, priority, targetLatencyMs = 0 }) => {
    const wirePriority = priority === undefined ? '' : Math.trunc(priority);
    return hashString(`${name} ${wirePriority} ${Math.trunc(targetLatencyMs)}`);
  });
}

function sumOfDigests(routes: readonly Route[], digestOf: (route: Route) => number): number {
  return routes.reduce((sum, route) => (sum + digestOf(route)) >>> 0, 0);
}

function digestOfRoute({ name, address, port, targets, allowedRegions = [] }: Route): number {
  const addressDigest = combine32(hashString(name), combine32(address, port));
  const digestedTexts = [...targets.map(({ service, weight }) => `${service} ${weight}`), ...allowedRegions];
  return digestedTexts.reduce((digest, part) => combine32(digest, hashString(part)), addressDigest);
}

function indexByName(routes: readonly Route[]): Map<string, Route> {
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
