/**
 * Rule: which changes a lagging daemon gets. Does no input or output; `MessageComposer` sends the result.
 *
 * Prevents transfers of the whole state for a small gap. Keeps the last `MAX_LOGGED_UPDATES` changes of each topic.
 * Back ends and cordons are records with revisions, so that any start at or before the requester's revision serves,
 * and records that it has are left out. Routes are differences of tables: the chain must start from exactly the
 * requester's table and have no gap. A requester that the log does not reach gets nothing here, and the whole topic
 * when it fetches the state (`completeUpdate`). A complete update clears the log. */
import { ALL_MECHANISMS_ON, type MechanismCheck } from '../../common/mechanisms.js';
import {
  compareEpochs,
  isNextChange,
  joinTableChanges,
  type RoutedBackend,
  type RouteTableChange,
  type RoutingKnowledge,
  type RoutingTopic,
  type RoutingUpdate,
} from '../routing/index.js';
import { MAX_LOGGED_UPDATES } from './constants.js';
import type { KnownTopic, SpreadUpdate } from './types.js';

/** Recent changes of each topic. */
export class UpdateLog {
  private readonly entries: Readonly<Record<RoutingTopic, SpreadUpdate[]>> = {
    routes: [],
    backends: [],
    cordons: [],
  };

  constructor(private readonly isOn: MechanismCheck = ALL_MECHANISMS_ON) {}

  /** Records a change that was just applied. A complete update clears the log. */
  record(entry: SpreadUpdate): void {
    const log = this.entries[entry.topic];
    if (entry.update.complete) log.length = 0;
    else log.push(entry);
    if (log.length > MAX_LOGGED_UPDATES) log.shift();
  }

  /**
   * The changes beyond `known`, without records that the requester has; undefined when the log does not hold all of
   * them.
   */
  since(topic: RoutingTopic, known: KnownTopic): SpreadUpdate | undefined {
    if (!this.isOn('change-log')) return undefined;
    const log = this.entries[topic];
    const first = topic === 'routes' ? startOfChain(log, known.table) : startOfRecords(log, known.revision);
    const needed = first < 0 ? [] : log.slice(first);
    // Revisions of another epoch lead from nothing that the requester has.
    if (!needed[0] || compareEpochs(needed[0].update, known) !== 'same') return undefined;
    const update = merge(needed.map((entry) => entry.update));
    const isNew = (record: { readonly revision: number }): boolean => record.revision > known.revision;
    const { backends, cordons } = update;
    const lacking = { backends: backends.filter(isNew), cordons: cordons?.filter(isNew) };
    return { topic, since: Math.max(needed[0].since, known.revision), update: { ...update, ...lacking } };
  }
}

/** Joins updates into one with the same effect; of each back end only the last record. */
function merge(updates: readonly RoutingUpdate[]): RoutingUpdate {
  return {
    epoch: updates.at(-1)?.epoch,
    revision: updates.at(-1)?.revision ?? 0,
    complete: false,
    routes: updates.flatMap(({ routes }) => routes).slice(-1),
    routeChange: updates
      .flatMap(({ routeChange }) => routeChange ?? [])
      .reduce<RouteTableChange | undefined>(joinAfter, undefined),
    backends: lastOfEach(updates.flatMap(({ backends }) => backends)),
    removals: updates.flatMap(({ removals }) => removals),
    cordons: updates.flatMap(({ cordons = [] }) => cordons),
    cordonRemovals: updates.flatMap(({ cordonRemovals = [] }) => cordonRemovals),
  };
}

function lastOfEach(records: readonly RoutedBackend[]): RoutedBackend[] {
  const byId = new Map<string, RoutedBackend>();
  for (const record of records) {
    if (record.revision >= (byId.get(record.id)?.revision ?? 0)) byId.set(record.id, record);
  }
  return [...byId.values()];
}

/** The last entry that starts at `revision` or before; -1 when there is none. */
function startOfRecords(log: readonly SpreadUpdate[], revision: number): number {
  return log.findLastIndex(({ since }) => since <= revision);
}

/**
 * The entry that starts from exactly the table of `tableRevision`, if each later entry starts from the one before it;
 * -1 otherwise. A table that was received across a gap was not logged, so that the next change starts elsewhere.
 */
function startOfChain(log: readonly SpreadUpdate[], tableRevision: number): number {
  const changes = log.map(({ update }) => update.routeChange);
  const first = changes.findLastIndex((change) => change?.fromRevisions.includes(tableRevision));
  const chain = changes.slice(Math.max(0, first));
  const isWhole = chain.every((change, index) => {
    const before = chain[index - 1];
    return change !== undefined && (!before || isNextChange(before, change));
  });
  return isWhole ? first : -1;
}

function joinAfter(first: RouteTableChange | undefined, second: RouteTableChange): RouteTableChange {
  return first ? joinTableChanges(first, second) : second;
}

/** Everything that is known of a topic, departed back ends included; undefined before it is known. */
export function completeUpdate(knowledge: RoutingKnowledge, topic: RoutingTopic): SpreadUpdate | undefined {
  const { epoch, revision } = knowledge.confirmationOf(topic);
  const table = knowledge.routes()?.table;
  if (revision < 0 || (topic === 'routes' && !table)) return undefined;
  const all = topic === 'backends' ? [...knowledge.backends.all()] : [];
  const update: RoutingUpdate = {
    epoch,
    revision,
    complete: true,
    removals: [],
    routes: topic === 'routes' && table ? [table] : [],
    backends: all.flatMap(({ record, departed, restored }) => (departed ? (restored?.record ?? []) : record)),
    departed: all.flatMap(({ record, departedAtMs, lapsed }) =>
      departedAtMs === undefined ? [] : [{ record, departedAtMs, ...(lapsed && { lapsed }) }],
    ),
    cordons: topic === 'cordons' ? knowledge.cordons.all() : [],
  };
  return { topic, since: -1, update };
}
