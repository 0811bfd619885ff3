/** A platform client that can be cut off, as a region is that has lost contact with the platform. */
import Result from 'true-myth/result';
import { PlatformError, pause, type PlatformClient, type StoredObject } from '../../platform/index.js';
import type { Clock } from '../../common/clock.js';

const RETRY_MS = 250;

export class GatedPlatform implements PlatformClient {
  private blocked = false;
  private interrupted = new AbortController();

  constructor(
    private readonly inner: PlatformClient,
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
  ): ReturnType<PlatformClient['get']> & Promise<Result<StoredObject<T> | undefined, PlatformError>> {
    return this.pass(() => this.inner.get<T>(key)) as ReturnType<PlatformClient['get']> &
      Promise<Result<StoredObject<T> | undefined, PlatformError>>;
  }

  putIfVersion<T>(
    key: string,
    value: T,
    expectedVersion: number,
  ): Promise<Result<StoredObject<T>, PlatformError>> {
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

  acquireLease(name: string, holder: string, durationMs: number): ReturnType<PlatformClient['acquireLease']> {
    return this.pass(() => this.inner.acquireLease(name, holder, durationMs));
  }

  releaseLease(
    ...parameters: Parameters<PlatformClient['releaseLease']>
  ): ReturnType<PlatformClient['releaseLease']> {
    return this.pass(() => this.inner.releaseLease(...parameters));
  }

  listMachines(): ReturnType<PlatformClient['listMachines']> {
    return this.pass(() => this.inner.listMachines());
  }

  private async pass<T>(call: () => Promise<Result<T, PlatformError>>): Promise<Result<T, PlatformError>> {
    if (!this.blocked) return call();
    return Result.err(
      new PlatformError(
        'platform.unreachable',
        'The platform is cut off by the experiment',
        'Heal the partition',
      ),
    );
  }
}
