/**
 * Simulates a source of routes, back ends and cordons on a virtual clock, for tests: one counter of revisions, watches,
 * faults, and restores from an older copy.
 */
import Result from 'true-myth/result';
import type { Clock } from '../../common/clock.js';
import {
  RoutingSourceError,
  type RoutedBackend,
  type RouteTable,
  type RoutingSource,
  type RoutingSourceErrorKind,
  type RoutingTopic,
  type RoutingUpdate,
} from '../routing/index.js';
import { backendAt, tableAt, updateAt } from '../routing/routing-test-support.js';

const RESPONSE_MS = 4;
const CALL_TIMEOUT_MS = 1_000;

/** How the source treats a daemon. */
export type SourceFault = 'refuse' | 'throttle' | 'silent';

interface LoggedChange {
  readonly revision: number;
  readonly topic: RoutingTopic;
  readonly backend?: RoutedBackend;
  readonly removed?: string;
  readonly cordoned?: string;
  readonly uncordoned?: string;
}

/** What the source held at some time. */
interface SourceCopy {
  readonly revision: number;
  readonly table: RouteTable | undefined;
  readonly backends: ReadonlyMap<string, RoutedBackend>;
  readonly cordons: ReadonlyMap<string, number>;
  readonly changes: readonly LoggedChange[];
}

/** A source with one counter of revisions, watches, a history that may be lost, and faults for some daemons. */
export class SimulatedSource {
  revision = 2;
  /** Restores so far. */
  epoch = 0;
  calls = 0;
  /** Faults by daemon; `*` is for all. */
  readonly faults = new Map<string, SourceFault>();
  private table: RouteTable | undefined = tableAt(2);
  private backends = new Map<string, RoutedBackend>([['a', backendAt('a', 1)]]);
  private cordons = new Map<string, number>();
  private changes: LoggedChange[] = [];
  private historyFrom = 0;
  private readonly waiters = new Set<() => void>();

  constructor(private readonly clock: Clock) {}

  /** Removes the routes, as before the operator has written any. */
  withoutRoutes(): void {
    this.table = undefined;
  }

  /** Puts a new table in force; its version is its revision. */
  changeRoutes(content: Partial<RouteTable> = {}): number {
    this.revision += 1;
    this.table = tableAt(this.revision, content);
    return this.recordChange({ revision: this.revision, topic: 'routes' });
  }

  changeBackend(id: string, change: Partial<RoutedBackend> = {}): number {
    this.revision += 1;
    const backend = backendAt(id, this.revision, change);
    this.backends.set(id, backend);
    return this.recordChange({ revision: this.revision, topic: 'backends', backend });
  }

  removeBackend(id: string): number {
    this.revision += 1;
    this.backends.delete(id);
    return this.recordChange({ revision: this.revision, topic: 'backends', removed: id });
  }

  /** Cordons a zone. */
  cordon(zone: string): number {
    this.revision += 1;
    this.cordons.set(zone, this.revision);
    return this.recordChange({ revision: this.revision, topic: 'cordons', cordoned: zone });
  }

  /** Takes a cordon back. */
  uncordon(zone: string): number {
    this.revision += 1;
    this.cordons.delete(zone);
    return this.recordChange({ revision: this.revision, topic: 'cordons', uncordoned: zone });
  }

  /** Forgets every change so far; watches from an earlier revision fail with `history-gone`. */
  forgetHistory(): void {
    this.historyFrom = this.revision;
    this.changes = [];
  }

  /** A copy of everything, from which the source may be restored. */
  copy(): SourceCopy {
    return {
      revision: this.revision,
      table: this.table,
      backends: new Map(this.backends),
      cordons: new Map(this.cordons),
      changes: [...this.changes],
    };
  }

  /** Goes back to a copy: its revisions go back as well and are given out again, and waiting watches end. */
  restore({ revision, table, backends, cordons, changes }: SourceCopy): void {
    this.epoch += 1;
    this.revision = revision;
    this.table = table;
    this.backends = new Map(backends);
    this.cordons = new Map(cordons);
    this.changes = [...changes];
    for (const wake of [...this.waiters]) wake();
  }

  /** The source as the daemon `id` sees it. */
  for(id: string): RoutingSource {
    return {
      read: (topic, _freshness, signal) => this.call(id, signal, () => Promise.resolve(this.snapshot(topic))),
      watch: (topic, revision, waitMs, signal) =>
        this.call(id, signal, () => this.waitForChange(topic, revision, waitMs, signal)),
    };
  }

  private recordChange(change: LoggedChange): number {
    this.changes.push(change);
    for (const wake of [...this.waiters]) wake();
    return change.revision;
  }

  private async call(
    id: string,
    signal: AbortSignal,
    respond: () => Promise<RoutingUpdate | undefined>,
  ): Promise<Result<RoutingUpdate, RoutingSourceError>> {
    this.calls += 1;
    await this.sleep(RESPONSE_MS, signal);
    const fault = this.faultOf(id);
    if (fault === 'refuse') return failure('routing.unavailable');
    if (fault === 'throttle') return failure('routing.throttled');
    if (fault !== 'silent') {
      const update = await respond();
      const faultNow = this.faultOf(id);
      if (faultNow !== 'silent') return update ? Result.ok(update) : failure('routing.history-gone');
    }
    await this.sleep(CALL_TIMEOUT_MS, signal);
    return failure('routing.timeout');
  }

  private faultOf(id: string): SourceFault | undefined {
    return this.faults.get(id) ?? this.faults.get('*');
  }

  private snapshot(topic: RoutingTopic): RoutingUpdate {
    const { epoch, revision } = this;
    if (topic === 'routes') return updateAt(revision, { epoch, complete: true, routes: this.tables() });
    if (topic === 'cordons') {
      const cordons = [...this.cordons].map(([zone, at]) => ({ zone, revision: at }));
      return updateAt(revision, { epoch, complete: true, cordons });
    }
    return updateAt(revision, { epoch, complete: true, backends: [...this.backends.values()] });
  }

  private tables(): readonly RouteTable[] {
    return this.table ? [{ ...this.table, epoch: this.epoch }] : [];
  }

  private async waitForChange(
    topic: RoutingTopic,
    since: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<RoutingUpdate | undefined> {
    const hasHistory = (): boolean => since >= this.historyFrom && since <= this.revision;
    const changed = (): boolean =>
      this.changes.some((change) => change.topic === topic && change.revision > since);
    if (!hasHistory()) return undefined;
    if (!changed()) await this.waitUntil(() => changed() || !hasHistory(), waitMs, signal);
    if (!hasHistory()) return undefined;
    const changes = this.changes.filter((change) => change.topic === topic && change.revision > since);
    return updateAt(this.revision, {
      epoch: this.epoch,
      routes: topic === 'routes' && changes.length > 0 ? this.tables() : [],
      backends: changes.flatMap(({ backend }) => backend ?? []),
      removals: changes.flatMap(({ removed, revision }) => (removed ? [{ id: removed, revision }] : [])),
      cordons: changes.flatMap(({ cordoned, revision }) => (cordoned ? [{ zone: cordoned, revision }] : [])),
      cordonRemovals: changes.flatMap(({ uncordoned, revision }) =>
        uncordoned ? [{ zone: uncordoned, revision }] : [],
      ),
    });
  }

  private waitUntil(condition: () => boolean, waitMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.clock.schedule(waitMs, done);
      const wake = (): void => {
        if (condition()) done();
      };
      const { waiters } = this;
      function done(): void {
        timer.cancel();
        waiters.delete(wake);
        signal.removeEventListener('abort', done);
        resolve();
      }
      waiters.add(wake);
      signal.addEventListener('abort', done);
    });
  }

  private sleep(delayMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.clock.schedule(delayMs, done);
      function done(): void {
        timer.cancel();
        signal.removeEventListener('abort', done);
        resolve();
      }
      signal.addEventListener('abort', done);
    });
  }
}

function failure(kind: RoutingSourceErrorKind): Result<RoutingUpdate, RoutingSourceError> {
  return Result.err(new RoutingSourceError(kind, 'simulated'));
}
