/**
 * Rule: which changes a lagging daemon receives. Does no input or output; `MessageComposer` puts the result into
 * messages.
 *
 * Prevents transfers of the whole state for a small gap. Keeps the last `MAX_LOGGED_UPDATES` changes of each topic; a
 * complete update clears the log of its topic.
 *
 * Back ends and cordons are records with revisions: the response may start with any logged change that starts at or
 * before the revision of the requester, and omits records that the requester has. Routes are differences between
 * tables: the chain of changes must start from exactly the table of the requester and have no gap.
 *
 * If the log does not reach back far enough, the response omits the topic. The requester then fetches the state, which
 * contains the complete topic (`completeUpdate`).
 */
import { ALL_MECHANISMS_ON, type MechanismCheck } from '../../common/mechanisms.js';
import {
  compareEpochs,
  isConsecutiveChange,
  mergeTableChanges,
  type RoutedBackend,
  type RouteTableChange,
  type RoutingKnowledge,
  type RoutingTopic,
  type RoutingUpdate,
} from '../routing/index.js';
import { MAX_LOGGED_UPDATES } from './constants.js';
import type { KnownTopic, TopicUpdate } from './types.js';

/** Recent changes of each topic. */
export class UpdateLog {
  private readonly entries: Readonly<Record<RoutingTopic, TopicUpdate[]>> = {
    routes: [],
    backends: [],
    cordons: [],
  };

  constructor(private readonly isOn: MechanismCheck = ALL_MECHANISMS_ON) {}

  /** Records a change that was just applied. A complete update clears the log of its topic. */
  record(entry: TopicUpdate): void {
    const log = this.entries[entry.topic];
    if (entry.update.complete) log.length = 0;
    else log.push(entry);
    if (log.length > MAX_LOGGED_UPDATES) log.shift();
  }

  /**
   * Returns the changes after `known`, without records that the requester has; undefined if the log does not contain
   * all of them.
   */
  changesSince(topic: RoutingTopic, known: KnownTopic): TopicUpdate | undefined {
    if (!this.isOn('change-log')) return undefined;
    const log = this.entries[topic];
    const firstIndex =
      topic === 'routes' ? findChainStart(log, known.table) : findRecordsStart(log, known.revision);
    const neededEntries = firstIndex < 0 ? [] : log.slice(firstIndex);
    // Changes of another epoch do not start from any state that the requester has.
    if (!neededEntries[0] || compareEpochs(neededEntries[0].update, known) !== 'same') return undefined;
    const update = mergeUpdates(neededEntries.map((entry) => entry.update));
    const isNew = (record: { readonly revision: number }): boolean => record.revision > known.revision;
    const { backends, cordons } = update;
    const newRecords = { backends: backends.filter(isNew), cordons: cordons?.filter(isNew) };
    return {
      topic,
      since: Math.max(neededEntries[0].since, known.revision),
      update: { ...update, ...newRecords },
    };
  }
}

/** Merges updates into one with the same effect, with only the latest record of each back end. */
function mergeUpdates(updates: readonly RoutingUpdate[]): RoutingUpdate {
  return {
    epoch: updates.at(-1)?.epoch,
    revision: updates.at(-1)?.revision ?? 0,
    complete: false,
    routes: updates.flatMap(({ routes }) => routes).slice(-1),
    routeChange: updates
      .flatMap(({ routeChange }) => routeChange ?? [])
      .reduce<RouteTableChange | undefined>(mergeOptionalChange, undefined),
    backends: latestRecordPerBackend(updates.flatMap(({ backends }) => backends)),
    removals: updates.flatMap(({ removals }) => removals),
    cordons: updates.flatMap(({ cordons = [] }) => cordons),
    cordonRemovals: updates.flatMap(({ cordonRemovals = [] }) => cordonRemovals),
  };
}

function latestRecordPerBackend(records: readonly RoutedBackend[]): RoutedBackend[] {
  const byId = new Map<string, RoutedBackend>();
  for (const record of records) {
    if (record.revision >= (byId.get(record.id)?.revision ?? 0)) byId.set(record.id, record);
  }
  return [...byId.values()];
}

/** Returns the index of the last entry that starts at or before `revision`; -1 if there is none. */
function findRecordsStart(log: readonly TopicUpdate[], revision: number): number {
  return log.findLastIndex(({ since }) => since <= revision);
}

/**
 * Returns the index of the entry that starts from exactly the table `tableRevision`, if each later entry starts from
 * its predecessor; -1 otherwise. A table that was received across a gap is not logged: the next logged change then
 * starts from another table, which breaks the chain.
 */
function findChainStart(log: readonly TopicUpdate[], tableRevision: number): number {
  const changes = log.map(({ update }) => update.routeChange);
  const firstIndex = changes.findLastIndex((change) => change?.fromRevisions.includes(tableRevision));
  const chain = changes.slice(Math.max(0, firstIndex));
  const isUnbroken = chain.every((change, index) => {
    const previous = chain[index - 1];
    return change !== undefined && (!previous || isConsecutiveChange(previous, change));
  });
  return isUnbroken ? firstIndex : -1;
}

function mergeOptionalChange(
  first: RouteTableChange | undefined,
  second: RouteTableChange,
): RouteTableChange {
  return first ? mergeTableChanges(first, second) : second;
}

/** Returns all that is known of a topic, including departed back ends; undefined before anything is known. */
export function completeUpdate(knowledge: RoutingKnowledge, topic: RoutingTopic): TopicUpdate | undefined {
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
