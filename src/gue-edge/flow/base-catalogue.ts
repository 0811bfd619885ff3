/**
 * Back-end sets by settings version, so that the first choice of an older base can be reconstructed. Sets that a
 * balancer has not seen itself are learned from the balancer that hands it a shard.
 */
import { sameEndpoint } from '../../common/types.js';
import type { EffectiveBackend, EffectiveService, EffectiveSettings } from '../../settings/types.js';
import { RECENT_BASES } from './constants.js';

const NO_BACKENDS: readonly EffectiveBackend[] = [];

/** The services of one settings version by id. */
export type BaseSet = ReadonlyMap<number, EffectiveService>;

/** Bases by settings version. */
export class BaseCatalogue {
  private readonly bases = new Map<number, BaseSet>();

  /** Remembers the services of a settings version; later calls with the same version change nothing. */
  add(settings: EffectiveSettings): void {
    if (this.bases.has(settings.version)) return;
    this.bases.set(settings.version, new Map(settings.services.map((service) => [service.id, service])));
  }

  /** Remembers a version that another balancer described. */
  learn(version: number, base: BaseSet): void {
    if (!this.bases.has(version)) this.bases.set(version, base);
  }

  has(version: number): boolean {
    return this.bases.has(version);
  }

  /** The services of a version; undefined when the version is not known. */
  get(version: number): BaseSet | undefined {
    return this.bases.get(version);
  }

  /** Back ends of a service in a version; empty when the service did not exist or the version is not known. */
  backends(version: number, serviceId: number): readonly EffectiveBackend[] {
    return this.bases.get(version)?.get(serviceId)?.backends ?? NO_BACKENDS;
  }

  versions(): number[] {
    return [...this.bases.keys()].sort((left, right) => left - right);
  }

  /** Forgets versions that are neither in use nor among the most recent ones. */
  retain(versionsInUse: ReadonlySet<number>): void {
    const old = this.versions().slice(0, -RECENT_BASES);
    for (const version of old) {
      if (!versionsInUse.has(version)) this.bases.delete(version);
    }
  }
}

/** Ids of the services whose back ends differ between two versions in what the first choice looks at. */
export function changedServices(bases: BaseCatalogue, from: number, to: number): Set<number> {
  const before = bases.get(from);
  const after = bases.get(to);
  const ids = new Set([...(before?.keys() ?? []), ...(after?.keys() ?? [])]);
  for (const id of ids) {
    if (sameBackends(before?.get(id), after?.get(id))) ids.delete(id);
  }
  return ids;
}

/** True when two versions of a service have the same back ends, endpoints and weights. */
export function sameBackends(
  left: EffectiveService | undefined,
  right: EffectiveService | undefined,
): boolean {
  if (!left || !right) return left === right;
  if (left.backends === right.backends) return true;
  if (left.backends.length !== right.backends.length) return false;
  return left.backends.every((backend, index) => {
    const other = right.backends[index]!;
    return (
      backend.id === other.id &&
      backend.weight === other.weight &&
      sameEndpoint(backend.endpoint, other.endpoint)
    );
  });
}
