/**
 * Indexes the known back ends by address. Owns the index. Relies on `SupersededBackends` to add and remove back ends.
 */
import { formatEndpoint } from '../../common/types.js';
import type { KnownBackend } from '../routing/index.js';

/** Index of back ends by address, and of the addresses with more than one. */
export class SharedAddresses {
  private readonly byAddress = new Map<string, Set<KnownBackend>>();
  /** The address under which each back end was added; its record may have another address by now. */
  private readonly addressByBackend = new Map<KnownBackend, string>();
  /** The sets in `byAddress` with two or more back ends. */
  private readonly sharedSets = new Set<ReadonlySet<KnownBackend>>();

  /** Adds a back end; returns all back ends at its address. */
  add(backend: KnownBackend): ReadonlySet<KnownBackend> {
    const address = formatEndpoint(backend.record.endpoint);
    const backendsAtAddress = this.byAddress.get(address) ?? new Set();
    this.byAddress.set(address, backendsAtAddress.add(backend));
    this.addressByBackend.set(backend, address);
    if (backendsAtAddress.size > 1) this.sharedSets.add(backendsAtAddress);
    return backendsAtAddress;
  }

  /** Removes a back end; returns the remaining ones at its address. */
  remove(backend: KnownBackend): ReadonlySet<KnownBackend> {
    const address = this.addressByBackend.get(backend);
    const backendsAtAddress = address === undefined ? undefined : this.byAddress.get(address);
    if (address === undefined || !backendsAtAddress) return NO_BACKENDS;
    this.addressByBackend.delete(backend);
    backendsAtAddress.delete(backend);
    if (backendsAtAddress.size < 2) this.sharedSets.delete(backendsAtAddress);
    if (backendsAtAddress.size === 0) this.byAddress.delete(address);
    return backendsAtAddress;
  }

  /** The back ends at each address that has two or more. */
  groupsSharingAddress(): Iterable<ReadonlySet<KnownBackend>> {
    return this.sharedSets;
  }
}

const NO_BACKENDS: ReadonlySet<KnownBackend> = new Set();
