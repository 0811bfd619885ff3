/** The platform without HTTP, on any clock, for simulations: the same store, leases and machine list behind clients. */
import Result from 'true-myth/result';
import type { Clock } from '../../common/clock.js';
import { Subject } from '../../common/event-stream.js';
import {
  leaseHeld,
  unknownOutcome,
  unreachable,
  versionConflict,
  type StoreError,
} from '../../store/errors.js';
import { pause } from '../../common/pause.js';
import { trustedDurationMs } from '../../store/index.js';
import type { Lease, MachineEntry, StoreClient, StoredObject } from '../../store/types.js';
import { LeaseTable } from './lease-table.js';
import { MachineList } from './machine-list.js';
import { ObjectStore, type StoreEntry } from './object-store.js';
import { RequestCounters, type CounterReport, type RequestKind } from './request-counters.js';

/** How often a client whose watch was cut tries to open it again, ms. Simulations count seconds. */
const RECONNECT_MS = 1_000;
/** Simulations see a change of the machine list at once, ms. */
const NO_MACHINE_LAG_MS = 0;

export class InMemoryPlatform {
  readonly store = new ObjectStore();
  readonly leases: LeaseTable;
  readonly machines: MachineList;
  readonly requests = new RequestCounters();
  /** Answers to this many coming writes are lost after they took effect. */
  lostAnswers = 0;
  private readonly faultChanged = new Subject<void>();
  private down = false;
  private readonly heldCallers = new Set<string>();

  constructor(readonly clock: Clock) {
    this.leases = new LeaseTable(clock, () => this.store.nextRevision());
    this.machines = new MachineList(clock, NO_MACHINE_LAG_MS);
  }

  /** While down every call fails and watches end. */
  setDown(down: boolean): void {
    this.down = down;
    this.faultChanged.push();
  }

  isDown(): boolean {
    return this.down;
  }

  /**
   * Holds back what a caller reads from its watches, as when its process does not run: it then first reads the
   * oldest write it missed, which lay in its socket, and after that the newest.
   */
  holdReads(caller: string, held: boolean): void {
    if (held) this.heldCallers.add(caller);
    else this.heldCallers.delete(caller);
    this.faultChanged.push();
  }

  holdsReads(caller: string): boolean {
    return this.heldCallers.has(caller);
  }

  counters(): CounterReport {
    return this.requests.report(this.leases.holdingCallers());
  }

  /** A client for one caller; `clock` is the caller's own, which may be paused. */
  client(caller: string, clock: Clock = this.clock): StoreClient {
    return new InMemoryClient(this, caller, clock);
  }

  /** Calls `listener` when a fault is switched on or off. */
  onFaultChange(listener: () => void): () => void {
    return this.faultChanged.subscribe(listener);
  }
}

class InMemoryClient implements StoreClient {
  constructor(
    private readonly platform: InMemoryPlatform,
    private readonly caller: string,
    private readonly clock: Clock,
  ) {}

  async get<T>(key: string): Promise<Result<StoredObject<T> | undefined, StoreError>> {
    if (!this.admit('get')) return Result.err(unreachable(`read object ${key}`));
    return Result.ok(this.platform.store.get(key) as StoredObject<T> | undefined);
  }

  async putIfVersion<T>(
    key: string,
    value: T,
    expectedVersion: number,
  ): Promise<Result<StoredObject<T>, StoreError>> {
    if (!this.admit('put')) return Result.err(unreachable(`write object ${key}`));
    const outcome = this.platform.store.put(key, value, expectedVersion);
    if (!outcome.accepted) return Result.err(versionConflict(key, expectedVersion, outcome.version));
    if (this.losesAnswer()) return Result.err(unknownOutcome(`write object ${key}`));
    return Result.ok(outcome.entry as StoredObject<T>);
  }

  async *watch<T>(key: string, afterVersion: number, signal: AbortSignal): AsyncGenerator<StoredObject<T>> {
    let lastVersion = afterVersion;
    while (!signal.aborted) {
      if (this.admit('watch')) {
        for await (const entry of this.watchOnce(key, lastVersion, signal)) {
          lastVersion = entry.version;
          yield entry as StoredObject<T>;
        }
      }
      await pause(this.clock, RECONNECT_MS, signal);
    }
  }

  async acquireLease(name: string, holder: string, durationMs: number): Promise<Result<Lease, StoreError>> {
    const requestedAtMs = this.clock.now();
    if (!this.admit('lease')) return Result.err(unreachable(`take lease ${name}`));
    const outcome = this.platform.leases.acquire(name, holder, durationMs, this.caller);
    if (!outcome.granted) return Result.err(leaseHeld(name, outcome.holder));
    if (this.losesAnswer()) return Result.err(unreachable(`take lease ${name}`));
    const trustedUntilMs = requestedAtMs + trustedDurationMs(durationMs);
    return Result.ok({ name, holder, fencingToken: outcome.fencingToken, trustedUntilMs });
  }

  async releaseLease(lease: Lease): Promise<Result<void, StoreError>> {
    if (!this.admit('release')) return Result.err(unreachable(`release lease ${lease.name}`));
    this.platform.leases.release(lease.name, lease.fencingToken);
    return Result.ok(undefined);
  }

  async listMachines(): Promise<Result<readonly MachineEntry[], StoreError>> {
    if (!this.admit('machines')) return Result.err(unreachable('list the machines'));
    return Result.ok(this.platform.machines.list());
  }

  private admit(kind: RequestKind): boolean {
    this.platform.requests.count(kind, this.caller);
    return !this.platform.isDown();
  }

  private losesAnswer(): boolean {
    if (this.platform.lostAnswers === 0) return false;
    this.platform.lostAnswers -= 1;
    return true;
  }

  /** One connection of a watch: ends when the store goes down. */
  private async *watchOnce(
    key: string,
    afterVersion: number,
    signal: AbortSignal,
  ): AsyncGenerator<StoredObject> {
    const changes = new Subject<void>();
    let missed: StoreEntry | undefined;
    const unsubscribe = [
      this.platform.store.subscribe(key, (entry) => {
        if (this.platform.holdsReads(this.caller)) missed ??= entry;
        changes.push();
      }),
      this.platform.onFaultChange(() => changes.push()),
    ];
    this.platform.requests.watchOpened(this.caller);
    let lastVersion = afterVersion;
    try {
      while (!signal.aborted && !this.platform.isDown()) {
        const held = this.platform.holdsReads(this.caller);
        const entry = held ? undefined : (missed ?? this.platform.store.get(key));
        if (!held) missed = undefined;
        if (entry && entry.version > lastVersion) {
          lastVersion = entry.version;
          yield entry;
        } else {
          await nextChange(changes, signal);
        }
      }
    } finally {
      for (const end of unsubscribe) end();
      this.platform.requests.watchClosed(this.caller);
    }
  }
}

function nextChange(changes: Subject<void>, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const done = (): void => {
      unsubscribe();
      signal.removeEventListener('abort', done);
      resolve();
    };
    const unsubscribe = changes.subscribe(done);
    if (signal.aborted) done();
    else signal.addEventListener('abort', done, { once: true });
  });
}
