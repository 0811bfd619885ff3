/** Dependencies and settings of a cookie forwarder, and the components that its factories share. */
import type { Clock } from '../../common/clock.js';
import type { MechanismCheck } from '../../common/mechanisms.js';
import type { PauseDetector } from '../../common/pause-detector.js';
import type { RandomSource } from '../../common/random.js';
import type { CookieEdgePort } from '../../fabric/cookie-edge.js';
import type { EventLog } from '../../observability/event.js';
import type {
  ConnectProbe,
  DeadBackends,
  LocalBackendStates,
  PendingOpenings,
  SupersededBackends,
} from '../backend-health/index.js';
import type { LoadLevels } from '../load/index.js';
import type { OpeningLookup, OpeningPeers, YieldedOpenings } from '../opening-lookup/index.js';
import type { AnswerTracker, BadAnswerReport, OutlierDetector, OutlierOptions } from '../outliers/index.js';
import type { BackendEligibility, ColdAdmission, ColdAdmissionOptions } from '../placement/index.js';
import type { BackendSettlement, RoutingKnowledge } from '../routing/index.js';
import type { CookieRegistry } from './cookie-registry.js';
import type { CookieStatistics } from './cookie-statistics.js';
import type { FlowCache } from './flow-cache.js';
import type { FlowFailures } from './flow-failures.js';
import type { FlowsInProgress } from './flows-in-progress.js';
import type { HeldOpenings } from './held-openings.js';
import type { OpeningLog } from './opening-log.js';
import type { PacketSender } from './packet-sender.js';
import type { SharedHandshakes } from './shared-handshakes.js';

/** Dependencies and settings of a cookie forwarder. */
export interface CookieForwarderEnvironment {
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
  /** Asks peers about retransmitted SYNs. Default: nobody is asked. */
  readonly openingPeers?: OpeningPeers;
  /** Gossips a bad answer that this daemon detected. */
  readonly onBadAnswer?: (report: BadAnswerReport) => void;
  /** Gossips that this daemon ejected a back end, found it dead or suspects it. */
  readonly onBackendUnhealthy?: (backendId: string, nowMs: number) => void;
}

/** The part of `BackendSettlement` that forwarding uses. */
export type Settlement = Pick<BackendSettlement, 'state' | 'isKnownEmpty' | 'subscribe'>;

/** Components that several others share. */
export interface SharedComponents {
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
  readonly openingLog: OpeningLog;
  readonly eligibility: BackendEligibility;
  readonly openingLookup: OpeningLookup | undefined;
  readonly yieldedOpenings: YieldedOpenings;
  readonly sharedHandshakes: SharedHandshakes;
}
