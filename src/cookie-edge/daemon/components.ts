/** Everything that a daemon on a cookie edge is made of, and how it is wired. */
import type { Clock } from '../../common/clock.js';
import { hashString } from '../../common/hash.js';
import { allBut } from '../../common/mechanisms.js';
import type { RandomSource } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import { createCookieForwarder, TICK_MS, type CookieForwarder } from '../forwarding/index.js';
import type { EventLog } from '../../observability/event.js';
import { PauseDetector } from '../../common/pause-detector.js';
import { LOAD_MIN_DAEMONS, LoadReader, LoadView } from '../load/index.js';
import { freshnessTimings, ProblemLog, RoutingKnowledge, SourceCircuit } from '../routing/index.js';
import { NetworkTransport, Spreader } from '../spreading/index.js';
import type { BoundCookieEdge, DeploymentAdapters } from './adapters.js';
import type { CookieDaemonConfig } from './config.js';
import { probeConnect } from './connect-probe.js';
import { StartupBuffer } from './startup-buffer.js';
import { SourceReading } from './source-reading.js';

/** What a daemon needs from its surroundings. */
export interface CookieDaemonEnvironment {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly adapters: DeploymentAdapters;
}

/** The wired parts. */
export interface CookieDaemonComponents extends CookieDaemonEnvironment {
  readonly edge: BoundCookieEdge;
  readonly knowledge: RoutingKnowledge;
  readonly circuit: SourceCircuit;
  readonly problems: ProblemLog;
  readonly reading: SourceReading;
  readonly transport: NetworkTransport;
  readonly spreader: Spreader;
  readonly forwarder: CookieForwarder;
}

/**
 * Binds the sockets, the edge first, and wires everything. Only the first reading of the source runs already, since its answer
 * comes while the rest is wired. `config` is asked anew where a reread may change it.
 */
export async function wireCookieDaemon(
  config: () => CookieDaemonConfig,
  environment: CookieDaemonEnvironment,
): Promise<CookieDaemonComponents> {
  const { clock, random, events, adapters } = environment;
  const { id, data, source: address, control, zone, zoneMargin, zoneLoadFactor, maxFlowAgeMs } = config();
  const { changeBoundsMs, cordonBoundMs, zoneRegions, coldOverage: overage, coldSlack: slack } = config();
  const isOn = allBut(config().switchedOff);
  const gate = new StartupBuffer({ clock, events, isOn });
  const pauses = new PauseDetector(clock.now(), TICK_MS);
  const edge = await adapters.openEdge({ data, handler: gate, events, clock });
  gate.attach(edge);
  const retentionMs = isOn('departed-backends') ? maxFlowAgeMs : 0;
  const followsCordons = cordonBoundMs !== undefined;
  const knowledge = new RoutingKnowledge({ clock, events, retentionMs, followsCordons });
  const timings = freshnessTimings(Math.min(...changeBoundsMs, cordonBoundMs ?? Infinity));
  const circuit = new SourceCircuit(clock, random, events);
  const source = adapters.createSource(address, clock);
  const loads = new LoadView();
  const loadReader = new LoadReader({
    clock,
    events,
    source,
    isWanted: () => isOn('reported-load') && !circuit.isLost && spreader.fleetSize >= LOAD_MIN_DAEMONS,
    onReport: (report) => spreader.gossipLoad(report),
  });
  const problems = new ProblemLog(events);
  const following = {
    clock,
    source,
    knowledge,
    circuit,
    timings,
    problems,
    usesLongWatches: isOn('long-watches'),
    onConfirmation: () => spreader.noteOwnConfirmation(),
  };
  const reading = new SourceReading(following, loadReader);
  reading.readFirst();
  const transport = await NetworkTransport.open(control, events);
  const spreader: Spreader = new Spreader({
    selfId: id,
    zone,
    seeds: () => seedsOf(config()),
    transport,
    knowledge,
    clock,
    random,
    events,
    timings,
    isOn,
    setReading: (isReading) => reading.set(isReading),
    noteArrival: () => pauses.noteRead('peers'),
    mayBeOld: () => pauses.mayBeOld(clock.now()),
    recordsMayLapse: () => circuit.recordsMayLapse(),
    applyLoadReport: (report) => isOn('reported-load') && loads.accept(report),
    applyBadAnswerReport: (report) => forwarder.applyBadAnswerReport(report),
    applyEjectionReport: ({ backendId, atMs }) => forwarder.applyEjectionReport(backendId, atMs),
  });
  circuit.retryNoSoonerThan(() => spreader.minimumRetryDelayMs());
  const forwarder: CookieForwarder = createCookieForwarder({
    clock,
    random,
    events,
    knowledge,
    edge,
    pauses,
    isOn,
    loads,
    zone,
    zoneMargin,
    zoneLoadFactor,
    maxFlowAgeMs,
    probe: probeConnect,
    regionOf: (name) => zoneRegions[name],
    cold: { overage, slack, isOwner: (backendId, count) => spreader.isOwner(backendId, count) },
    maxFlows: () => config().limits.maxFlows,
    observer: hashString(id),
    outliers: config().outliers,
    onBadAnswer: (report) => spreader.gossipBadAnswer(report),
    onEject: (backendId, atMs) => spreader.gossipEjection({ backendId, atMs }),
  });
  openWhenComplete(gate, knowledge, forwarder);
  return { ...environment, edge, transport, knowledge, circuit, problems, reading, spreader, forwarder };
}

/** Lets packets through as soon as everything is known that forwarding needs. */
function openWhenComplete(
  gate: StartupBuffer,
  knowledge: RoutingKnowledge,
  forwarder: CookieForwarder,
): void {
  const openIfComplete = (): void => {
    if (gate.isClosed && knowledge.isComplete()) gate.open(forwarder);
  };
  openIfComplete();
  knowledge.subscribe(openIfComplete);
}

/** Seeds with the port that all daemons share, where the configuration gives one. */
function seedsOf({ seeds, seedPort }: CookieDaemonConfig): readonly Endpoint[] {
  return seeds.map(({ host, port }) => ({ host, port: seedPort ?? port }));
}
