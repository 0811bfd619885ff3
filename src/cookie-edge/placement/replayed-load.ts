/**
 * Test support: simulates a load on balancers on a virtual clock. Some callers open a flow for each request, others
 * keep a flow open and pause between requests. Each back end processes a few requests at once and queues the others;
 * some back ends are slow or never answer. Reports of bad answers reach the other balancers after a delay.
 */
import { VirtualClock } from '../../common/clock.js';
import type { Mechanism } from '../../common/mechanisms.js';
import { seededRandom, type RandomSource } from '../../common/random.js';
import { ForwarderHarness } from '../forwarding/cookie-test-support.js';
import { backendAt } from '../routing/routing-test-support.js';

/** Parameters of a simulation. */
export interface LoadSimulationParameters {
  readonly balancers: number;
  readonly backends: number;
  /** Requests per second that are sent on a new flow each. */
  readonly newFlowsPerSecond: number;
  readonly persistentFlows: number;
  /** Mean pause between two requests on a persistent flow. */
  readonly pauseMs: number;
  /** Mean service time of a request at a back end that is not slow. */
  readonly meanServiceTimeMs: number;
  /** Factor of the service time at a back end; Infinity for one that never answers. */
  readonly serviceTimeFactorOf: (backend: number, nowMs: number) => number;
  /** Factor of the request rate. */
  readonly rateFactorAt?: (nowMs: number) => number;
  /** True while all gossip between balancers is lost. */
  readonly isGossipLostAt?: (nowMs: number) => boolean;
  readonly switchedOff?: readonly Mechanism[];
  readonly seed: number;
}

/** A request, with its outcome for the caller. */
export interface SimulatedRequest {
  readonly sentAtMs: number;
  /** Time until the answer; Infinity if the request was not answered in time. */
  readonly durationMs: number;
  readonly backend: number;
  readonly isOnNewFlow: boolean;
}

/** Requests that a back end processes concurrently. */
const SLOTS_PER_BACKEND = 2;
/** Standard deviation of the logarithm of the service time. */
const SERVICE_TIME_SIGMA = 0.5;
/** Time in ms until a report reaches the other balancers: two to three gossip messages, 150 ms apart. */
const GOSSIP_DELAY_MS = 400;
/** Time in ms after which a caller gives up a request and closes its flow. */
const REQUEST_TIMEOUT_MS = 2_000;
const MS_PER_SECOND = 1_000;

/** Callers, balancers and back ends of one simulation. */
export class LoadSimulation {
  readonly clock = new VirtualClock();
  readonly requests: SimulatedRequest[] = [];
  readonly balancers: readonly ForwarderHarness[];
  private readonly random: RandomSource;
  private readonly slotsFreeAtMs: number[][];
  private nextPort = 0;

  constructor(private readonly parameters: LoadSimulationParameters) {
    this.random = seededRandom(parameters.seed);
    this.slotsFreeAtMs = Array.from({ length: parameters.backends }, () =>
      new Array<number>(SLOTS_PER_BACKEND).fill(0),
    );
    const records = this.slotsFreeAtMs.map((_slots, index) => backendAt(`b-${index}`, index + 1));
    this.balancers = Array.from({ length: parameters.balancers }, (_unused, index) => {
      const onBadAnswer = (
        report: Parameters<ForwarderHarness['forwarder']['applyBadAnswerReport']>[0],
      ): void => {
        if (parameters.isGossipLostAt?.(this.clock.now())) return;
        this.clock.schedule(GOSSIP_DELAY_MS, () => {
          for (const balancer of this.balancers) balancer.forwarder.applyBadAnswerReport(report);
        });
      };
      const harnessOptions = { observer: index + 1, onBadAnswer };
      return new ForwarderHarness(
        this.clock,
        index,
        parameters.switchedOff ?? [],
        harnessOptions,
      ).applyRecords(records);
    });
  }

  /** Runs the simulation for `milliseconds`. */
  run(milliseconds: number): void {
    for (let flow = 0; flow < this.parameters.persistentFlows; flow += 1)
      this.scheduleAfterPause(() => this.openPersistentFlow());
    this.scheduleNewFlow();
    this.clock.advance(milliseconds);
    for (const balancer of this.balancers) balancer.stop();
  }

  /** Share of the requests sent from `fromMs` to `toMs` that were not answered within `targetMs`. */
  lateShare(fromMs: number, toMs: number, targetMs: number): number {
    const sent = this.requests.filter(({ sentAtMs }) => sentAtMs >= fromMs && sentAtMs < toMs);
    return sent.filter(({ durationMs }) => durationMs > targetMs).length / sent.length;
  }

  private scheduleNewFlow(): void {
    const flowsPerSecond =
      this.parameters.newFlowsPerSecond * (this.parameters.rateFactorAt?.(this.clock.now()) ?? 1);
    this.clock.schedule((-Math.log(1 - this.random()) * MS_PER_SECOND) / flowsPerSecond, () => {
      this.scheduleNewFlow();
      this.openFlow((port, balancer, cookie, backend) => {
        this.sendRequest(backend, true, (isAnswered) => {
          balancer.sendMidFlow(port, cookie, { sequence: 2, acknowledgement: isAnswered ? 2 : 1, fin: true });
        });
      });
    });
  }

  private openPersistentFlow(): void {
    this.openFlow((port, balancer, cookie, backend) =>
      this.sendOnPersistentFlow({ port, balancer, cookie, backend, requestCount: 1 }),
    );
  }

  private sendOnPersistentFlow(flow: PersistentFlow): void {
    this.sendRequest(flow.backend, false, (isAnswered) => {
      const { port, balancer, cookie, requestCount } = flow;
      if (!isAnswered) {
        balancer.sendMidFlow(port, cookie, {
          sequence: requestCount + 1,
          acknowledgement: requestCount,
          fin: true,
        });
        return this.openPersistentFlow();
      }
      balancer.sendMidFlow(port, cookie, { sequence: requestCount + 1, acknowledgement: requestCount + 1 });
      this.scheduleAfterPause(() => {
        balancer.sendMidFlow(port, cookie, {
          sequence: requestCount + 1,
          acknowledgement: requestCount + 1,
          payloadBytes: 100,
        });
        this.sendOnPersistentFlow({ ...flow, requestCount: requestCount + 1 });
      });
    });
  }

  /** Opens a flow through a random balancer and sends the first data of a request on it. */
  private openFlow(
    onOpened: (port: number, balancer: ForwarderHarness, cookie: number, backend: number) => void,
  ): void {
    this.nextPort += 1;
    const port = this.nextPort;
    const balancer = this.balancers[Math.floor(this.random() * this.balancers.length)] as ForwarderHarness;
    const opened = balancer.open(port);
    if (!opened?.backend) return;
    const { cookie, backend } = opened;
    balancer.sendMidFlow(port, cookie, { payloadBytes: 100 });
    onOpened(port, balancer, cookie, Number(backend.slice(2)));
  }

  /** Sends a request to a back end; calls `whenDone` when it is answered or its caller gives up. */
  private sendRequest(backend: number, isOnNewFlow: boolean, whenDone: (isAnswered: boolean) => void): void {
    const sentAtMs = this.clock.now();
    const serviceTimeFactor = this.parameters.serviceTimeFactorOf(backend, sentAtMs);
    const slots = this.slotsFreeAtMs[backend] as number[];
    const slot = slots.indexOf(Math.min(...slots));
    const doneAtMs =
      Math.max(sentAtMs, slots[slot] as number) + this.sampleServiceTimeMs() * serviceTimeFactor;
    if (Number.isFinite(serviceTimeFactor)) slots[slot] = doneAtMs;
    const durationMs = doneAtMs - sentAtMs;
    const isAnswered = durationMs <= REQUEST_TIMEOUT_MS;
    this.requests.push({ sentAtMs, backend, isOnNewFlow, durationMs: isAnswered ? durationMs : Infinity });
    this.clock.schedule(Math.min(durationMs, REQUEST_TIMEOUT_MS), () => whenDone(isAnswered));
  }

  /** Draws a service time from a log-normal distribution with the mean `meanServiceTimeMs`. */
  private sampleServiceTimeMs(): number {
    const normal = Math.sqrt(-2 * Math.log(1 - this.random())) * Math.cos(2 * Math.PI * this.random());
    return (
      this.parameters.meanServiceTimeMs * Math.exp(SERVICE_TIME_SIGMA * normal - SERVICE_TIME_SIGMA ** 2 / 2)
    );
  }

  private scheduleAfterPause(callback: () => void): void {
    const rateFactor = this.parameters.rateFactorAt?.(this.clock.now()) ?? 1;
    this.clock.schedule((-Math.log(1 - this.random()) * this.parameters.pauseMs) / rateFactor, callback);
  }
}

/** A flow that its caller keeps open between requests. `requestCount` counts the requests sent on it. */
interface PersistentFlow {
  readonly port: number;
  readonly balancer: ForwarderHarness;
  readonly cookie: number;
  readonly backend: number;
  readonly requestCount: number;
}
