/** Creates a cookie forwarder and its components, in dependency order. */
import { ALL_MECHANISMS_ON, type MechanismCheck } from '../../common/mechanisms.js';
import {
  LocalBackendStates,
  DeadBackends,
  FlowResetter,
  PendingOpenings,
  SupersededBackends,
} from '../backend-health/index.js';
import { AnswerTracker, DEFAULT_OUTLIER_OPTIONS, OutlierDetector } from '../outliers/index.js';
import { CookieForwarder } from './cookie-forwarder.js';
import { CookieRegistry } from './cookie-registry.js';
import { CookieStatistics } from './cookie-statistics.js';
import { createOpeningComponents, createOpeningHandler } from './create-opening-handler.js';
import { FlowCache } from './flow-cache.js';
import { FlowExpiry } from './flow-expiry.js';
import { FlowFailures } from './flow-failures.js';
import { FlowTracker } from './flow-tracker.js';
import { FlowsInProgress } from './flows-in-progress.js';
import type { CookieForwarderEnvironment, Settlement, SharedComponents } from './forwarder-environment.js';
import { HeldOpenings } from './held-openings.js';
import { Housekeeping } from './housekeeping.js';
import { MidFlowHandler } from './mid-flow-handler.js';
import { OpeningQueries } from './opening-queries.js';
import { PacketSender } from './packet-sender.js';

/** Treats the list of back ends as always complete. */
const ALWAYS_SETTLED: Settlement = {
  state: 'settled',
  isKnownEmpty: () => false,
  subscribe: () => undefined,
};

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
    openingQueries: new OpeningQueries({
      clock,
      cache,
      yieldedOpenings: shared.yieldedOpenings,
      sharedHandshakes: shared.sharedHandshakes,
    }),
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
    ...createOpeningComponents(environment, { isOn, statistics, states }),
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

function createMidFlowHandler(
  { events, knowledge }: CookieForwarderEnvironment,
  shared: SharedComponents,
): MidFlowHandler {
  const { isOn, statistics, cookies, cache, states, sender, sharedHandshakes } = shared;
  const { pendingOpenings, answerTracker, failures } = shared;
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
    sharedHandshakes,
  });
}
