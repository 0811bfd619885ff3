/**
 * Creates and wires the components of a daemon on a cookie edge. Their order of creation is also the order in which
 * they draw from the shared random source. Some dependencies are circular: gossip and forwarding call each other, and
 * the components that read the source call gossip. A component that is created earlier therefore gets a function that
 * returns the later one, and calls it only after all components are wired.
 */
import type { Clock } from '../../common/clock.js';
import { hashString } from '../../common/hash.js';
import { allBut, type MechanismCheck } from '../../common/mechanisms.js';
import { PauseDetector } from '../../common/pause-detector.js';
import type { RandomSource } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import type { EventLog } from '../../observability/event.js';
import { createCookieForwarder, type CookieForwarder } from '../forwarding/index.js';
import { MIN_DAEMONS_FOR_LOAD_REPORTS, LoadReader, LoadView } from '../load/index.js';
import { RosterReader, RosterWriter } from '../roster/index.js';
import {
  BackendSettlement,
  freshnessTimings,
  ProblemLog,
  RoutingKnowledge,
  SourceAvailability,
  SourceHistoryLog,
} from '../routing/index.js';
import { NetworkTransport, GossipNode } from '../spreading/index.js';
import type { BoundCookieEdge, DeploymentAdapters } from './adapters.js';
import type { CookieDaemonConfig } from './config.js';
import { probeConnect } from './connect-probe.js';
import { SourceReading } from './source-reading.js';
import { StartupBuffer } from './startup-buffer.js';

/** External dependencies of a daemon. */
export interface CookieDaemonEnvironment {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly adapters: DeploymentAdapters;
}

/** The wired components. */
export interface CookieDaemonComponents extends CookieDaemonEnvironment {
  readonly edge: BoundCookieEdge;
  readonly knowledge: RoutingKnowledge;
  readonly availability: SourceAvailability;
  readonly settlement: BackendSettlement;
  /** Undefined if no roster is configured or the mechanism is switched off. */
  readonly roster: RosterTasks | undefined;
  readonly problems: ProblemLog;
  readonly history: SourceHistoryLog;
  readonly reading: SourceReading;
  readonly transport: NetworkTransport;
  readonly gossipNode: GossipNode;
  readonly forwarder: CookieForwarder;
}

/** The tasks that read and write the roster. */
interface RosterTasks {
  readonly reader: RosterReader;
  readonly writer: RosterWriter;
}

/** Dependencies shared by the factory functions. */
interface Wiring extends CookieDaemonEnvironment {
  /** Returns the configuration in force, which a reload may change. */
  readonly config: () => CookieDaemonConfig;
  readonly isOn: MechanismCheck;
  readonly pauseDetector: PauseDetector;
  readonly loadView: LoadView;
  readonly gossipNode: () => GossipNode;
  readonly forwarder: () => CookieForwarder;
}

/** The components that read the source and keep what they read. */
type SourceComponents = ReturnType<typeof createSourceComponents>;

/**
 * Binds the sockets, the edge first, and wires all components. Starts only the first read of the source, whose response
 * can then arrive while the rest is wired. Throws a `SailquayError` if a socket cannot be bound.
 */
export async function wireCookieDaemon(
  config: () => CookieDaemonConfig,
  environment: CookieDaemonEnvironment,
): Promise<CookieDaemonComponents> {
  const { clock, events, adapters } = environment;
  const isOn = allBut(config().switchedOff);
  const buffer = new StartupBuffer({ clock, events, isOn });
  const pauseDetector = new PauseDetector(clock.now());
  const edge = await adapters.openEdge({ data: config().data, handler: buffer, events, clock });
  buffer.attach(edge);
  const wiring: Wiring = {
    ...environment,
    config,
    isOn,
    pauseDetector,
    loadView: new LoadView(),
    gossipNode: () => gossipNode,
    forwarder: () => forwarder,
  };
  const sourceComponents = createSourceComponents(wiring);
  const { knowledge, availability, reading } = sourceComponents;
  reading.readFirst();
  const transport = await NetworkTransport.open(config().control, events);
  const gossipNode = createGossipNode(wiring, sourceComponents, transport);
  availability.setMinimumRetryDelay(() => gossipNode.minimumRetryDelayMs());
  const roster = createRoster(wiring, sourceComponents);
  const fleetSize = (): number | undefined => estimateFleetSize(gossipNode, roster);
  const forwarder = createForwarder(wiring, sourceComponents, edge, fleetSize);
  flushWhenComplete(buffer, knowledge, forwarder);
  return { ...environment, ...sourceComponents, edge, transport, roster, gossipNode, forwarder };
}

function createSourceComponents(wiring: Wiring) {
  const { clock, random, events, adapters, isOn, gossipNode } = wiring;
  const { source: address, maxFlowAgeMs, changeBoundsMs, cordonBoundMs } = wiring.config();
  const retentionMs = isOn('departed-backends') ? maxFlowAgeMs : 0;
  const followsCordons = cordonBoundMs !== undefined;
  const knowledge = new RoutingKnowledge({ clock, events, retentionMs, followsCordons });
  const timings = freshnessTimings(Math.min(...changeBoundsMs, cordonBoundMs ?? Infinity));
  const availability = new SourceAvailability(clock, random, events);
  const source = adapters.createSource(address, clock);
  const loadReader = new LoadReader({
    clock,
    events,
    source,
    isReadingEnabled: () =>
      isOn('reported-load') && !availability.isLost && gossipNode().fleetSize >= MIN_DAEMONS_FOR_LOAD_REPORTS,
    onReport: (report) => gossipNode().gossipLoad(report),
  });
  const logs = { problems: new ProblemLog(events), history: new SourceHistoryLog(events) };
  const recordsMayLapse = (): boolean => availability.recordsMayLapse();
  const settlement = new BackendSettlement({ clock, events, knowledge, recordsMayLapse });
  const followerOptions = {
    clock,
    source,
    knowledge,
    availability,
    timings,
    ...logs,
    usesLongWatches: isOn('long-watches'),
    onConfirmation: () => gossipNode().recordOwnConfirmation(),
  };
  return {
    source,
    knowledge,
    timings,
    availability,
    settlement,
    ...logs,
    reading: new SourceReading(followerOptions, loadReader),
  };
}

/**
 * Creates the roster tasks, which `CookieDaemon` starts. Returns undefined if no roster is configured or the mechanism
 * is switched off.
 */
function createRoster(wiring: Wiring, sourceComponents: SourceComponents): RosterTasks | undefined {
  const { clock, events, isOn, gossipNode } = wiring;
  const { roster, changeBoundsMs } = wiring.config();
  if (!roster || !isOn('roster')) return undefined;
  const { source: store, knowledge, settlement } = sourceComponents;
  const writer = new RosterWriter({
    clock,
    events,
    knowledge,
    store,
    maxPageBytes: roster.maxPageBytes,
    isLeading: () => gossipNode().isLeadingReader,
    fleetSize: () => gossipNode().fleetSize,
    isSettled: () => !settlement.isUnsettled,
    maxConfirmationAgeMs: Math.min(...changeBoundsMs),
  });
  return { reader: new RosterReader({ clock, events, knowledge, settlement, store }), writer };
}

/**
 * Returns the larger of the fleet sizes known from gossip and from the roster, since a starting daemon knows few peers.
 * Returns undefined while the read of the roster is pending.
 */
function estimateFleetSize(gossipNode: GossipNode, roster: RosterTasks | undefined): number | undefined {
  if (roster?.reader.isPending) return undefined;
  return Math.max(gossipNode.fleetSize, roster?.reader.recordedFleetSize ?? 0);
}

function createGossipNode(
  wiring: Wiring,
  sourceComponents: SourceComponents,
  transport: NetworkTransport,
): GossipNode {
  const { clock, random, events, config, isOn, pauseDetector, loadView, forwarder } = wiring;
  const { knowledge, timings, availability, settlement, reading } = sourceComponents;
  const { id, zone } = config();
  return new GossipNode({
    selfId: id,
    zone,
    seeds: () => resolveSeeds(config()),
    transport,
    knowledge,
    clock,
    random,
    events,
    timings,
    isOn,
    setReading: (isReading) => reading.setFollowing(isReading),
    recordArrival: () => pauseDetector.recordRead('peers'),
    mayHaveWaited: () => pauseDetector.mayHaveWaited(clock.now()),
    recordsMayLapse: () => availability.recordsMayLapse(),
    isUnsettled: () => settlement.isUnsettled,
    onSettledPeer: () => settlement.recordSettledPeer(),
    applyLoadReport: (report) => isOn('reported-load') && loadView.applyReport(report),
    applyBadAnswerReport: (report) => forwarder().applyBadAnswerReport(report),
    applyEjectionReport: ({ backendId, atMs }) => forwarder().applyEjectionReport(backendId, atMs),
    answerOpeningQuery: (query) => forwarder().answerOpeningQuery(query),
    applyOpeningAnswer: (answer, peer) => forwarder().applyOpeningAnswer(answer, peer),
  });
}

function createForwarder(
  wiring: Wiring,
  { knowledge, settlement }: SourceComponents,
  edge: BoundCookieEdge,
  fleetSize: () => number | undefined,
): CookieForwarder {
  const { clock, random, events, config, isOn, pauseDetector, loadView, gossipNode } = wiring;
  const { id, zone, zoneMargin, zoneLoadFactor, maxFlowAgeMs, zoneRegions, outliers } = config();
  const { coldOverage: overage, coldSlack: slack } = config();
  return createCookieForwarder({
    clock,
    random,
    events,
    knowledge,
    settlement,
    fleetSize,
    hasReceivedDeparted: () => gossipNode().hasReceivedDeparted,
    edge,
    pauses: pauseDetector,
    isOn,
    loads: loadView,
    zone,
    zoneMargin,
    zoneLoadFactor,
    maxFlowAgeMs,
    probe: probeConnect,
    regionOf: (name) => zoneRegions[name],
    cold: { overage, slack, isOwner: (backendId, count) => gossipNode().isOwner(backendId, count) },
    maxFlows: () => config().limits.maxFlows,
    observer: hashString(id),
    outliers,
    openingPeers: {
      hasPeers: () => gossipNode().peerCount > 0 || gossipNode().isSearchingPeers,
      askAboutOpenings: (queries) => gossipNode().askAboutOpenings(queries),
      shareHandshakes: (records) => gossipNode().shareHandshakes(records),
    },
    onBadAnswer: (report) => gossipNode().gossipBadAnswer(report),
    onBackendUnhealthy: (backendId, atMs) => gossipNode().gossipEjection({ backendId, atMs }),
  });
}

/** Flushes the buffer as soon as all topics that forwarding needs are known. */
function flushWhenComplete(
  buffer: StartupBuffer,
  knowledge: RoutingKnowledge,
  forwarder: CookieForwarder,
): void {
  const flushIfComplete = (): void => {
    if (buffer.isBuffering && knowledge.isComplete()) buffer.flushTo(forwarder);
  };
  flushIfComplete();
  knowledge.subscribe(flushIfComplete);
}

/** Returns the seeds; `seedPort`, if configured, replaces their ports. */
function resolveSeeds({ seeds, seedPort }: CookieDaemonConfig): readonly Endpoint[] {
  return seeds.map(({ host, port }) => ({ host, port: seedPort ?? port }));
}
