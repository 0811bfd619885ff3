/** Creates a cookie forwarder and its components, in dependency order. */
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
import { RecoveryAdmission } from '../admission/index.js';
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

/** Dependencies and settings of a cookie forwarder. */
interface CookieForwarderEnvironment {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly knowledge: RoutingKnowledge;
  readonly edge: CookieEdgePort;
  /** The forwarder reports a tick every `PAUSE_TICK_MS`. */
  readonly pauses: PauseDetector;
  readonly zone: string;
  /** A back end of another zone must have this many fewer flows per unit of capacity to be preferred. */
  readonly zoneMargin: number;
  /** Multiplier, 1 or more, for the load of back ends in other zones. */
  readonly zoneLoadFactor: number;
  /** Returns the region of a zone, or undefined if none is configured. */
  readonly regionOf: (zone: string) => string | undefined;
  /**
   * Returns the number of daemons, including this one, or undefined while unknown. Without this function no opening is
   * deferred.
   */
  readonly fleetSize?: () => number | undefined;
  /**
   * Returns false while peers are known to hold data about back ends that this daemon has not received. Default: true.
   */
  readonly hasReceivedDeparted?: () => boolean;
  /** Whether the list of back ends is considered complete. Default: always complete. */
  readonly settlement?: Settlement;
  readonly cold: ColdAdmissionOptions;
  /** Opens a connection to a back end to test whether it is listening. */
  readonly probe: ConnectProbe;
  /** Maximum lifetime of a flow, in ms. */
  readonly maxFlowAgeMs: number;
  /** Returns the maximum number of cached flows. */
  readonly maxFlows: () => number;
  /** Load reports of peers. Default: none. */
  readonly loads?: LoadLevels;
  /** Returns true for each enabled mechanism. Default: all are enabled. */
  readonly isOn?: MechanismCheck;
  /** Identifies this daemon in its reports. */
  readonly observer?: number;
  readonly outliers?: OutlierOptions;
  /** Gossips a bad answer that this daemon detected. */
  readonly onBadAnswer?: (report: BadAnswerReport) => void;
  /** Gossips that this daemon ejected a back end, found it dead or suspects it. */
  readonly onBackendUnhealthy?: (backendId: string, nowMs: number) => void;
}

/** The part of `BackendSettlement` that forwarding uses. */
type Settlement = Pick<BackendSettlement, 'state' | 'isKnownEmpty' | 'subscribe'>;

/** Treats the list of back ends as always complete. */
const ALWAYS_SETTLED: Settlement = {
  state: 'settled',
  isKnownEmpty: () => false,
  subscribe: () => undefined,
};

/** Components that several others share. */
interface SharedComponents {
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

/** Creates a forwarder. It can handle packets immediately; its timer starts with `start`. */
export function createCookieForwarder(environment: CookieForwarderEnvironment): CookieForwarder {
  const { clock, events, knowledge, pauses } = environment;
  const shared = createSharedComponents(environment);
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

function createSharedComponents(environment: CookieForwarderEnvironment): SharedComponents {
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
  const { hasReceivedDeparted = () => true } = environment;
  const resetter = new FlowResetter({ clock, cache, edge, statistics, events });
  const verdictOptions = { clock, isOn, states, resetter, events };
  const deadBackends = new DeadBackends({ ...verdictOptions, pauses, probe, onSuspect: gossipEjection });
  const outliers = createOutlierDetector(environment);
  return {
    isOn,
    statistics,
    cookies,
    cache,
    states,
    deadBackends,
    supersededBackends: new SupersededBackends({ ...verdictOptions, hasReceivedDeparted }),
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

/** Returns the configured settlement, or `ALWAYS_SETTLED` while `unsettled-openings` is switched off. */
function effectiveSettlement({ settlement }: CookieForwarderEnvironment, isOn: MechanismCheck): Settlement {
  return settlement && isOn('unsettled-openings') ? settlement : ALWAYS_SETTLED;
}

/** Returns `onBackendUnhealthy`, or a function that does nothing while `shared-ejections` is switched off. */
function effectiveEjectionGossip(
  { onBackendUnhealthy }: CookieForwarderEnvironment,
  isOn: MechanismCheck,
): (backendId: string, nowMs: number) => void {
  return onBackendUnhealthy && isOn('shared-ejections') ? onBackendUnhealthy : () => undefined;
}

function createAnswerTracker(
  { outliers = DEFAULT_OUTLIER_OPTIONS }: CookieForwarderEnvironment,
  detector: OutlierDetector,
): AnswerTracker {
  return new AnswerTracker({
    slowFactor: outliers.slowFactor,
    onBadAnswer: (badAnswer) => detector.recordOwnBadAnswer(badAnswer),
  });
}

function createOutlierDetector(environment: CookieForwarderEnvironment): OutlierDetector {
  const { clock, events, knowledge, observer, outliers, onBadAnswer } = environment;
  const { backends } = knowledge;
  return new OutlierDetector(
    {
      ...(outliers ?? DEFAULT_OUTLIER_OPTIONS),
      events,
      ownObserverId: observer ?? 0,
      serviceOf: (backendId) => backends.get(backendId)?.record.service,
      countBackends: (service) => backends.countListed(service),
      onReport: (report) => onBadAnswer?.(report),
    },
    clock.now(),
  );
}

function createOpeningHandler(
  environment: CookieForwarderEnvironment,
  shared: SharedComponents,
): OpeningHandler {
  const { random, events, knowledge, pauses, zone, zoneMargin, zoneLoadFactor, loads } = environment;
  const { isOn, states, outliers, pendingOpenings, coldAdmission, settlement } = shared;
  const eligibility = new BackendEligibility({
    knowledge,
    coldAdmission,
    regionOf: environment.regionOf,
    stateOf: (backend) => states.stateOf(backend),
  });
  const newFlowRule = new NewFlowRule({
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
    newFlowRule,
    cache: shared.cache,
    heldOpenings: shared.heldOpenings,
    flowsInProgress: shared.flowsInProgress,
    recoveryAdmission: createRecoveryAdmission(environment, shared),
    pendingOpenings,
    failures: shared.failures,
    sender: shared.sender,
    statistics: shared.statistics,
    openingLog: new OpeningLog({ events, knowledge, eligibility }),
    mayHaveWaited: (nowMs) => isOn('old-opening-guard') && pauses.mayHaveWaited(nowMs),
  });
}

/** Returns undefined if openings are never deferred. */
function createRecoveryAdmission(
  { knowledge, fleetSize }: CookieForwarderEnvironment,
  { isOn, flowsInProgress }: SharedComponents,
): RecoveryAdmission | undefined {
  if (!fleetSize || !isOn('yielding-openings')) return undefined;
  const inProgressAt = (service: string, nowMs: number): number =>
    flowsInProgress.countForService(service, nowMs);
  return new RecoveryAdmission({ knowledge, fleetSize, inProgressAt });
}

function createMidFlowHandler(
  { events, knowledge }: CookieForwarderEnvironment,
  shared: SharedComponents,
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
