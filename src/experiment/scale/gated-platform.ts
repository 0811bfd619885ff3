/** A platform client that can be cut off, as a region is that has lost contact with the platform. */
import Result from 'true-myth/result';
import { StoreError, pause, type StoreClient, type StoredObject } from '../../store/index.js';
import type { Clock } from '../../common/clock.js';

const RETRY_MS = 250;

export class GatedPlatform implements StoreClient {
  private blocked = false;
  private interrupted = new AbortController();

  constructor(
    private readonly inner: StoreClient,
    private readonly clock: Clock,
  ) {}

  /** Cuts every call and watch off, or lets them through again. */
  setBlocked(blocked: boolean): void {
    this.blocked = blocked;
    if (blocked) this.interrupted.abort();
    else this.interrupted = new AbortController();
  }

  get<T>(
    key: string,
  ): ReturnType<StoreClient['get']> & Promise<Result<StoredObject<T> | undefined, StoreError>> {
    return this.pass(() => this.inner.get<T>(key)) as ReturnType<StoreClient['get']> &
      Promise<Result<StoredObject<T> | undefined, StoreError>>;
  }

  putIfVersion<T>(
    key: string,
    value: T,
    expectedVersion: number,
  ): Promise<Result<StoredObject<T>, StoreError>> {
    return this.pass(() => this.inner.putIfVersion(key, value, expectedVersion));
  }

  async *watch<T>(key: string, afterVersion: number, signal: AbortSignal): AsyncIterable<StoredObject<T>> {
    let after = afterVersion;
    while (!signal.aborted) {
      if (this.blocked) {
        await pause(this.clock, RETRY_MS, signal);
        continue;
      }
      const either = AbortSignal.any([signal, this.interrupted.signal]);
      for await (const object of this.inner.watch<T>(key, after, either)) {
        after = object.version;
        yield object;
      }
    }
  }

  acquireLease(name: string, holder: string, durationMs: number): ReturnType<StoreClient['acquireLease']> {
    return this.pass(() => this.inner.acquireLease(name, holder, durationMs));
  }

  releaseLease(
    ...parameters: Parameters<StoreClient['releaseLease']>
  ): ReturnType<StoreClient['releaseLease']> {
    return this.pass(() => this.inner.releaseLease(...parameters));
  }

  listMachines(): ReturnType<StoreClient['listMachines']> {
    return this.pass(() => this.inner.listMachines());
  }

  private async pass<T>(call: () => Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> {
    if (!this.blocked) return call();
    return Result.err(
      new StoreError(
        'platform.unreachable',
        'The platform is cut off by the experiment',
        'Heal the partition',
      ),
    );
  }
}
