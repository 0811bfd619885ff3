/**
 * The table of routes that is in force at this daemon. Owns the table's index and whether it is doubted; relies on
 * `RoutingKnowledge` to say how far the topic is known, on `source-epoch.ts` for the order of tables and on
 * `route-table-change.ts` for changes.
 */
import type { EventLog } from '../../observability/event.js';
import { ROUTING_EVENTS } from './events.js';
import { RouteIndex } from './route-index.js';
import { applyTableChange, compareTables } from './route-table-change.js';
import { compareEpochs, epochOf, supersedes } from './source-epoch.js';
import type { RouteTable, RouteTableChange, RoutingUpdate } from './types.js';

const UNKNOWN_REVISION = -1;

/** The routes of one daemon. */
export class RoutesInForce {
  private current: RouteIndex | undefined;
  /** True after a change for the table in force led to another table than its digest says. */
  private isDoubted = false;

  constructor(private readonly events: EventLog) {}

  /** The routes by address; undefined before the first table. */
  get index(): RouteIndex | undefined {
    return this.current;
  }

  /** The table in force; undefined before the first one. */
  get table(): RouteTable | undefined {
    return this.current?.table;
  }

  /**
   * Revision of the table in force from which a change of `epoch` may start; -1 before the first table, for a table of
   * another epoch, and while a change showed that it is not the source's.
   */
  revisionIn(epoch: number): number {
    const { table } = this;
    if (!table || this.isDoubted || epochOf(table) !== epoch) return UNKNOWN_REVISION;
    return table.revision;
  }

  /** False when the table is not known up to the update's revision. A change that fits the table leaves no gap. */
  apply(update: RoutingUpdate, hasGap: boolean): boolean {
    update.routes.forEach((table) => this.applyTable(table));
    const { table } = this;
    if (!update.routeChange) return !hasGap;
    if (!table || compareEpochs(update, table) !== 'same') return false;
    if (update.routeChange.revision < table.revision) return !hasGap;
    return this.applyChange(table, update.routeChange);
  }

  /**
   * The update in the form in which others get it: what changed since `before`, which they know as well, or the whole
   * table in force where an epoch began in between.
   */
  passedOn(update: RoutingUpdate, before: RouteTable | undefined, beganEpoch: boolean): RoutingUpdate {
    const after = this.table;
    if (update.routes.length === 0 || !after || !before) return update;
    if (beganEpoch || compareEpochs(after, before) !== 'same') return { ...update, routes: [after] };
    return { ...update, complete: false, routes: [], routeChange: compareTables(before, after) };
  }

  private applyChange(table: RouteTable, change: RouteTableChange): boolean {
    const changed = applyTableChange(table, change);
    if (changed) this.applyTable(changed);
    else if (change.fromRevisions.includes(table.revision)) this.doubt(table, change);
    return changed !== undefined;
  }

  /** Marks the table as doubtful, so that the whole one is fetched; until it comes, this one stays in force. */
  private doubt({ version, revision }: RouteTable, change: RouteTableChange): void {
    this.isDoubted = true;
    this.events.emit(ROUTING_EVENTS.tableDoubted, { version, revision, changeTo: change.revision });
  }

  private applyTable(table: RouteTable): void {
    const inForce = this.table;
    if (inForce && !supersedes(table, inForce)) return this.ignore(table, inForce);
    this.current = new RouteIndex(table);
    this.isDoubted = false;
    this.events.emit(ROUTING_EVENTS.routesInForce, {
      version: table.version,
      revision: table.revision,
      epoch: epochOf(table),
      previous: inForce?.version,
      routes: table.routes.length,
      services: table.services.length,
    });
  }

  private ignore({ version, revision, epoch }: RouteTable, inForce: RouteTable): void {
    const isSame = revision === inForce.revision && compareEpochs({ epoch }, inForce) === 'same';
    if (isSame) return;
    const fields = { version, revision, epoch, inForce: inForce.version };
    this.events.emit(ROUTING_EVENTS.olderIgnored, fields);
  }
}
