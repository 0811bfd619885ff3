/** Shapes of the forwarding experiment. */
import type { Endpoint } from '../../common/types.js';

/** How the run is made. */
export interface ForwardingOptions {
  /** Time measured for each path in each round. */
  readonly seconds?: number;
  readonly rounds?: number;
  /** Whole inner packet, headers included. */
  readonly packetBytes?: number;
  /** Packets a second that are offered to one process, more than it can forward. */
  readonly offeredPacketsPerSecond?: number;
  /** Packets a second at which latency is measured. */
  readonly latencyPacketsPerSecond?: number;
  /** Numbers of daemons whose total rate is measured. */
  readonly daemonCounts?: readonly number[];
  /** Told what is being measured. */
  readonly progress?: (line: string) => void;
}

/** One path: bare relay, a balancer as keeper, or two balancers in a row. */
export interface PathFigures {
  /** Median over the rounds. */
  readonly packetsPerSecond: number;
  readonly packetsPerSecondByRound: readonly number[];
  /** Cores used by the busiest process of the path, median over the rounds; undefined where it can't be read. */
  readonly busiestProcessCores: number | undefined;
  /** Rate over the cores of the busiest process, median: what one whole core would carry on an idle machine. */
  readonly packetsPerCoreSecond: number | undefined;
  readonly latency: { readonly p50Ms: number; readonly p99Ms: number };
}

/** Rate of several daemons at once, each with senders of its own. */
export interface DaemonScaling {
  readonly daemons: number;
  readonly packetsPerSecond: number;
  /** Rate over that of one daemon. */
  readonly speedup: number;
}

/** Result of a run. */
export interface ForwardingReport {
  readonly forwarding: {
    /** Rate of a keeper over the bare relay's, median over the rounds. */
    readonly keeperRatio: number;
    /** Rate of the path over two balancers over the bare relay's, median over the rounds. */
    readonly relayRatio: number;
    /** The same ratios from the rates a core second, which other load on the machine disturbs less. */
    readonly keeperRatioPerCoreSecond: number | undefined;
    readonly relayRatioPerCoreSecond: number | undefined;
    readonly bareRelay: PathFigures;
    readonly keeper: PathFigures;
    readonly relay: PathFigures;
    readonly daemons: readonly DaemonScaling[];
    readonly rounds: number;
    readonly secondsPerRound: number;
    readonly packetBytes: number;
    readonly offeredPacketsPerSecond: number;
    readonly latencyPacketsPerSecond: number;
    /** Logical processors of the machine. */
    readonly processors: number;
    /** Load average of the machine at the start: what else ran. */
    readonly loadAverageAtStart: number;
  };
}

/** A flow by its caller's inner address. */
export interface FlowAddress {
  readonly address: number;
  readonly port: number;
}

/** What a sender is told to send. */
export interface SendOrder {
  readonly target: Endpoint;
  readonly flows: readonly FlowAddress[];
  readonly packetsPerSecond: number;
  readonly packetBytes: number;
}

/** What a sink has counted since its start. */
export interface SinkCount {
  readonly packets: number;
  /** The sink's own monotonic time, ms. */
  readonly atMs: number;
  /** Latency since the previous count, ms; 0 when none was recorded. */
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** An opened flow and the balancer whose packet brought its SYN. */
export interface OpenedFlow extends FlowAddress {
  readonly keeper: Endpoint;
}

/** Orders to worker processes, and the answers by order. */
export interface WorkerOrders {
  /** Sends one SYN for each flow. */
  open: { order: Omit<SendOrder, 'packetsPerSecond' | 'packetBytes'>; answer: null };
  /** Sends until `stop`; answers at once. */
  send: { order: SendOrder; answer: null };
  /** Answers with the number of packets sent. */
  stop: { order: null; answer: number };
  count: { order: null; answer: SinkCount };
  opened: { order: null; answer: readonly OpenedFlow[] };
}

/** What a worker is started as. */
export type WorkerRole =
  | { readonly role: 'sender' }
  | { readonly role: 'sink' }
  | { readonly role: 'bare-relay'; readonly sinks: readonly Endpoint[] };

/** First message of a worker. */
export interface WorkerReady {
  readonly data: Endpoint;
  /** HTTP health address; sinks only. */
  readonly health?: Endpoint;
}
