/** Synthetic settings trees of a given size. */
import { parseTree, type TreeDocument } from '../../settings/index.js';

const SERVICES_PER_SITE = 100;
const BACKEND_NETWORK_SIZE = 250;
const FIRST_SERVICE_PORT = 5_000;
const FIRST_SERVICE_BACKENDS = 10;

/** Size of a tree. */
export interface TreeSize {
  readonly services: number;
  readonly backends: number;
  readonly zones: readonly string[];
  /** Balancers of a region, which share the probes. */
  readonly probers: number;
}

const DESIGN_SERVICES = 4_300;
const DESIGN_BACKENDS = 6_300;

/** Probe interval unless a tree sets another, and back ends that a daemon probes at the size to design for. */
const DEFAULT_PROBE_INTERVAL_MS = 500;
const DESIGN_PROBED_BACKENDS = 51.5;
const PROBERS_PER_BACKEND = 3;

/**
 * Probe interval with which a daemon of a small fleet sends no more probes a second than one at the size to design for;
 * else few daemons would probe the back ends of many.
 */
function probeInterval({ backends, probers }: TreeSize): number {
  const probed = (PROBERS_PER_BACKEND * backends) / Math.max(PROBERS_PER_BACKEND, probers);
  return Math.round(DEFAULT_PROBE_INTERVAL_MS * Math.max(1, probed / DESIGN_PROBED_BACKENDS));
}

/** Services of a tree with this many back ends, in the proportion of the size to design for. */
export function servicesFor(backends: number): number {
  return Math.max(1, Math.min(backends, Math.round((backends * DESIGN_SERVICES) / DESIGN_BACKENDS)));
}

/** A valid tree with ten back ends behind the first service and the others spread evenly. Throws when the generator makes a faulty one. */
export function generateTree(size: TreeSize): TreeDocument {
  const sites: Record<string, { services: Record<string, unknown> }> = {};
  for (let index = 0; index < size.services; index += 1) {
    const site = `site-${Math.floor(index / SERVICES_PER_SITE)}`;
    sites[site] ??= { services: {} };
    (sites[site] as { services: Record<string, unknown> }).services[`service-${index}`] = {
      address: `10.${64 + Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}:${FIRST_SERVICE_PORT}`,
      backends: backendsOf(index, size),
    };
  }
  const parsed = parseTree({
    defaults: { slots: 2, maxConnections: 1_000_000, health: { probeIntervalMs: probeInterval(size) } },
    sites,
  });
  if (parsed.isErr)
    throw new RangeError(`generated tree is faulty: ${JSON.stringify(parsed.error).slice(0, 500)}`);
  return parsed.value;
}

function backendsOf(service: number, size: TreeSize): Record<string, unknown> {
  const backends: Record<string, unknown> = {};
  for (const index of backendIndexes(service, size)) {
    backends[`backend-${index}`] = {
      zone: size.zones[index % size.zones.length],
      endpoint: backendEndpoint(index, 6_000),
      healthEndpoint: backendEndpoint(index, 7_000),
    };
  }
  return backends;
}

/** The first service, which flows are opened to, has enough back ends for a choice; the others share the rest evenly. */
function backendIndexes(service: number, { services, backends }: TreeSize): number[] {
  const first = Math.min(FIRST_SERVICE_BACKENDS, backends - services + 1);
  if (service === 0)
    return Array.from({ length: services === 1 ? backends : first }, (_unused, index) => index);
  const indexes: number[] = [];
  for (let index = first + service - 1; index < backends; index += services - 1) indexes.push(index);
  return indexes;
}

function backendEndpoint(index: number, port: number): string {
  return `127.64.${Math.floor(index / BACKEND_NETWORK_SIZE)}.${1 + (index % BACKEND_NETWORK_SIZE)}:${port}`;
}
