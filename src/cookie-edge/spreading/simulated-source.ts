/**
 * Simulated source of routes, back ends and cordons on a virtual clock, for tests. Supports watches, faults for
 * individual daemons, a discarded history, and restores from an older snapshot.
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

const RESPONSE_DELAY_MS = 4;
const CALL_TIMEOUT_MS = 1_000;

/** Fault in the responses to a daemon. `silent`: no response until the call times out. */
export type SourceFault = 'refuse' | 'throttle' | 'silent';

interface LoggedChange {
  readonly revision: number;
  readonly topic: RoutingTopic;
  readonly backend?: RoutedBackend;
  readonly removedBackendId?: string;
  readonly cordonedZone?: string;
  readonly uncordonedZone?: string;
  /** Watch responses that contain this change cannot be decoded. */
  readonly isUnreadable?: boolean;
}

/** State of the source at some time. */
interface SourceSnapshot {
  readonly revision: number;
  readonly table: RouteTable | undefined;
  readonly backends: ReadonlyMap<string, RoutedBackend>;
  readonly cordons: ReadonlyMap<string, number>;
  readonly changes: readonly LoggedChange[];
}

/**
 * Simulated source with a single revision counter for all topics. The methods that change a topic return the revision
 * of the change.
 */
export class SimulatedSource {
  revision = 2;
  /** Number of restores so far. */
  epoch = 0;
  calls = 0;
  /** Faults by daemon id; `*` applies to all daemons. */
  readonly faults = new Map<string, SourceFault>();
  private table: RouteTable | undefined = tableAt(2);
  private backends = new Map<string, RoutedBackend>([['a', backendAt('a', 1)]]);
  private cordons = new Map<string, number>();
  private changes: LoggedChange[] = [];
  private historyStartRevision = 0;
  private readonly changeListeners = new Set<() => void>();

  constructor(private readonly clock: Clock) {}

  /** Removes the routes, so that the source is as before the operator wrote any. Does not count as a change. */
  removeRoutes(): void {
    this.table = undefined;
  }

  /** Replaces the route table; its version equals its revision unless `content` sets another one. */
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
    return this.recordChange({ revision: this.revision, topic: 'backends', removedBackendId: id });
  }

  /** Writes a record that cannot be decoded under an id of its own. */
  writeUnreadableBackend(): number {
    this.revision += 1;
    return this.recordChange({ revision: this.revision, topic: 'backends', isUnreadable: true });
  }

  /** Cordons a zone. */
  cordon(zone: string): number {
    this.revision += 1;
    this.cordons.set(zone, this.revision);
    return this.recordChange({ revision: this.revision, topic: 'cordons', cordonedZone: zone });
  }

  /** Removes the cordon of a zone. */
  uncordon(zone: string): number {
    this.revision += 1;
    this.cordons.delete(zone);
    return this.recordChange({ revision: this.revision, topic: 'cordons', uncordonedZone: zone });
  }

  /** Discards the change history; watches from an earlier revision fail with `history-gone`. */
  discardHistory(): void {
    this.historyStartRevision = this.revision;
    this.changes = [];
  }

  /** Returns a snapshot of the state, which `restore` accepts. */
  takeSnapshot(): SourceSnapshot {
    return {
      revision: this.revision,
      table: this.table,
      backends: new Map(this.backends),
      cordons: new Map(this.cordons),
      changes: [...this.changes],
    };
  }

  /** Restores a snapshot: revisions go back and are assigned again, and pending watches end. */
  restore({ revision, table, backends, cordons, changes }: SourceSnapshot): void {
    this.epoch += 1;
    this.revision = revision;
    this.table = table;
    this.backends = new Map(backends);
    this.cordons = new Map(cordons);
    this.changes = [...changes];
    for (const onChange of [...this.changeListeners]) onChange();
  }

  /** Returns the source as the daemon `id` sees it, with the faults of that daemon. */
  asSeenBy(id: string): RoutingSource {
    return {
      read: (topic, _freshness, signal) =>
        this.call(id, signal, () => Promise.resolve(Result.ok(this.completeUpdateOf(topic)))),
      watch: (topic, revision, waitMs, signal) =>
        this.call(id, signal, () => this.waitForChange(topic, revision, waitMs, signal)),
    };
  }

  private recordChange(change: LoggedChange): number {
    this.changes.push(change);
    for (const onChange of [...this.changeListeners]) onChange();
    return change.revision;
  }

  private async call(
    id: string,
    signal: AbortSignal,
    respond: () => Promise<Result<RoutingUpdate, RoutingSourceError>>,
  ): Promise<Result<RoutingUpdate, RoutingSourceError>> {
    this.calls += 1;
    await this.sleep(RESPONSE_DELAY_MS, signal);
    const fault = this.faultOf(id);
    if (fault === 'refuse') return failure('routing.unavailable');
    if (fault === 'throttle') return failure('routing.throttled');
    if (fault !== 'silent') {
      const response = await respond();
      const faultAfterResponse = this.faultOf(id);
      if (faultAfterResponse !== 'silent') return response;
    }
    await this.sleep(CALL_TIMEOUT_MS, signal);
    return failure('routing.timeout');
  }

  private faultOf(id: string): SourceFault | undefined {
    return this.faults.get(id) ?? this.faults.get('*');
  }

  private completeUpdateOf(topic: RoutingTopic): RoutingUpdate {
    const { epoch, revision } = this;
    if (topic === 'routes')
      return updateAt(revision, { epoch, complete: true, routes: this.currentTables() });
    if (topic === 'cordons') {
      const cordons = [...this.cordons].map(([zone, cordonRevision]) => ({ zone, revision: cordonRevision }));
      return updateAt(revision, { epoch, complete: true, cordons });
    }
    return updateAt(revision, { epoch, complete: true, backends: [...this.backends.values()] });
  }

  private currentTables(): readonly RouteTable[] {
    return this.table ? [{ ...this.table, epoch: this.epoch }] : [];
  }

  private async waitForChange(
    topic: RoutingTopic,
    since: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<RoutingUpdate, RoutingSourceError>> {
    const hasHistory = (): boolean => since >= this.historyStartRevision && since <= this.revision;
    const hasChanged = (): boolean =>
      this.changes.some((change) => change.topic === topic && change.revision > since);
    if (!hasHistory()) return failure('routing.history-gone');
    if (!hasChanged()) await this.waitUntil(() => hasChanged() || !hasHistory(), waitMs, signal);
    if (!hasHistory()) return failure('routing.history-gone');
    const changes = this.changes.filter((change) => change.topic === topic && change.revision > since);
    if (changes.some(({ isUnreadable }) => isUnreadable)) return failure('routing.malformed');
    const update = updateAt(this.revision, {
      epoch: this.epoch,
      routes: topic === 'routes' && changes.length > 0 ? this.currentTables() : [],
      backends: changes.flatMap(({ backend }) => backend ?? []),
      removals: changes.flatMap(({ removedBackendId: id, revision }) => (id ? [{ id, revision }] : [])),
      cordons: changes.flatMap(({ cordonedZone: zone, revision }) => (zone ? [{ zone, revision }] : [])),
      cordonRemovals: changes.flatMap(({ uncordonedZone: zone, revision }) =>
        zone ? [{ zone, revision }] : [],
      ),
    });
    return Result.ok(update);
  }

  private waitUntil(condition: () => boolean, waitMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.clock.schedule(waitMs, finish);
      const onChange = (): void => {
        if (condition()) finish();
      };
      const { changeListeners } = this;
      function finish(): void {
        timer.cancel();
        changeListeners.delete(onChange);
        signal.removeEventListener('abort', finish);
        resolve();
      }
      changeListeners.add(onChange);
      signal.addEventListener('abort', finish);
    });
  }

  private sleep(delayMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.clock.schedule(delayMs, finish);
      function finish(): void {
        timer.cancel();
        signal.removeEventListener('abort', finish);
        resolve();
      }
      signal.addEventListener('abort', finish);
    });
  }
}

function failure(kind: RoutingSourceErrorKind): Result<RoutingUpdate, RoutingSourceError> {
  return Result.err(new RoutingSourceError(kind, 'simulated'));
}
