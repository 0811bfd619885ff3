/** The contract between the daemon and whatever decides where packets go: the flow keeper or a baseline. */
import type { Clock } from '../../common/clock.js';
import type { RandomSource } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import type { ControlChannel } from '../control/types.js';
import type { SettingsFeed } from '../dissemination/types.js';
import type { EdgePort, PacketView } from '../../fabric/types.js';
import type { HealthFeed } from '../health/types.js';
import type { MembershipFeed } from '../membership/types.js';
import type { EventLog } from '../../observability/event.js';
import type { LoadView, PlacementPolicy, RefusalReason } from '../placement/types.js';
import type { EffectiveService } from '../../settings/types.js';
import type { FlowStatistics } from './types.js';

/** Admits an opening or names the reason of its refusal. */
export interface OpeningAdmission {
  admit(
    service: EffectiveService,
    clientAddress: number,
    openFlowsOfService: number,
  ): RefusalReason | undefined;
}

/** Limits of one balancer. */
export interface FlowLimits {
  /** Flows kept at most; openings beyond are refused. */
  readonly maxFlows: number;
  /** Openings without an answer at most; openings beyond are dropped and repeated by the caller. */
  readonly maxPendingOpenings: number;
  /** Time that a keeper without all records learns its flows before it may rebase; REBASE_LEARNING_MS when left out. */
  readonly rebaseLearningMs?: number;
}

/** What a forwarder is built from. */
export interface FlowComponents {
  readonly selfId: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly membership: MembershipFeed;
  readonly control: ControlChannel;
  readonly edge: EdgePort;
  readonly health: HealthFeed;
  readonly policy: PlacementPolicy;
  readonly settings: SettingsFeed;
  readonly limiter?: OpeningAdmission;
  readonly events: EventLog;
  readonly limits: FlowLimits;
}

/** Result of a hand-over before a planned stop. */
export interface HandOverReport {
  /** Shards that were given to their new keepers. */
  readonly given: number;
  /** Shards that were still held when the hand-over ended. */
  readonly left: number;
  /** Shards of other keepers that still counted on this balancer as their backup. */
  readonly replicasLeft: number;
  readonly durationMs: number;
}

/** One line of the flow keeper's status. */
export interface FlowDescription {
  readonly statistics: FlowStatistics;
  readonly serving: boolean;
  readonly memoryBytes: number;
  /** Base versions of the shards kept here, with the number of shards at each. */
  readonly baseVersions: Readonly<Record<string, number>>;
  readonly peers: readonly ReplicaPeerDescription[];
}

/** State of the link to one backup. */
export interface ReplicaPeerDescription {
  readonly memberId: string;
  readonly shards: number;
  readonly leaseHeld: boolean;
  readonly unacknowledgedRecords: number;
}

/** Decides where packets go. */
export interface PacketForwarder extends LoadView {
  /** Starts timers and subscriptions; they end with `signal`. */
  start(signal: AbortSignal): void;
  /** A packet from a caller, from the fabric or relayed. */
  handlePacket(packet: PacketView): void;
  /** A packet from a back end. True: the edge must not pass it on to the caller. */
  handleReturn(packet: PacketView, from: Endpoint): boolean;
  statistics(): FlowStatistics;
  describeFlows(): FlowDescription;
  /** True when this balancer can serve its part of the flow space. */
  isServing(): boolean;
  /** Gives every shard away before a planned stop; ends early when `signal` aborts. */
  handOver(signal: AbortSignal): Promise<HandOverReport>;
}
