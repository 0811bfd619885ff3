/**
 * Replays a load against balancers on a virtual clock, for tests: callers that open a flow for each request, and
 * callers that keep one with pauses; back ends with slots and a queue, of which some are slow or never answer. Reports
 * of bad answers reach the other balancers after a delay.
 */
import { VirtualClock } from '../../common/clock.js';
import type { Mechanism } from '../../common/mechanisms.js';
import { seededRandom, type RandomSource } from '../../common/random.js';
import { ForwarderHarness } from '../forwarding/cookie-test-support.js';
import { backendAt } from '../routing/routing-test-support.js';

/** Parameters of a replay. */
export interface ReplayedDay {
  readonly balancers: number;
  readonly backends: number;
  /** Requests a second, each on a flow of its own. */
  readonly freshPerSecond: number;
  /** Flows that are kept, and the mean pause between two requests on one. */
  readonly keptFlows: number;
  readonly pauseMs: number;
  /** Mean work of a request. */
  readonly workMs: number;
  /** Work at a back end as a multiple; Infinity for one that never answers. */
  readonly slownessOf: (backend: number, nowMs: number) => number;
  /** Requests a second as a multiple. */
  readonly burstAt?: (nowMs: number) => number;
  /** True while no gossip between balancers arrives. */
  readonly gossipLostAt?: (nowMs: number) => boolean;
  readonly switchedOff?: readonly Mechanism[];
  readonly seed: number;
}

/** A request as its caller saw it. */
export interface ReplayedRequest {
  readonly sentAtMs: number;
  /** Infinity for one that was not answered. */
  readonly tookMs: number;
  readonly backend: number;
  readonly isFresh: boolean;
}

const SLOTS = 2;
/** Standard deviation of the logarithm of the work. */
const WORK_SPREAD = 0.5;
/** Time in ms in which a report reaches the other balancers. Two to three messages, 150 ms apart. */
const GOSSIP_MS = 400;
/** A caller closes the flow of a request that takes longer than this, in ms. */
const DEADLINE_MS = 2_000;
const SECOND_MS = 1_000;

/** Callers, balancers and back ends of one replayed day. */
export class ReplayedLoad {
  readonly clock = new VirtualClock();
  readonly requests: ReplayedRequest[] = [];
  readonly balancers: readonly ForwarderHarness[];
  private readonly random: RandomSource;
  private readonly freeAtMs: number[][];
  private nextPort = 0;

  constructor(private readonly day: ReplayedDay) {
    this.random = seededRandom(day.seed);
    this.freeAtMs = Array.from({ length: day.backends }, () => new Array<number>(SLOTS).fill(0));
    const records = this.freeAtMs.map((_slots, index) => backendAt(`b-${index}`, index + 1));
    this.balancers = Array.from({ length: day.balancers }, (_unused, index) => {
      const onBadAnswer = (
        report: Parameters<ForwarderHarness['forwarder']['applyBadAnswerReport']>[0],
      ): void => {
        if (day.gossipLostAt?.(this.clock.now())) return;
        this.clock.schedule(GOSSIP_MS, () => {
          for (const other of this.balancers) other.forwarder.applyBadAnswerReport(report);
        });
      };
      const surroundings = { observer: index + 1, onBadAnswer };
      return new ForwarderHarness(this.clock, index, day.switchedOff ?? [], surroundings).know(records);
    });
  }

  /** Plays `milliseconds` of the day. */
  run(milliseconds: number): void {
    for (let flow = 0; flow < this.day.keptFlows; flow += 1) this.pauseThen(() => this.openKept());
    this.openFreshLater();
    this.clock.advance(milliseconds);
    for (const balancer of this.balancers) balancer.stop();
  }

  /** Share of the requests sent in a time that were not answered within `aimMs`. */
  lateShare(fromMs: number, toMs: number, aimMs: number): number {
    const sent = this.requests.filter(({ sentAtMs }) => sentAtMs >= fromMs && sentAtMs < toMs);
    return sent.filter(({ tookMs }) => tookMs > aimMs).length / sent.length;
  }

  private openFreshLater(): void {
    const rate = this.day.freshPerSecond * (this.day.burstAt?.(this.clock.now()) ?? 1);
    this.clock.schedule((-Math.log(1 - this.random()) * SECOND_MS) / rate, () => {
      this.openFreshLater();
      this.open((port, balancer, cookie, backend) => {
        this.request(backend, true, (isAnswered) => {
          balancer.goOn(port, cookie, { sequence: 2, acknowledgement: isAnswered ? 2 : 1, fin: true });
        });
      });
    });
  }

  private openKept(): void {
    this.open((port, balancer, cookie, backend) =>
      this.useKept({ port, balancer, cookie, backend, sent: 1 }),
    );
  }

  private useKept(flow: KeptFlow): void {
    this.request(flow.backend, false, (isAnswered) => {
      const { port, balancer, cookie, sent } = flow;
      if (!isAnswered) {
        balancer.goOn(port, cookie, { sequence: sent + 1, acknowledgement: sent, fin: true });
        return this.openKept();
      }
      balancer.goOn(port, cookie, { sequence: sent + 1, acknowledgement: sent + 1 });
      this.pauseThen(() => {
        balancer.goOn(port, cookie, { sequence: sent + 1, acknowledgement: sent + 1, payloadBytes: 100 });
        this.useKept({ ...flow, sent: sent + 1 });
      });
    });
  }

  /** Opens a flow through any balancer and sends the first data of a request on it. */
  private open(
    then: (port: number, balancer: ForwarderHarness, cookie: number, backend: number) => void,
  ): void {
    this.nextPort += 1;
    const port = this.nextPort;
    const balancer = this.balancers[Math.floor(this.random() * this.balancers.length)] as ForwarderHarness;
    const opened = balancer.open(port);
    if (!opened?.backend) return;
    const { cookie, backend } = opened;
    balancer.goOn(port, cookie, { payloadBytes: 100 });
    then(port, balancer, cookie, Number(backend.slice(2)));
  }

  /** A request at a back end; `whenDone` is called with its answer, or when its caller gives up. */
  private request(backend: number, isFresh: boolean, whenDone: (isAnswered: boolean) => void): void {
    const sentAtMs = this.clock.now();
    const slowness = this.day.slownessOf(backend, sentAtMs);
    const slots = this.freeAtMs[backend] as number[];
    const slot = slots.indexOf(Math.min(...slots));
    const doneAtMs = Math.max(sentAtMs, slots[slot] as number) + this.work() * slowness;
    if (Number.isFinite(slowness)) slots[slot] = doneAtMs;
    const tookMs = doneAtMs - sentAtMs;
    const isAnswered = tookMs <= DEADLINE_MS;
    this.requests.push({ sentAtMs, backend, isFresh, tookMs: isAnswered ? tookMs : Infinity });
    this.clock.schedule(Math.min(tookMs, DEADLINE_MS), () => whenDone(isAnswered));
  }

  /** Log-normal, with the mean of the day. */
  private work(): number {
    const normal = Math.sqrt(-2 * Math.log(1 - this.random())) * Math.cos(2 * Math.PI * this.random());
    return this.day.workMs * Math.exp(WORK_SPREAD * normal - WORK_SPREAD ** 2 / 2);
  }

  private pauseThen(callback: () => void): void {
    const burst = this.day.burstAt?.(this.clock.now()) ?? 1;
    this.clock.schedule((-Math.log(1 - this.random()) * this.day.pauseMs) / burst, callback);
  }
}

/** A flow that its caller keeps; `sent` counts its requests. */
interface KeptFlow {
  readonly port: number;
  readonly balancer: ForwarderHarness;
  readonly cookie: number;
  readonly backend: number;
  readonly sent: number;
}
