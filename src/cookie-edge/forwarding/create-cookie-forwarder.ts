/** Wires a cookie forwarder. Owns the order in which the parts are created: each after those that it needs. */
import type { Clock } from '../../common/clock.js';
import { ALL_MECHANISMS_ON, type MechanismCheck } from '../../common/mechanisms.js';
import type { PauseDetector } from '../../common/pause-detector.js';
import type { RandomSource } from '../../common/random.js';
import type { CookieEdgePort } from '../../fabric/cookie-edge.js';
import type { EventLog } from '../../observability/event.js';
import {
  LocalBackendStates,
  DeadBackends,
  FlowResetter,
  PendingOpenings,
  SupersededBackends,
  type ConnectProbe,
} from '../backend-health/index.js';
import { CrowdAdmission } from '../admission/index.js';
import type { LoadLevels } from '../load/index.js';
import {
  AnswerTracker,
  DEFAULT_OUTLIER_OPTIONS,
  OutlierDetector,
  type BadAnswerReport,
  type OutlierOptions,
} from '../outliers/index.js';
import {
  BackendEligibility,
  ColdAdmission,
  NewFlowRule,
  OpeningPlacement,
  TrafficSplitter,
  type ColdAdmissionOptions,
} from '../placement/index.js';
import type { BackendSettlement, RoutingKnowledge } from '../routing/index.js';
import { CookieForwarder } from './cookie-forwarder.js';
import { CookieRegistry } from './cookie-registry.js';
import { CookieStatistics } from './cookie-statistics.js';
import { FlowCache } from './flow-cache.js';
import { FlowExpiry } from './flow-expiry.js';
import { FlowFailures } from './flow-failures.js';
import { FlowTracker } from './flow-tracker.js';
import { FlowsInProgress } from './flows-in-progress.js';
import { HeldOpenings } from './held-openings.js';
import { Housekeeping } from './housekeeping.js';
import { MidFlowHandler } from './mid-flow-handler.js';
import { OpeningHandler } from './opening-handler.js';
import { OpeningLog } from './opening-log.js';
import { PacketSender } from './packet-sender.js';

/** What a cookie forwarder needs. */
interface CookieForwarderEnvironment {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly knowledge: RoutingKnowledge;
  readonly edge: CookieEdgePort;
  /** Ticked by the forwarder every `HOUSEKEEPING_TICK_MS`. */
  readonly pauses: PauseDetector;
  readonly zone: string;
  /** Flows for each unit of capacity that a back end of another zone must have less. */
  readonly zoneMargin: number;
  /** Factor of the load of back ends of other zones, 1 or more. */
  readonly zoneLoadFactor: number;
  /** Region of a zone; undefined when it is not configured. */
  readonly regionOf: (zone: string) => string | undefined;
  /** Number of daemons, this one included; undefined while unknown. Nothing yields unless it is given. */
  readonly fleetSize?: () => number | undefined;
  /** False while peers are known to remember more of back ends than this daemon has been told; true unless given. */
  readonly hasLearntFromPeers?: () => boolean;
  /** Whether the list of back ends is to be believed; always unless given. */
  readonly settlement?: Settlement;
  readonly cold: ColdAdmissionOptions;
  /** Opens a connection to a back end to test whether it listens. */
  readonly probe: ConnectProbe;
  /** Longest life of a flow, in ms. */
  readonly maxFlowAgeMs: number;
  /** Flows that are remembered at once. */
  readonly maxFlows: () => number;
  /** Load reports of other balancers; none unless given. */
  readonly loads?: LoadLevels;
  /** Mechanisms that are on; all unless given. */
  readonly isOn?: MechanismCheck;
  /** Names this balancer in its reports. */
  readonly observer?: number;
  readonly outliers?: OutlierOptions;
  /** Called with each bad answer that this balancer noticed, to gossip it. */
  readonly onBadAnswer?: (report: BadAnswerReport) => void;
  /** Called with each back end that is ejected, found dead or in doubt, to gossip it. */
  readonly onEject?: (backendId: string, nowMs: number) => void;
}

/** What forwarding needs of the state of the list. */
type Settlement = Pick<BackendSettlement, 'state' | 'isKnownEmpty' | 'subscribe'>;

/** A list that is always believed. */
const ALWAYS_SETTLED: Settlement = {
  state: 'settled',
  isKnownEmpty: () => false,
  subscribe: () => undefined,
};

/** The parts that several others share. */
interface SharedParts {
  readonly isOn: MechanismCheck;
  readonly statistics: CookieStatistics;
  readonly cookies: CookieRegistry;
  readonly cache: FlowCache;
  readonly states: LocalBackendStates;
  readonly deadBackends: DeadBackends;
  readonly supersededBackends: SupersededBackends;
  readonly pendingOpenings: PendingOpenings;
  readonly answerTracker: AnswerTracker;
  readonly outliers: OutlierDetector;
  readonly failures: FlowFailures;
  readonly sender: PacketSender;
  readonly coldAdmission: ColdAdmission;
  readonly settlement: Settlement;
  readonly heldOpenings: HeldOpenings;
  readonly flowsInProgress: FlowsInProgress;
}

/** Creates a forwarder; it handles packets at once, and its timer begins with `start`. */
export function createCookieForwarder(environment: CookieForwarderEnvironment): CookieForwarder {
  const { clock, events, knowledge, pauses } = environment;
  const shared = createSharedParts(environment);
  const { cache, states, supersededBackends, pendingOpenings, answerTracker, outliers, failures } = shared;
  return new CookieForwarder({
    ...shared,
    clock,
    pauses,
    knowledge,
    openingHandler: createOpeningHandler(environment, shared),
    midFlowHandler: createMidFlowHandler(environment, shared),
    housekeeping: new Housekeeping({
      clock,
      events,
      pauses,
      pendingOpenings,
      answerTracker,
      states,
      supersededBackends,
      outliers,
      failures,
      expiry: new FlowExpiry({ knowledge, cache, maxFlowAgeMs: environment.maxFlowAgeMs }),
    }),
  });
}

function createSharedParts(environment: CookieForwarderEnvironment): SharedParts {
  const { clock, events, edge, pauses, probe } = environment;
  const isOn = environment.isOn ?? ALL_MECHANISMS_ON;
  const settlement = effectiveSettlement(environment, isOn);
  const gossipEjection = effectiveEjectionGossip(environment, isOn);
  const statistics = new CookieStatistics();
  const cookies = new CookieRegistry();
  const cache = new FlowCache(environment.maxFlows);
  const states = new LocalBackendStates(
    events,
    ({ backend }, nowMs) => gossipEjection(backend.id, nowMs),
    isOn,
  );
  const { hasLearntFromPeers = () => true } = environment;
  const resetter = new FlowResetter({ clock, cache, edge, statistics, events });
  const verdictOptions = { clock, isOn, states, resetter, events };
  const deadBackends = new DeadBackends({ ...verdictOptions, pauses, probe, onDoubt: gossipEjection });
  const outliers = createOutlierDetector(environment);
  return {
    isOn,
    statistics,
    cookies,
    cache,
    states,
    deadBackends,
    supersededBackends: new SupersededBackends({ ...verdictOptions, hasLearntFromPeers }),
    outliers,
    pendingOpenings: new PendingOpenings(),
    answerTracker: createAnswerTracker(environment, outliers),
    failures: new FlowFailures({ states, deadBackends, isOn }),
    sender: new PacketSender({ edge, cookies, statistics }),
    coldAdmission: new ColdAdmission(environment.cold),
    settlement,
    flowsInProgress: new FlowsInProgress(),
    heldOpenings: new HeldOpenings({ clock, events, edge, statistics, settlement }),
  };
}

/** The list is always believed while `unsettled-openings` is switched off. */
function effectiveSettlement({ settlement }: CookieForwarderEnvironment, isOn: MechanismCheck): Settlement {
  return settlement && isOn('unsettled-openings') ? settlement : ALWAYS_SETTLED;
}

/** The function that gossips an ejection, a death or a doubt; does nothing while `shared-ejections` is switched off. */
function effectiveEjectionGossip(
  { onEject }: CookieForwarderEnvironment,
  isOn: MechanismCheck,
): (backendId: string, nowMs: number) => void {
  return onEject && isOn('shared-ejections') ? onEject : () => undefined;
}

function createAnswerTracker(
  { outliers = DEFAULT_OUTLIER_OPTIONS }: CookieForwarderEnvironment,
  detector: OutlierDetector,
): AnswerTracker {
  return new AnswerTracker({
    slowFactor: outliers.slowFactor,
    onBadAnswer: (badAnswer) => detector.recordOwn(badAnswer),
  });
}

function createOutlierDetector(environment: CookieForwarderEnvironment): OutlierDetector {
  const { clock, events, knowledge, observer, outliers, onBadAnswer } = environment;
  const { backends } = knowledge;
  return new OutlierDetector(
    {
      ...(outliers ?? DEFAULT_OUTLIER_OPTIONS),
      events,
      self: observer ?? 0,
      serviceOf: (backendId) => backends.get(backendId)?.record.service,
      countBackends: (service) => backends.countRecorded(service),
      onReport: (report) => onBadAnswer?.(report),
    },
    clock.now(),
  );
}

function createOpeningHandler(environment: CookieForwarderEnvironment, shared: SharedParts): OpeningHandler {
  const { random, events, knowledge, pauses, zone, zoneMargin, zoneLoadFactor, loads } = environment;
  const { isOn, states, outliers, pendingOpenings, coldAdmission, settlement } = shared;
  const eligibility = new BackendEligibility({
    knowledge,
    coldAdmission,
    regionOf: environment.regionOf,
    stateOf: (backend) => states.of(backend),
  });
  const newFlows = new NewFlowRule({
    knowledge,
    eligibility,
    coldAdmission,
    settlement,
    splitter: new TrafficSplitter(random, isOn),
    placement: new OpeningPlacement({ zone, zoneMargin, zoneLoadFactor, isOn, loads }),
    isOutlier: ({ backend, idHash }, flowHash, nowMs) =>
      outliers.isAvoided(backend.id, idHash, flowHash, nowMs),
    slowHandshakeMs: () => pendingOpenings.slowHandshakeMs,
  });
  return new OpeningHandler({
    newFlows,
    cache: shared.cache,
    heldOpenings: shared.heldOpenings,
    flowsInProgress: shared.flowsInProgress,
    crowdAdmission: createCrowdAdmission(environment, shared),
    pendingOpenings,
    failures: shared.failures,
    sender: shared.sender,
    statistics: shared.statistics,
    log: new OpeningLog({ events, knowledge, eligibility }),
    mayHaveWaited: (nowMs) => isOn('old-opening-guard') && pauses.mayHaveWaited(nowMs),
  });
}

/** Undefined where nothing yields. */
function createCrowdAdmission(
  { knowledge, fleetSize }: CookieForwarderEnvironment,
  { isOn, flowsInProgress }: SharedParts,
): CrowdAdmission | undefined {
  if (!fleetSize || !isOn('yielding-openings')) return undefined;
  const inProgressAt = (service: string, nowMs: number): number =>
    flowsInProgress.countForService(service, nowMs);
  return new CrowdAdmission({ knowledge, fleetSize, inProgressAt });
}

function createMidFlowHandler(
  { events, knowledge }: CookieForwarderEnvironment,
  shared: SharedParts,
): MidFlowHandler {
  const { isOn, statistics, cookies, cache, states, pendingOpenings, answerTracker, failures, sender } =
    shared;
  const flowTracker = new FlowTracker({
    cache,
    states,
    pendingOpenings,
    answerTracker,
    failures,
    statistics,
    isOn,
  });
  return new MidFlowHandler({
    events,
    knowledge,
    cookies,
    states,
    cache,
    flowTracker,
    sender,
    statistics,
  });
}
