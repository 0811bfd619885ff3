/** Shapes of the back end stand-in. */
import type { Clock } from '../../common/clock.js';
import type { Endpoint } from '../../common/types.js';

/** How long requests take. */
export type ServiceTimeDistribution = 'fixed' | 'exponential' | 'lognormal';

/** What one back end can do. Times in ms. */
export interface BackendCapacity {
  /** Requests run at once. */
  readonly slots: number;
  readonly maxConnections: number;
  /** Requests that wait for a slot; one more is shed. */
  readonly maxQueued: number;
  readonly serviceTimeMs: number;
  readonly serviceTimeDistribution: ServiceTimeDistribution;
  /** After a start, service times are multiplied by `coldFactor` for this long. */
  readonly coldStartMs: number;
  readonly coldFactor: number;
  /** Told to the caller of a shed request. */
  readonly retryAfterMs: number;
  /** Bytes of padding in each answer. */
  readonly answerPaddingBytes: number;
}

/** Faults that can be switched on and off. */
export interface BackendFaults {
  /** Health says the opposite of the truth. */
  readonly healthLies: boolean;
  /** Load says that nothing is open. */
  readonly loadLies: boolean;
  /** Load says how it was this long ago. */
  readonly loadLagMs: number;
  /** The process is gone: connections are lost, nothing answers; switched off, it starts cold. */
  readonly crash: boolean;
  /** Packets vanish; health and load still answer. */
  readonly blackhole: boolean;
  /** Each SYN is answered with a reset. */
  readonly refuseOpenings: boolean;
  /** Multiplies service times. */
  readonly slowFactor: number;
}

/** One back end. Ports may be 0. */
export interface BackendDefinition extends Partial<BackendCapacity> {
  readonly name: string;
  readonly service: string;
  /** The service's addresses: a packet to any other is misdelivered. */
  readonly addresses: readonly Endpoint[];
  /** Encapsulated packets. */
  readonly endpoint: Endpoint;
  /** HTTP health, load, faults and report. */
  readonly health: Endpoint;
  /** Time without any acknowledgement after which a flow is forgotten, ms; 15 s when left out. */
  readonly giveUpMs?: number;
}

export interface BackendStandinOptions {
  readonly backends: readonly BackendDefinition[];
  readonly control: Endpoint;
  readonly seed?: number;
  readonly clock?: Clock;
}

/** Totals of one back end since its start. */
export interface BackendReport {
  readonly name: string;
  readonly service: string;
  readonly openFlows: number;
  readonly busySlots: number;
  readonly queued: number;
  readonly opened: number;
  readonly refused: number;
  readonly requestsRun: number;
  readonly requestsShed: number;
  readonly requestsNotRun: number;
  /** Packets for another service's address. */
  readonly misdelivered: number;
  /** Mid-flow packets without a connection. */
  readonly strays: number;
  readonly malformed: number;
  /** Wall time in ms of the first SYN of the newest flow; undefined when there was none. */
  readonly lastNewFlowAtMs: number | undefined;
  readonly draining: boolean;
}

/** Totals of a process. */
export interface BackendStandinReport {
  readonly backends: readonly BackendReport[];
  /** Requests that must not run twice and did, by id, over all back ends of this process. */
  readonly unrepeatableRunTwice: readonly string[];
  readonly misdelivered: number;
  readonly strays: number;
}

/** Default capacity: the sizes of today. */
export const DEFAULT_CAPACITY: BackendCapacity = {
  slots: 2,
  maxConnections: 2_000,
  maxQueued: 200,
  serviceTimeMs: 2,
  serviceTimeDistribution: 'exponential',
  coldStartMs: 0,
  coldFactor: 5,
  retryAfterMs: 100,
  answerPaddingBytes: 200,
};

export const NO_FAULTS: BackendFaults = {
  healthLies: false,
  loadLies: false,
  loadLagMs: 0,
  crash: false,
  blackhole: false,
  refuseOpenings: false,
  slowFactor: 1,
};
