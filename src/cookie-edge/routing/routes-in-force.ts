/**
 * Holds the route table in force at this daemon. Owns the table's index and its digest mismatch state. Relies on
 * `RoutingKnowledge` for the revision up to which the topic is known, on `source-epoch.ts` for the order of tables, and
 * on `route-table-change.ts` for changes.
 */
import type { EventLog } from '../../observability/event.js';
import { ROUTING_EVENTS } from './events.js';
import { RouteIndex } from './route-index.js';
import { applyTableChange, diffTables } from './route-table-change.js';
import { compareEpochs, epochOf, supersedes } from './source-epoch.js';
import type { RouteTable, RouteTableChange, RoutingUpdate } from './types.js';

const UNKNOWN_REVISION = -1;

/** Holds the route table of one daemon. */
export class RoutesInForce {
  private current: RouteIndex | undefined;
  /** True after applying a change to the table in force gave a table with another digest than the change states. */
  private hasDigestMismatch = false;

  constructor(private readonly events: EventLog) {}

  /** Index of the table in force; undefined before the first table. */
  get index(): RouteIndex | undefined {
    return this.current;
  }

  /** The table in force; undefined before the first one. */
  get table(): RouteTable | undefined {
    return this.current?.table;
  }

  /**
   * Revision of the table in force, to which a change of `epoch` may be applied; -1 before the first table, for a table
   * of another epoch, and after a digest mismatch.
   */
  revisionIn(epoch: number): number {
    const { table } = this;
    if (!table || this.hasDigestMismatch || epochOf(table) !== epoch) return UNKNOWN_REVISION;
    return table.revision;
  }

  /**
   * Applies an update; returns false when the table is not known up to the update's revision. A change that starts from
   * the table in force leaves no gap.
   */
  apply(update: RoutingUpdate, hasGap: boolean): boolean {
    update.routes.forEach((table) => this.applyTable(table));
    const { table } = this;
    if (!update.routeChange) return !hasGap;
    if (!table || compareEpochs(update, table) !== 'same') return false;
    if (update.routeChange.revision < table.revision) return !hasGap;
    return this.applyChange(table, update.routeChange);
  }

  /**
   * Returns the update to gossip. It contains only the changes since `previousTable`, which peers have as well, or the
   * whole table in force when an epoch has begun since.
   */
  updateToGossip(
    update: RoutingUpdate,
    previousTable: RouteTable | undefined,
    hasEpochBegun: boolean,
  ): RoutingUpdate {
    const currentTable = this.table;
    if (update.routes.length === 0 || !currentTable || !previousTable) return update;
    if (hasEpochBegun || compareEpochs(currentTable, previousTable) !== 'same')
      return { ...update, routes: [currentTable] };
    return {
      ...update,
      complete: false,
      routes: [],
      routeChange: diffTables(previousTable, currentTable),
    };
  }

  private applyChange(table: RouteTable, change: RouteTableChange): boolean {
    const changed = applyTableChange(table, change);
    if (changed) this.applyTable(changed);
    else if (change.fromRevisions.includes(table.revision)) this.recordDigestMismatch(table, change);
    return changed !== undefined;
  }

  /**
   * Records a digest mismatch, so that the whole table is fetched. Until it arrives, the current one stays in force.
   */
  private recordDigestMismatch({ version, revision }: RouteTable, change: RouteTableChange): void {
    this.hasDigestMismatch = true;
    this.events.emit(ROUTING_EVENTS.tableDigestMismatch, { version, revision, changeTo: change.revision });
  }

  private applyTable(table: RouteTable): void {
    const inForce = this.table;
    if (inForce && !supersedes(table, inForce)) return this.logIgnoredTable(table, inForce);
    this.current = new RouteIndex(table);
    this.hasDigestMismatch = false;
    this.events.emit(ROUTING_EVENTS.routesInForce, {
      version: table.version,
      revision: table.revision,
      epoch: epochOf(table),
      previous: inForce?.version,
      routes: table.routes.length,
      services: table.services.length,
    });
  }

  private logIgnoredTable({ version, revision, epoch }: RouteTable, inForce: RouteTable): void {
    const isSame = revision === inForce.revision && compareEpochs({ epoch }, inForce) === 'same';
    if (isSame) return;
    const fields = { version, revision, epoch, inForce: inForce.version };
    this.events.emit(ROUTING_EVENTS.olderTableIgnored, fields);
  }
}
