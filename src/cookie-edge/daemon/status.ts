/** Status page of a daemon on a cookie edge, and the totals in its last log line. Reads both from the components. */
import type { Readiness } from '../../observability/admin-server.js';
import type { BackendListState, RoutingTopic } from '../routing/index.js';
import type { CookieDaemonComponents } from './components.js';

/** Back ends by condition. */
interface BackendCounts extends Readonly<Record<string, number>> {
  readonly ready: number;
  readonly draining: number;
  readonly departed: number;
}

/** The status page. */
export interface CookieDaemonStatus {
  readonly readiness: Readiness;
  readonly routesVersion: number | undefined;
  readonly backends: BackendCounts;
  /** Whether the list of back ends is unknown, settling or settled. */
  readonly backendKnowledge: BackendListState;
  /** Ids of back ends from the roster that are not in the list yet. */
  readonly awaitedBackends: readonly string[];
  readonly heldOpenings: number;
  readonly openFlows: number;
  readonly outstandingRequests: number;
  /** Ids of outliers that get no new flows now. */
  readonly avoidedBackends: readonly string[];
  readonly cordonedZones: readonly string[];
  readonly knowledgeAgeMs: Readonly<Partial<Record<RoutingTopic, number>>>;
  readonly knowledgeRevision: Readonly<Partial<Record<RoutingTopic, number>>>;
  readonly sourceLost: boolean;
  readonly sourceReader: boolean;
  readonly peers: number;
}

/** Builds the status page. */
export function describeStatus(components: CookieDaemonComponents, readiness: Readiness): CookieDaemonStatus {
  const { knowledge, settlement, forwarder, availability, gossipNode } = components;
  return {
    readiness,
    routesVersion: knowledge.routes()?.table.version,
    backends: countBackends(components),
    backendKnowledge: settlement.state,
    awaitedBackends: knowledge.backends.awaited().map(({ id }) => id),
    heldOpenings: forwarder.heldOpeningCount,
    openFlows: forwarder.flowCount,
    outstandingRequests: forwarder.answers.outstandingCount,
    avoidedBackends: forwarder.outliers.avoidedAt(components.clock.now()),
    cordonedZones: knowledge.cordons.all().map(({ zone }) => zone),
    knowledgeAgeMs: topicAges(components, (ageMs) => Math.round(ageMs)),
    knowledgeRevision: topicRevisions(components),
    sourceLost: availability.isLost,
    sourceReader: gossipNode.isReading,
    peers: gossipNode.peerCount,
  };
}

/** Returns the totals since start for the last log line. */
export function summarize({
  forwarder,
  reading,
  gossipNode,
}: CookieDaemonComponents): Record<string, number | string> {
  const { packets, forwarded, opened, takenOver, placedAnew, resets, drops, refusals } = forwarder.statistics;
  const { held, heldTooLong, lookups } = forwarder.statistics;
  return {
    packets,
    forwarded,
    opened,
    takenOver,
    placedAnew,
    held: JSON.stringify(held),
    heldTooLong,
    lookups: JSON.stringify(lookups),
    ejections: forwarder.ejections,
    resets,
    probes: forwarder.probes,
    outlierVerdicts: forwarder.outliers.detections,
    answers: JSON.stringify(forwarder.answers.statistics),
    badAnswerReports: JSON.stringify(forwarder.outliers.reportCounts),
    drops: JSON.stringify(drops),
    refusals: JSON.stringify(refusals),
    sourceCalls: reading.calls,
    ...gossipNode.statistics,
  };
}

/** Counts the known back ends by condition. */
export function countBackends({ knowledge }: CookieDaemonComponents): BackendCounts {
  const counts = { ready: 0, draining: 0, departed: 0 };
  for (const { departed, record } of knowledge.backends.all()) {
    if (departed) counts.departed += 1;
    else if (record.draining) counts.draining += 1;
    else counts.ready += 1;
  }
  return counts;
}

/** Returns the age of each followed topic; `convert` converts it from ms. */
export function topicAges(
  { knowledge }: CookieDaemonComponents,
  convert: (ageMs: number) => number,
): Readonly<Partial<Record<RoutingTopic, number>>> {
  return Object.fromEntries(knowledge.topics.map((topic) => [topic, convert(knowledge.ageOf(topic))]));
}

/** Returns the latest known source revision of each followed topic; -1 before the first response. */
export function topicRevisions({
  knowledge,
}: CookieDaemonComponents): Readonly<Partial<Record<RoutingTopic, number>>> {
  return Object.fromEntries(knowledge.topics.map((topic) => [topic, knowledge.revisionOf(topic)]));
}
