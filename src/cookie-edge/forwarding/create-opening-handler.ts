/** Creates the components that decide on SYNs. */
import { RecoveryAdmission } from '../admission/index.js';
import type { LocalBackendState } from '../backend-health/index.js';
import {
  HandshakeRecords,
  HandshakeReplicator,
  OpeningLookup,
  YieldedOpenings,
} from '../opening-lookup/index.js';
import {
  BackendEligibility,
  ColdAdmission,
  NewFlowRule,
  OpeningPlacement,
  TrafficSplitter,
} from '../placement/index.js';
import type { KnownBackend } from '../routing/index.js';
import type { CookieForwarderEnvironment, SharedComponents } from './forwarder-environment.js';
import { OpeningHandler } from './opening-handler.js';
import { OpeningLog } from './opening-log.js';
import { SharedHandshakes } from './shared-handshakes.js';

/** Components that decide on SYNs. */
type OpeningComponents = Pick<
  SharedComponents,
  'coldAdmission' | 'eligibility' | 'openingLog' | 'openingLookup' | 'sharedHandshakes' | 'yieldedOpenings'
>;

/** What records the outcomes of lookups. */
type LookupLogs = Pick<SharedComponents, 'isOn' | 'statistics' | 'openingLog'>;

/** Creates the handler of SYNs. */
export function createOpeningHandler(
  environment: CookieForwarderEnvironment,
  shared: SharedComponents,
): OpeningHandler {
  const { random, knowledge, pauses, zone, zoneMargin, zoneLoadFactor, loads } = environment;
  const { isOn, states, outliers, pendingOpenings, coldAdmission, settlement, eligibility } = shared;
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
    openingLookup: shared.openingLookup,
    yieldedOpenings: shared.yieldedOpenings,
    backendStateOf: (id) => {
      const backend = knowledge.backends.get(id);
      return backend && states.stateOf(backend);
    },
    flowsInProgress: shared.flowsInProgress,
    recoveryAdmission: createRecoveryAdmission(environment, shared),
    pendingOpenings,
    failures: shared.failures,
    sender: shared.sender,
    statistics: shared.statistics,
    openingLog: shared.openingLog,
    sharedHandshakes: shared.sharedHandshakes,
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

/** Creates what decides on SYNs and is shared with other components. */
export function createOpeningComponents(
  environment: CookieForwarderEnvironment,
  { isOn, statistics, states }: Pick<SharedComponents, 'isOn' | 'statistics' | 'states'>,
): OpeningComponents {
  const { events, knowledge, cold, regionOf } = environment;
  const coldAdmission = new ColdAdmission(cold);
  const stateOf = (backend: KnownBackend): LocalBackendState => states.stateOf(backend);
  const eligibility = new BackendEligibility({ knowledge, coldAdmission, regionOf, stateOf });
  const openingLog = new OpeningLog({ events, knowledge, eligibility });
  const logs = { isOn, statistics, openingLog };
  return {
    coldAdmission,
    eligibility,
    openingLog,
    openingLookup: createLookup(environment, logs),
    sharedHandshakes: createSharedHandshakes(environment, logs),
    yieldedOpenings: new YieldedOpenings(),
  };
}

/** Handshakes have a lookup with a budget of their own, so that retransmitted SYNs do not use it up. */
function createSharedHandshakes(environment: CookieForwarderEnvironment, logs: LookupLogs): SharedHandshakes {
  const { clock, events, knowledge, openingPeers: peers, maxFlowAgeMs } = environment;
  return new SharedHandshakes({
    events,
    records: new HandshakeRecords(maxFlowAgeMs),
    lookup: createLookup(environment, logs),
    replicator: peers && logs.isOn('opening-lookups') ? new HandshakeReplicator({ clock, peers }) : undefined,
    backendOf: (id) => knowledge.backends.get(id),
  });
}

/** Returns undefined if peers are not asked about openings. */
function createLookup(
  { clock, edge, openingPeers: peers }: CookieForwarderEnvironment,
  { isOn, statistics, openingLog }: LookupLogs,
): OpeningLookup | undefined {
  if (!peers || !isOn('opening-lookups')) return undefined;
  return new OpeningLookup({
    clock,
    edge,
    peers,
    onEnd: (query, outcome, waitedMs) => {
      statistics.countLookup(outcome.kind);
      openingLog.logLookup(query, outcome, waitedMs);
    },
  });
}
