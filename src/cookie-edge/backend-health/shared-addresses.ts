/**
 * Which back ends are known at which address. Owns the index by address. Relies on `SupersededBackends` to add and
 * remove back ends.
 */
import { formatEndpoint } from '../../common/types.js';
import type { KnownBackend } from '../routing/index.js';

/** The back ends at each address, and the addresses with more than one. */
export class SharedAddresses {
  private readonly byAddress = new Map<string, Set<KnownBackend>>();
  /** The address under which each back end was added; its record may name another one by now. */
  private readonly addressOf = new Map<KnownBackend, string>();
  /** Sets of two or more back ends. */
  private readonly shared = new Set<ReadonlySet<KnownBackend>>();

  /** Adds a back end; returns all that are known at its address. */
  add(backend: KnownBackend): ReadonlySet<KnownBackend> {
    const address = formatEndpoint(backend.record.endpoint);
    const sharing = this.byAddress.get(address) ?? new Set();
    this.byAddress.set(address, sharing.add(backend));
    this.addressOf.set(backend, address);
    if (sharing.size > 1) this.shared.add(sharing);
    return sharing;
  }

  /** Removes a back end; returns those that are left at its address. */
  remove(backend: KnownBackend): ReadonlySet<KnownBackend> {
    const address = this.addressOf.get(backend);
    const sharing = address === undefined ? undefined : this.byAddress.get(address);
    if (address === undefined || !sharing) return NONE;
    this.addressOf.delete(backend);
    sharing.delete(backend);
    if (sharing.size < 2) this.shared.delete(sharing);
    if (sharing.size === 0) this.byAddress.delete(address);
    return sharing;
  }

  /** The back ends of each address that has more than one. */
  all(): Iterable<ReadonlySet<KnownBackend>> {
    return this.shared;
  }
}

const NONE: ReadonlySet<KnownBackend> = new Set();
