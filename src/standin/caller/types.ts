/** Shapes of the caller stand-in. */
import type { Clock } from '../../common/clock.js';
import type { Endpoint } from '../../common/types.js';

/** A service that flows are opened to. */
export interface CalledService {
  readonly name: string;
  readonly address: Endpoint;
  /** Relative share of the flows; 1 when left out. */
  readonly weight?: number;
}

/** What the callers do. Times in ms, shares 0–1. */
export interface CallerLoad {
  /** Flows kept open until the stop. */
  readonly longFlows: number;
  /** Pace at which missing long flows are opened. */
  readonly longFlowsPerSecond: number;
  /** Short flows opened a second, at random moments. */
  readonly openingsPerSecond: number;
  /** Mean life of a short flow. */
  readonly flowLifetimeMs: number;
  /** Mean time between two requests of a flow. */
  readonly requestIntervalMs: number;
  /** Share of requests that must not run twice. */
  readonly unrepeatableShare: number;
  /** Share of requests that are cancelled right after they were sent. */
  readonly cancelShare: number;
  /** Deadline passed with each request; undefined: none. */
  readonly deadlineMs: number | undefined;
  /** Bytes of padding in each request. */
  readonly requestPaddingBytes: number;
  /** A flow with a request unanswered for this long counts as broken. */
  readonly requestTimeoutMs: number;
  /** A flow without any acknowledgement for this long counts as broken. */
  readonly giveUpMs: number;
  /** Most times that a request which was not run is sent again. */
  readonly maxRetries: number;
  /** Longest wait for outstanding answers at the stop. */
  readonly stopTimeoutMs: number;
  /** Number of distinct client addresses, and the first of them. */
  readonly clientAddresses: number;
  readonly firstClientAddress: string;
}

export interface CallerOptions extends Partial<CallerLoad> {
  /** Caller side of the fabric. */
  readonly fabric: Endpoint;
  readonly services: readonly CalledService[];
  /** Local datagram and control addresses; ports may be 0. */
  readonly local: Endpoint;
  readonly control: Endpoint;
  readonly seed?: number;
  readonly clock?: Clock;
}

export const DEFAULT_LOAD: CallerLoad = {
  longFlows: 100,
  longFlowsPerSecond: 500,
  openingsPerSecond: 0,
  flowLifetimeMs: 5_000,
  requestIntervalMs: 1_000,
  unrepeatableShare: 0.5,
  cancelShare: 0,
  deadlineMs: undefined,
  requestPaddingBytes: 50,
  requestTimeoutMs: 15_000,
  giveUpMs: 15_000,
  maxRetries: 20,
  stopTimeoutMs: 20_000,
  clientAddresses: 256,
  firstClientAddress: '10.200.0.1',
};

/** Why an open flow broke. */
export type BreakReason = 'reset' | 'give-up' | 'unanswered';

/** One broken flow. */
export interface BrokenFlow {
  /** Inner addresses, `client:port>service:port`. */
  readonly flow: string;
  readonly service: string;
  readonly reason: BreakReason;
  /** Back end that last answered; undefined when none did. */
  readonly backend: string | undefined;
  /** Milliseconds since the Unix epoch. */
  readonly openedAtMs: number;
  readonly brokenAtMs: number;
}

/** Counts of flows; totals since start but for `open`. */
export interface FlowCounts {
  readonly attempted: number;
  readonly opened: number;
  /** Openings answered with a reset. */
  readonly refused: number;
  readonly openTimeouts: number;
  readonly broken: number;
  /** Closed by both ends in order. */
  readonly closed: number;
  /** Open now. */
  readonly open: number;
}

/** Counts of requests; totals since start. */
export interface RequestCounts {
  readonly sent: number;
  readonly answered: number;
  /** Sent again after an answer that said "not run". */
  readonly retried: number;
  /** Ended as not run: shed too often, past their deadline, cancelled, or their opening was refused. */
  readonly notRun: number;
  /** Lost with a broken flow: whether they ran is not known. */
  readonly unknown: number;
  /** Answers that were cut, altered, repeated, or another request's or service's. */
  readonly foreignOrPartial: number;
}

/** A latency histogram's summary in ms. */
export interface LatencySummary {
  readonly count: number;
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Everything counted so far. */
export interface CallerReport {
  readonly flows: FlowCounts;
  readonly flowsByService: Readonly<Record<string, FlowCounts>>;
  readonly requests: RequestCounts;
  readonly requestLatency: LatencySummary;
  readonly openingLatency: LatencySummary;
  /** The first hundred of them. */
  readonly brokenFlows: readonly BrokenFlow[];
  /** Ids of requests that ended as not run: no back end may have run one of them. */
  readonly notRunIds: readonly string[];
  readonly stopped: boolean;
}
