/**
 * The platform's object API as this project uses it (HTTP and JSON; docs/PLATFORM.md describes it).
 * Every object has a version that rises by at least one with each accepted write to any object.
 */
import type Result from 'true-myth/result';
import type { Endpoint } from '../common/types.js';
import type { StoreError } from './errors.js';

/** A stored object. `value` is JSON. */
export interface StoredObject<T = unknown> {
  readonly key: string;
  readonly version: number;
  readonly value: T;
}

/** A granted lease. */
export interface Lease {
  readonly name: string;
  readonly holder: string;
  /** Fencing token: rises with each new grant of this lease. */
  readonly fencingToken: number;
  /** Monotonic ms until which the holder may act: grant request time + duration - safety margin. */
  readonly trustedUntilMs: number;
}

/** One entry of the platform's lagging machine list. */
export interface MachineEntry {
  readonly name: string;
  readonly zone: string;
  readonly control: Endpoint;
  /** HTTP admin address, where the platform knows it. */
  readonly admin?: Endpoint;
  readonly state: 'live' | 'leaving';
}

/** Client of the platform. All calls have deadlines and retry with jittered backoff only where safe. */
export interface StoreClient {
  get<T>(key: string): Promise<Result<StoredObject<T> | undefined, StoreError>>;
  /** Writes if the object's version is still `expectedVersion` (0: must not exist). */
  putIfVersion<T>(
    key: string,
    value: T,
    expectedVersion: number,
  ): Promise<Result<StoredObject<T>, StoreError>>;
  /**
   * Yields newer versions of the object than `afterVersion`, in order, until `signal` aborts; reconnects by itself.
   * A slow reader may miss versions in between, never the newest.
   */
  watch<T>(key: string, afterVersion: number, signal: AbortSignal): AsyncIterable<StoredObject<T>>;
  /** Takes or renews a lease; err `platform.lease-held` when another holder has it. */
  acquireLease(name: string, holder: string, durationMs: number): Promise<Result<Lease, StoreError>>;
  releaseLease(lease: Lease): Promise<Result<void, StoreError>>;
  listMachines(): Promise<Result<readonly MachineEntry[], StoreError>>;
}
