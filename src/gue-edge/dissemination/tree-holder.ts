/**
 * The tree in force on this balancer. The only place where a tree takes effect: nothing older than the one in force,
 * nothing with faults and nothing that fails its digest gets past it.
 *
 * Owns the tree, the log of its changes and the stamps of rejected trees. Relies on `tree-replacement.ts` for which
 * tree wins.
 */
import type { Clock } from '../../common/clock.js';
import { Subject } from '../../common/event-stream.js';
import type { EventLog } from '../../observability/event.js';
import type { EffectiveSettings } from '../../settings/index.js';
import { ChangeLog } from './change-log.js';
import { REJECTED_STAMPS_KEPT } from './constants.js';
import {
  isEntryIntact,
  isIntact,
  type BuiltTree,
  type DistributedTree,
  type TreeEntry,
} from './distributed-tree.js';
import type { DisseminationError } from './errors.js';
import { DISSEMINATION_EVENTS } from './events.js';
import type { NodeChanges } from './node-set.js';
import { NO_TREE, sameTree, stampKey, type TreeStamp } from './stamp.js';
import type { DisseminationCounters } from './statistics.js';
import { judgeFetch, judgeReplacement, mayReplace, type HeldTree } from './tree-replacement.js';

/** How a tree came here. */
export type TreeOrigin = 'store' | 'push' | 'pull';

/** A tree that has just taken effect. */
export interface AppliedTree extends BuiltTree {
  /** The tree in force before. */
  readonly base: TreeStamp;
  readonly origin: TreeOrigin;
}

export class TreeHolder {
  readonly applied = new Subject<AppliedTree>();
  readonly log = new ChangeLog();
  private tree: DistributedTree | undefined;
  private appliedAtWall = 0;
  private corrupt = false;
  private readonly rejected: string[] = [];
  private unchecked: Iterator<TreeEntry> = [].values();

  constructor(
    private readonly clock: Clock,
    private readonly events: EventLog,
    private readonly counters: DisseminationCounters,
  ) {}

  current(): DistributedTree | undefined {
    return this.tree;
  }

  settings(): EffectiveSettings | undefined {
    return this.tree?.settings;
  }

  /** Stamp of the tree in force; that of no tree before the first, and while the tree in memory is corrupt. */
  stamp(): TreeStamp {
    return this.corrupt || !this.tree ? NO_TREE : this.tree.stamp;
  }

  /** Wall time at which the tree in force took effect, ms since the epoch; 0 before the first. */
  appliedAtWallMs(): number {
    return this.appliedAtWall;
  }

  /** True when `stamp` should be fetched: it wins over the tree in force and was not found faulty before. */
  wants(stamp: TreeStamp): boolean {
    return judgeFetch(stamp, this.held(), this.rejected.includes(stampKey(stamp))) === 'fetch';
  }

  /** Puts a built tree in force if it wins over the one that is; false when it does not. */
  install(built: BuiltTree, origin: TreeOrigin): boolean {
    const { stamp } = built.tree;
    if (!mayReplace(judgeReplacement(stamp, this.held()))) {
      this.counters.ignoredOlder += 1;
      return false;
    }
    const base = this.stamp();
    this.recordChanges(base, built.changes);
    this.tree = built.tree;
    this.unchecked = built.tree.entries.values();
    this.corrupt = false;
    this.appliedAtWall = this.clock.wall();
    this.count(origin);
    this.events.emit(DISSEMINATION_EVENTS.settingsApplied, {
      version: stamp.version,
      origin,
      changedNodes: built.changes.nodes.size + built.changes.removedPaths.size,
      sinceAcceptedMs: stamp.acceptedAtWallMs > 0 ? this.appliedAtWall - stamp.acceptedAtWallMs : undefined,
    });
    this.applied.push({ ...built, base, origin });
    return true;
  }

  /** Remembers a tree that cannot be used, and reports it once. */
  reject(stamp: Pick<TreeStamp, 'version' | 'digest'>, error: DisseminationError, from: string): void {
    if (error.kind !== 'dissemination.invalid-tree') {
      this.counters.rejectedDigest += 1;
      this.events.emit(DISSEMINATION_EVENTS.digestMismatch, { version: stamp.version, from });
      // The fault may be in the tree that the changes were applied to.
      this.checkIntegrity();
      return;
    }
    const key = `${stamp.version}/${stamp.digest}`;
    if (this.rejected.includes(key)) return;
    this.rejected.push(key);
    if (this.rejected.length > REJECTED_STAMPS_KEPT) this.rejected.shift();
    this.counters.rejectedInvalid += 1;
    this.events.emit(DISSEMINATION_EVENTS.treeRejected, {
      version: stamp.version,
      from,
      fault: error.message,
      inForce: this.stamp().version,
    });
  }

  /** Takes note of a peer's stamp: counts divergence, and adopts the newer lease of an equal tree. */
  meet(stamp: TreeStamp, from: string): void {
    const own = this.stamp();
    if (stamp.version === 0 || stamp.version !== own.version || !this.tree) return;
    if (!sameTree(stamp, own)) {
      this.counters.divergences += 1;
      this.events.emit(DISSEMINATION_EVENTS.treesDiverged, { version: own.version, from });
      return;
    }
    if (stamp.readerToken > own.readerToken) {
      this.tree = { ...this.tree, stamp: { ...own, readerToken: stamp.readerToken } };
    }
  }

  /** Compares the whole tree in memory with its digest. */
  checkIntegrity(): void {
    if (this.tree && !this.corrupt && !isIntact(this.tree)) this.markCorrupt(this.tree);
  }

  /** Compares the next nodes of the tree in memory with their hashes; goes round the whole tree over time. */
  checkNextNodes(count: number): void {
    if (!this.tree || this.corrupt) return;
    for (let checked = 0; checked < count; checked += 1) {
      const next = this.unchecked.next();
      if (next.done) {
        this.unchecked = this.tree.entries.values();
        return;
      }
      if (!isEntryIntact(next.value)) return this.markCorrupt(this.tree);
    }
  }

  /**
   * From now on the tree is offered to no peer, and that of a peer replaces it; its settings stay in force until
   * then.
   */
  private markCorrupt(tree: DistributedTree): void {
    this.corrupt = true;
    this.log.clear();
    this.counters.corruptions += 1;
    this.events.emit(DISSEMINATION_EVENTS.treeCorrupted, { version: tree.stamp.version });
  }

  private held(): HeldTree {
    return this.tree && { stamp: this.tree.stamp, isCorrupt: this.corrupt };
  }

  private recordChanges(base: TreeStamp, changes: NodeChanges): void {
    if (base.version === 0) this.log.clear();
    else this.log.append(base, changes);
  }

  private count(origin: TreeOrigin): void {
    if (origin === 'store') this.counters.appliedFromStore += 1;
    else if (origin === 'push') this.counters.appliedFromPush += 1;
    else this.counters.appliedFromPull += 1;
  }
}
