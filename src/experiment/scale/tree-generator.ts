/** Synthetic settings trees of a given size. */
import { parseTree, type TreeDocument } from '../../settings/index.js';

const SERVICES_PER_SITE = 100;
const BACKEND_NETWORK_SIZE = 250;
const FIRST_SERVICE_PORT = 5_000;

/** Size of a tree. */
export interface TreeSize {
  readonly services: number;
  readonly backends: number;
  readonly zones: readonly string[];
}

const DESIGN_SERVICES = 4_300;
const DESIGN_BACKENDS = 6_300;

/** Services of a tree with this many back ends, in the proportion of the size to design for. */
export function servicesFor(backends: number): number {
  return Math.max(1, Math.min(backends, Math.round((backends * DESIGN_SERVICES) / DESIGN_BACKENDS)));
}

/** A valid tree with back ends spread evenly over the services. Throws when the generator makes a faulty one. */
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
  const parsed = parseTree({ defaults: { slots: 2, maxConnections: 1_000_000 }, sites });
  if (parsed.isErr)
    throw new RangeError(`generated tree is faulty: ${JSON.stringify(parsed.error).slice(0, 500)}`);
  return parsed.value;
}

function backendsOf(service: number, size: TreeSize): Record<string, unknown> {
  const backends: Record<string, unknown> = {};
  for (let index = service; index < size.backends; index += size.services) {
    backends[`backend-${index}`] = {
      zone: size.zones[index % size.zones.length],
      endpoint: backendEndpoint(index, 6_000),
      healthEndpoint: backendEndpoint(index, 7_000),
    };
  }
  return backends;
}

function backendEndpoint(index: number, port: number): string {
  return `127.64.${Math.floor(index / BACKEND_NETWORK_SIZE)}.${1 + (index % BACKEND_NETWORK_SIZE)}:${port}`;
}
