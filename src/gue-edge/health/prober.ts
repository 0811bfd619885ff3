/**
 * Probes the back ends that are assigned to this balancer. One loop a back end: a health probe each interval, and
 * from the first-ranked prober a load probe beside it.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import { jitter, type RandomSource } from '../../common/random.js';
import type { EffectiveBackend, HealthPolicy } from '../../settings/types.js';
import {
  CONFIRM_INTERVAL_SHARE,
  LOAD_BYTES_PER_SECOND,
  LOAD_MAX_AGE_MS,
  LOAD_REPORT_BYTES,
  LOAD_SENDS,
  MIN_LOAD_INTERVAL_MS,
  PROBE_JITTER,
  VOTE_RETIRE_MS,
} from './constants.js';
import {
  HEALTH_PATH,
  isHealthy,
  LOAD_PATH,
  parseLoad,
  probeBytes,
  type Probe,
  type ProbeResponse,
} from './probe.js';
import type { VotePatch } from './own-vote-rules.js';
import { Verdict } from './votes.js';

const MS_PER_SECOND = 1_000;
/**
 * An unchanged load is reported again after this part of the age at which it would be dropped, so that it is sent
 * several times before.
 */
const LOAD_REFRESH_SHARE = 0.25;

/** What the prober is made with. */
interface ProberOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly probe: Probe;
  /** Takes what a probe changed in this balancer's vote. */
  readonly vote: (backendId: number, patch: VotePatch) => void;
}

/** One back end that this balancer probes. */
export interface ProbeTarget {
  readonly backend: EffectiveBackend;
  readonly policy: HealthPolicy;
  /** True for the first-ranked prober, which also reads the load. */
  readonly readsLoad: boolean;
  /** Factor on the policy's interval, at least 1: back ends of other regions are probed less often. */
  readonly intervalFactor: number;
}

/** Totals since start. */
export interface ProberStatistics {
  readonly targets: number;
  readonly healthProbes: number;
  readonly loadProbes: number;
  readonly failedProbes: number;
  /** Bytes of answers and an estimate of the headers in both directions. */
  readonly bytes: number;
}

interface ProbeLoop {
  target: ProbeTarget;
  failed: number;
  good: number;
  verdict: Verdict;
  loadSentAtMs: number;
  loadSentFlows: number | undefined;
  timer: TimerHandle | undefined;
}

/** The probe loops of one balancer. */
export class Prober {
  private readonly loops = new Map<number, ProbeLoop>();
  private loadIntervalMs = MIN_LOAD_INTERVAL_MS;
  private healthProbes = 0;
  private loadProbes = 0;
  private failedProbes = 0;
  private bytes = 0;

  constructor(private readonly options: ProberOptions) {}

  /**
   * Starts and ends loops so that exactly `targets` are probed.
   *
   * @param backendCount back ends of the whole tree: the load reports of all of them share one byte budget
   */
  assign(targets: readonly ProbeTarget[], backendCount: number): void {
    this.loadIntervalMs = loadInterval(backendCount);
    const wanted = new Map(targets.map((target) => [target.backend.id, target]));
    for (const [id, loop] of this.loops) {
      if (!wanted.has(id)) this.end(id, loop);
    }
    for (const [id, target] of wanted) {
      const loop = this.loops.get(id);
      if (loop) loop.target = target;
      else this.begin(id, target);
    }
  }

  /** The verdict of this balancer's own probes. */
  verdict(backendId: number): Verdict {
    return this.loops.get(backendId)?.verdict ?? Verdict.VERDICT_NONE;
  }

  /** Ends all loops. */
  stop(): void {
    for (const loop of this.loops.values()) loop.timer?.cancel();
    this.loops.clear();
  }

  statistics(): ProberStatistics {
    const { healthProbes, loadProbes, failedProbes, bytes } = this;
    return { targets: this.loops.size, healthProbes, loadProbes, failedProbes, bytes };
  }

  private begin(id: number, target: ProbeTarget): void {
    const loop: ProbeLoop = {
      target,
      failed: 0,
      good: 0,
      verdict: Verdict.VERDICT_NONE,
      loadSentAtMs: -Infinity,
      loadSentFlows: undefined,
      timer: undefined,
    };
    this.loops.set(id, loop);
    const firstDelayMs = target.policy.probeIntervalMs * target.intervalFactor * this.options.random();
    loop.timer = this.options.clock.schedule(firstDelayMs, () => void this.round(id, loop));
  }

  /** Ends a loop; the vote stays until the new prober has surely given its own. */
  private end(id: number, loop: ProbeLoop): void {
    loop.timer?.cancel();
    this.loops.delete(id);
    this.options.clock.schedule(VOTE_RETIRE_MS, () => {
      if (!this.loops.has(id)) this.options.vote(id, { verdict: Verdict.VERDICT_NONE });
    });
  }

  private async round(id: number, loop: ProbeLoop): Promise<void> {
    if (loop.target.readsLoad && this.loadIsDue(loop)) void this.readLoad(id, loop);
    const response = await this.probe(loop.target, HEALTH_PATH);
    this.healthProbes += 1;
    if (this.loops.get(id) !== loop) return;
    this.judge(id, loop, response !== undefined && isHealthy(response));
    loop.timer = this.options.clock.schedule(this.nextDelayMs(loop), () => void this.round(id, loop));
  }

  private judge(id: number, loop: ProbeLoop, good: boolean): void {
    const { unhealthyThreshold, healthyThreshold } = loop.target.policy;
    loop.failed = good ? 0 : loop.failed + 1;
    loop.good = good ? loop.good + 1 : 0;
    if (!good) this.failedProbes += 1;
    const first = loop.verdict === Verdict.VERDICT_NONE;
    if (loop.failed >= unhealthyThreshold) loop.verdict = Verdict.VERDICT_UNHEALTHY;
    else if (good && (first || loop.good >= healthyThreshold)) loop.verdict = Verdict.VERDICT_HEALTHY;
    this.options.vote(id, { verdict: loop.verdict });
  }

  /** The interval, jittered downwards; shorter while a first failure waits for its confirmation. */
  private nextDelayMs(loop: ProbeLoop): number {
    const { policy, intervalFactor } = loop.target;
    const intervalMs = policy.probeIntervalMs * intervalFactor;
    const confirming = loop.failed > 0 && loop.failed < policy.unhealthyThreshold;
    const baseMs = confirming ? intervalMs * CONFIRM_INTERVAL_SHARE : intervalMs * (1 - PROBE_JITTER);
    return jitter(baseMs, PROBE_JITTER, this.options.random);
  }

  /** False while a load that was read now could not be passed on yet: such a probe would be wasted. */
  private loadIsDue(loop: ProbeLoop): boolean {
    const elapsedMs = this.options.clock.now() - loop.loadSentAtMs;
    return elapsedMs >= this.loadIntervalMs * (1 - 2 * PROBE_JITTER);
  }

  private async readLoad(id: number, loop: ProbeLoop): Promise<void> {
    const response = await this.probe(loop.target, LOAD_PATH);
    this.loadProbes += 1;
    const sample = response && parseLoad(response);
    if (!sample || this.loops.get(id) !== loop) return;
    const nowMs = this.options.clock.now();
    const elapsedMs = nowMs - loop.loadSentAtMs;
    const refresh = elapsedMs >= LOAD_MAX_AGE_MS * LOAD_REFRESH_SHARE;
    if (sample.openFlows === loop.loadSentFlows && !refresh) return;
    loop.loadSentAtMs = nowMs;
    loop.loadSentFlows = sample.openFlows;
    const { openFlows, capacity } = sample;
    this.options.vote(id, { load: { openFlows, capacity, sampledAtMs: nowMs } });
  }

  /** One probe; undefined when it failed or did not answer in time, also if the probe itself never settles. */
  private async probe(target: ProbeTarget, path: string): Promise<ProbeResponse | undefined> {
    const { clock, probe } = this.options;
    const { probeTimeoutMs } = target.policy;
    let deadline: TimerHandle | undefined;
    const late = new Promise<undefined>((resolve) => {
      deadline = clock.schedule(probeTimeoutMs, () => resolve(undefined));
    });
    const answer = probe(target.backend.health, path, probeTimeoutMs).catch(() => undefined);
    const response = await Promise.race([answer, late]);
    deadline?.cancel();
    this.bytes += probeBytes(response);
    return response;
  }
}

/** Least time in ms between two load reports of one back end, so that all of them stay within the byte budget. */
function loadInterval(backendCount: number): number {
  const bytesPerRound = backendCount * LOAD_REPORT_BYTES * LOAD_SENDS;
  return Math.max(MIN_LOAD_INTERVAL_MS, (bytesPerRound / LOAD_BYTES_PER_SECOND) * MS_PER_SECOND);
}
