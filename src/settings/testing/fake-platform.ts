/** An in-memory platform for tests, with faults of single writes and a hook for races. */
import Result from 'true-myth/result';
import { StoreError, type StoreErrorKind } from '../../store/errors.js';
import type { StoreClient, StoredObject } from '../../store/types.js';

/**
 * Fate of one write. `none`: as it should be. `lost-answer`: takes effect, the answer is lost. `lost-request`: has
 * no effect and no answer. `late`: the answer is lost and the write takes effect just before the next write.
 * `unreachable`: is not sent.
 */
export type WriteFault = 'none' | 'lost-answer' | 'lost-request' | 'late' | 'unreachable';

type PutResult<T> = Result<StoredObject<T>, StoreError>;

function failure<T>(kind: StoreErrorKind): Result<T, StoreError> {
  return Result.err(new StoreError(kind, `fake ${kind}`, 'none'));
}

/** Objects with versions; values pass through JSON as they do on the way to the real platform. */
export class FakePlatform implements StoreClient {
  /** Fates of the next writes, the first for the next one. */
  readonly writeFaults: WriteFault[] = [];
  /** Number of reads that fail from now on. */
  failingReads = 0;
  /** Number of writes asked for. */
  writes = 0;
  /** Runs before each write that is asked for, e.g. to let another operator come first. */
  beforeWrite: () => Promise<void> = async () => undefined;
  private version = 0;
  private readonly objects = new Map<string, StoredObject>();
  private lateWrite: (() => void) | undefined;

  async get<T>(key: string): Promise<Result<StoredObject<T> | undefined, StoreError>> {
    if (this.failingReads > 0) {
      this.failingReads -= 1;
      return failure('platform.unreachable');
    }
    return Result.ok(this.objects.get(key) as StoredObject<T> | undefined);
  }

  async putIfVersion<T>(key: string, value: T, expectedVersion: number): Promise<PutResult<T>> {
    this.writes += 1;
    await this.beforeWrite();
    this.lateWrite?.();
    this.lateWrite = undefined;
    const fault = this.writeFaults.shift();
    if (fault === 'unreachable') return failure('platform.unreachable');
    if (fault === 'lost-request') return failure('platform.unknown-outcome');
    if (fault === 'late') {
      this.lateWrite = () => void this.write(key, value, expectedVersion);
      return failure('platform.unknown-outcome');
    }
    const written = this.write(key, value, expectedVersion);
    return fault === 'lost-answer' ? failure('platform.unknown-outcome') : written;
  }

  /** Stores a value whatever the version is. */
  seed(key: string, value: unknown): void {
    this.write(key, value, this.objects.get(key)?.version ?? 0);
  }

  async *watch<T>(): AsyncIterable<StoredObject<T>> {
    yield* [];
  }

  async acquireLease(): Promise<Result<never, StoreError>> {
    return failure('platform.unreachable');
  }

  async releaseLease(): Promise<Result<void, StoreError>> {
    return Result.ok(undefined);
  }

  async listMachines(): Promise<Result<readonly [], StoreError>> {
    return Result.ok([]);
  }

  private write<T>(key: string, value: T, expectedVersion: number): PutResult<T> {
    const current = this.objects.get(key)?.version ?? 0;
    if (current !== expectedVersion) return failure('platform.version-conflict');
    this.version += 1;
    const stored = { key, version: this.version, value: JSON.parse(JSON.stringify(value)) as T };
    this.objects.set(key, stored);
    return Result.ok(stored);
  }
}
