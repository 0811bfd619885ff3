/**
 * Measures the forwarding rate of a balancer beside a bare dgram relay: as the flow's keeper, over two balancers,
 * and of several daemons at once. Paths alternate within each round, so that what else the machine does meets all.
 */
import { availableParallelism, loadavg } from 'node:os';
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import * as defaults from './constants.js';
import { DaemonGroup } from './daemon-group.js';
import { openFlows } from './flow-opening.js';
import { measurePath, type PathLoad, type PathSample } from './path-measurement.js';
import type {
  DaemonScaling,
  FlowAddress,
  ForwardingOptions,
  ForwardingReport,
  PathFigures,
} from './types.js';
import { Worker } from './worker-channel.js';

/** Relative precision of the ratios in the report. */
const RATIO_DIGITS = 3;

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
}

function rounded(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}

type Settings = Required<Omit<ForwardingOptions, 'progress'>> & Pick<ForwardingOptions, 'progress'>;

function settingsOf(options: ForwardingOptions): Settings {
  return {
    seconds: options.seconds ?? defaults.DEFAULT_SECONDS,
    rounds: options.rounds ?? defaults.DEFAULT_ROUNDS,
    packetBytes: options.packetBytes ?? defaults.DEFAULT_PACKET_BYTES,
    offeredPacketsPerSecond: options.offeredPacketsPerSecond ?? defaults.DEFAULT_OFFERED_PACKETS_PER_SECOND,
    latencyPacketsPerSecond: options.latencyPacketsPerSecond ?? defaults.DEFAULT_LATENCY_PACKETS_PER_SECOND,
    daemonCounts: options.daemonCounts ?? defaults.DEFAULT_DAEMON_COUNTS,
    progress: options.progress,
  };
}

/** Everything that runs for the measurement. */
interface Bench {
  readonly senders: readonly Worker[];
  readonly sinks: readonly Worker[];
  readonly bareRelay: Worker;
  readonly group: DaemonGroup;
  readonly flowsByKeeper: ReadonlyMap<string, readonly FlowAddress[]>;
}

/** A path by name: where its packets go in, which flows, and the processes that forward. */
interface Path {
  readonly name: 'bareRelay' | 'keeper' | 'relay';
  readonly target: Endpoint;
  readonly flows: readonly FlowAddress[];
  readonly pids: readonly number[];
}

function flowsOf(bench: Bench, keeper: Endpoint): readonly FlowAddress[] {
  return bench.flowsByKeeper.get(formatEndpoint(keeper)) ?? [];
}

function pathsOf(bench: Bench): Path[] {
  const [first, second] = bench.group.daemons;
  if (!first || !second) throw new RangeError('the paths need two daemons');
  const pid = (daemon: typeof first): number => daemon.process.pid ?? 0;
  const bareRelay = bench.bareRelay.ready.data;
  const own = flowsOf(bench, first.data);
  return [
    { name: 'bareRelay', target: bareRelay, flows: own, pids: [bench.bareRelay.pid] },
    { name: 'keeper', target: first.data, flows: own, pids: [pid(first)] },
    {
      name: 'relay',
      target: first.data,
      flows: flowsOf(bench, second.data),
      pids: [pid(first), pid(second)],
    },
  ];
}

function sample(bench: Bench, path: Path, settings: Settings, packetsPerSecond: number): Promise<PathSample> {
  const { packetBytes, seconds } = settings;
  const senders = bench.senders.slice(0, defaults.SENDERS_PER_TARGET);
  const order = { target: path.target, flows: path.flows, packetsPerSecond, packetBytes };
  return measurePath([{ senders, order }], bench.sinks, path.pids, seconds);
}

function packetsPerCoreSecond({ packetsPerSecond, busiestProcessCores }: PathSample): number | undefined {
  return busiestProcessCores ? packetsPerSecond / busiestProcessCores : undefined;
}

function figuresOf(rates: readonly PathSample[], latency: PathSample): PathFigures {
  const cores = rates.flatMap((rate) => rate.busiestProcessCores ?? []);
  const perCoreSecond = rates.flatMap((rate) => packetsPerCoreSecond(rate) ?? []);
  return {
    packetsPerSecond: Math.round(median(rates.map((rate) => rate.packetsPerSecond))),
    packetsPerSecondByRound: rates.map((rate) => Math.round(rate.packetsPerSecond)),
    busiestProcessCores: cores.length > 0 ? rounded(median(cores), 2) : undefined,
    packetsPerCoreSecond: perCoreSecond.length > 0 ? Math.round(median(perCoreSecond)) : undefined,
    latency: { p50Ms: rounded(latency.p50Ms, 3), p99Ms: rounded(latency.p99Ms, 3) },
  };
}

/** Median over the rounds of `measure` on the path over `measure` on the yardstick in the same round. */
function ratio(
  path: readonly PathSample[],
  yardstick: readonly PathSample[],
  measure: (sample: PathSample) => number | undefined,
): number | undefined {
  const ratios = path.map((rate, round) => (measure(rate) ?? NaN) / (measure(yardstick[round]!) ?? NaN));
  const middle = median(ratios);
  return Number.isFinite(middle) ? rounded(middle, RATIO_DIGITS) : undefined;
}

function ratiosOf(rates: Readonly<Record<Path['name'], readonly PathSample[]>>) {
  const perSecond = (rate: PathSample): number => rate.packetsPerSecond;
  return {
    keeperRatio: ratio(rates.keeper, rates.bareRelay, perSecond) ?? 0,
    relayRatio: ratio(rates.relay, rates.bareRelay, perSecond) ?? 0,
    keeperRatioPerCoreSecond: ratio(rates.keeper, rates.bareRelay, packetsPerCoreSecond),
    relayRatioPerCoreSecond: ratio(rates.relay, rates.bareRelay, packetsPerCoreSecond),
  };
}

async function measureScaling(bench: Bench, settings: Settings): Promise<DaemonScaling[]> {
  const scaling: DaemonScaling[] = [];
  for (const daemons of settings.daemonCounts) {
    settings.progress?.(`${daemons} daemons`);
    const chosen = bench.group.daemons.slice(0, daemons);
    const loads = chosen.map((daemon, index): PathLoad => {
      const { packetBytes, offeredPacketsPerSecond: packetsPerSecond } = settings;
      const order = {
        target: daemon.data,
        flows: flowsOf(bench, daemon.data),
        packetsPerSecond,
        packetBytes,
      };
      return { senders: [bench.senders[index]!], order };
    });
    const pids = chosen.map((daemon) => daemon.process.pid ?? 0);
    const { packetsPerSecond } = await measurePath(loads, bench.sinks, pids, settings.seconds);
    const single = scaling[0]?.packetsPerSecond ?? packetsPerSecond;
    const speedup = rounded(packetsPerSecond / single, 2);
    scaling.push({ daemons, packetsPerSecond: Math.round(packetsPerSecond), speedup });
  }
  return scaling;
}

async function measure(bench: Bench, settings: Settings): Promise<ForwardingReport> {
  const loadAverageAtStart = rounded(loadavg()[0]!, 1);
  const paths = pathsOf(bench);
  const rates = { bareRelay: [] as PathSample[], keeper: [] as PathSample[], relay: [] as PathSample[] };
  for (let round = 1; round <= settings.rounds; round += 1) {
    for (const path of paths) {
      const measured = await sample(bench, path, settings, settings.offeredPacketsPerSecond);
      rates[path.name].push(measured);
      settings.progress?.(`round ${round} ${path.name}: ${Math.round(measured.packetsPerSecond)} packets/s`);
    }
  }
  const figures = {} as Record<Path['name'], PathFigures>;
  for (const path of paths) {
    const latency = await sample(bench, path, settings, settings.latencyPacketsPerSecond);
    figures[path.name] = figuresOf(rates[path.name], latency);
  }
  const { seconds, rounds, packetBytes, offeredPacketsPerSecond, latencyPacketsPerSecond } = settings;
  return {
    forwarding: {
      ...ratiosOf(rates),
      ...figures,
      daemons: await measureScaling(bench, settings),
      rounds,
      secondsPerRound: seconds,
      packetBytes,
      offeredPacketsPerSecond,
      latencyPacketsPerSecond,
      processors: availableParallelism(),
      loadAverageAtStart,
    },
  };
}

function startWorkers(count: number, role: 'sender' | 'sink'): Promise<Worker[]> {
  return Promise.all(Array.from({ length: count }, () => Worker.start({ role })));
}

/** Starts workers and daemons, measures, and ends every process again. */
export async function runForwarding(options: ForwardingOptions = {}): Promise<ForwardingReport> {
  const settings = settingsOf(options);
  const daemonCount = Math.max(2, ...settings.daemonCounts);
  const closers: (() => unknown)[] = [];
  try {
    const returns = createSocket('udp4');
    closers.push(() => returns.close());
    returns.bind(0, '127.0.0.1');
    await once(returns, 'listening');
    const sinks = await startWorkers(defaults.SINKS, 'sink');
    const senders = await startWorkers(Math.max(daemonCount, defaults.SENDERS_PER_TARGET), 'sender');
    closers.push(() => Promise.all([...sinks, ...senders].map((worker) => worker.end())));
    const bareRelay = await Worker.start({ role: 'bare-relay', sinks: sinks.map((sink) => sink.ready.data) });
    closers.push(() => bareRelay.end());
    const fabricReturn = { host: '127.0.0.1', port: returns.address().port };
    const ready = sinks.map((sink) => sink.ready);
    const group = await DaemonGroup.start(daemonCount, ready, fabricReturn);
    closers.push(() => group.close());
    settings.progress?.(`${daemonCount} daemons are ready`);
    const flowsByKeeper = await openFlows(senders[0]!, sinks, group.daemons[0]!.data);
    return await measure({ senders, sinks, bareRelay, group, flowsByKeeper }, settings);
  } finally {
    for (const close of closers.reverse()) await close();
  }
}
