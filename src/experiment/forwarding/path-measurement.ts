/** Measures one path: senders towards targets, packets that arrive at the sinks. */
import { SETTLE_MS, WARM_UP_MS } from './constants.js';
import { processSeconds } from './process-time.js';
import type { SendOrder, SinkCount } from './types.js';
import type { Worker } from './worker-channel.js';

/** One target with the senders that load it. */
export interface PathLoad {
  readonly senders: readonly Worker[];
  /** The rate is shared out over the senders. */
  readonly order: SendOrder;
}

/** Rate and latency of one measurement. */
export interface PathSample {
  readonly packetsPerSecond: number;
  /** Of the sink with the larger 99th percentile. */
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Cores used by the busiest of the forwarding processes. */
  readonly busiestProcessCores: number | undefined;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function rate(before: SinkCount, after: SinkCount): number {
  return ((after.packets - before.packets) * 1_000) / (after.atMs - before.atMs);
}

function busiest(before: readonly (number | undefined)[], pids: readonly number[], seconds: number) {
  const used = pids.map((pid, index) => (processSeconds(pid) ?? NaN) - (before[index] ?? NaN));
  const most = Math.max(...used) / seconds;
  return Number.isFinite(most) ? most : undefined;
}

/** Loads every target at once for `seconds` after a warm-up. */
export async function measurePath(
  loads: readonly PathLoad[],
  sinks: readonly Worker[],
  forwarderPids: readonly number[],
  seconds: number,
): Promise<PathSample> {
  await Promise.all(loads.map((load) => startLoad(load)));
  await sleep(WARM_UP_MS);
  const startMs = performance.now();
  const timesBefore = forwarderPids.map(processSeconds);
  const before = await Promise.all(sinks.map((sink) => sink.ask('count', null)));
  await sleep(seconds * 1_000);
  const after = await Promise.all(sinks.map((sink) => sink.ask('count', null)));
  const busiestProcessCores = busiest(timesBefore, forwarderPids, (performance.now() - startMs) / 1_000);
  await Promise.all(loads.flatMap((load) => load.senders.map((sender) => sender.ask('stop', null))));
  await sleep(SETTLE_MS);
  const slowest = after.reduce((worst, count) => (count.p99Ms > worst.p99Ms ? count : worst));
  return {
    packetsPerSecond: after.reduce((sum, count, index) => sum + rate(before[index]!, count), 0),
    p50Ms: slowest.p50Ms,
    p99Ms: slowest.p99Ms,
    busiestProcessCores,
  };
}

async function startLoad({ senders, order }: PathLoad): Promise<void> {
  const packetsPerSecond = order.packetsPerSecond / senders.length;
  await Promise.all(senders.map((sender) => sender.ask('send', { ...order, packetsPerSecond })));
}
