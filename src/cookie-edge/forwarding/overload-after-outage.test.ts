/**
 * Simulates the return of all daemons after an outage of two seconds. Callers that have waited come back at the same
 * time as the usual callers, and together they load ten back ends with two slots each. Guards against an overload in
 * which all callers are served late. Callers retransmit, make up to three attempts and give up at their deadline. A
 * back end rejects requests that exceed its slots and its queue.
 */
import test, { type ExecutionContext } from 'ava';
import { VirtualClock } from '../../common/clock.js';
import type { Mechanism } from '../../common/mechanisms.js';
import { seededRandom } from '../../common/random.js';
import type { Route } from '../routing/index.js';
import { backendAt, SERVICE_ADDRESS, SERVICE_PORT } from '../routing/routing-test-support.js';
import { ForwarderHarness } from './cookie-test-support.js';

const DAEMON_COUNT = 7;
const BACKEND_COUNT = 10;
const SLOTS_PER_BACKEND = 2;
const QUEUE_LENGTH = 8;
const MEAN_SERVICE_TIME_MS = 25;
const CALLS_PER_SECOND = 280;
const OUTAGE_MS = 2_000;
const RUN_AFTER_RETURN_MS = 3_000;
const TARGET_LATENCY_MS = 121;
const DEADLINE_MS = 2_000;
const SYN_SENT_AT_MS = [0, 200, 600];
const ATTEMPT_TIMEOUT_MS = 1_400;
const MAX_ATTEMPTS = 3;
const ROUND_TRIP_MS = 4;
const ANSWER_BYTES = 600;

/** A caller. Times are ms of the virtual clock; the daemons return at `OUTAGE_MS`. */
interface Caller {
  readonly startMs: number;
  attemptCount: number;
  latencyMs?: number;
}

class ReturnSimulation {
  private readonly clock = new VirtualClock();
  private readonly random = seededRandom(3);
  private readonly daemons: ForwarderHarness[] = [];
  private readonly slotFreeAtMs = Array.from({ length: BACKEND_COUNT }, () =>
    new Array<number>(SLOTS_PER_BACKEND).fill(0),
  );
  private readonly callers: Caller[] = [];
  private nextPort = 1;
  rejectedCount = 0;

  constructor(private readonly switchedOff: readonly Mechanism[]) {}

  run(): this {
    const callCount = ((OUTAGE_MS + RUN_AFTER_RETURN_MS) * CALLS_PER_SECOND) / 1_000;
    for (let index = 0; index < callCount; index += 1) {
      const caller: Caller = { startMs: this.random() * (OUTAGE_MS + RUN_AFTER_RETURN_MS), attemptCount: 0 };
      this.callers.push(caller);
      this.clock.schedule(caller.startMs, () => this.startAttempt(caller));
    }
    this.clock.advance(OUTAGE_MS);
    this.startDaemons();
    this.clock.advance(RUN_AFTER_RETURN_MS + DEADLINE_MS);
    this.daemons.forEach((daemon) => daemon.stop());
    return this;
  }

  /** Returns the share of callers that started in an interval and got an answer within `withinMs`. */
  servedShare(fromMs: number, toMs: number, withinMs: number): number {
    const started = this.callers.filter(({ startMs }) => startMs >= fromMs && startMs < toMs);
    return started.filter(({ latencyMs = Infinity }) => latencyMs <= withinMs).length / started.length;
  }

  private startDaemons(): void {
    const records = this.slotFreeAtMs.map((_slots, index) => backendAt(`b-${index}`, index + 1));
    const route: Route = {
      name: 'route-1',
      address: SERVICE_ADDRESS,
      port: SERVICE_PORT,
      targets: [{ service: 'alpha', weight: 1 }],
      priority: 2,
      targetLatencyMs: TARGET_LATENCY_MS,
    };
    for (let index = 0; index < DAEMON_COUNT; index += 1) {
      const daemon = new ForwarderHarness(this.clock, index, this.switchedOff, { fleetSize: DAEMON_COUNT });
      this.daemons.push(daemon.applyRecords(records, { routes: [route] }));
    }
  }

  private startAttempt(caller: Caller): void {
    const nowMs = this.clock.now();
    if (caller.attemptCount >= MAX_ATTEMPTS || nowMs >= caller.startMs + DEADLINE_MS) return;
    caller.attemptCount += 1;
    const attempt = { caller, port: this.nextPort, isOver: false };
    this.nextPort += 1;
    SYN_SENT_AT_MS.forEach((atMs, retransmissionCount) =>
      this.clock.schedule(atMs, () => this.sendSyn(attempt, retransmissionCount)),
    );
    this.clock.schedule(ATTEMPT_TIMEOUT_MS, () => this.endAttempt(attempt));
  }

  /** Ends an attempt; the next one starts immediately. */
  private endAttempt(attempt: Attempt): void {
    if (attempt.isOver) return;
    attempt.isOver = true;
    this.startAttempt(attempt.caller);
  }

  private sendSyn(attempt: Attempt, retransmissionCount: number): void {
    const daemon = this.daemons[attempt.port % DAEMON_COUNT];
    if (attempt.isOver || !daemon) return;
    daemon.onSent(attempt.port, (backend, cookie) => {
      daemon.onSent(attempt.port, undefined);
      if (backend === undefined) return this.endAttempt(attempt);
      this.clock.schedule(ROUND_TRIP_MS, () =>
        this.sendRequest(attempt, daemon, Number(backend.slice(2)), cookie),
      );
    });
    daemon.open(attempt.port, retransmissionCount);
  }

  private sendRequest(
    attempt: Attempt,
    daemon: ForwarderHarness,
    backendIndex: number,
    cookie: number,
  ): void {
    attempt.isOver = true;
    const { caller, port } = attempt;
    daemon.sendMidFlow(port, cookie, { sequence: 2, payloadBytes: 100 });
    const slots = this.slotFreeAtMs[backendIndex] as number[];
    const nowMs = this.clock.now();
    const slot = slots.indexOf(Math.min(...slots));
    const waitMs = Math.max(0, (slots[slot] as number) - nowMs);
    if (waitMs > (QUEUE_LENGTH / SLOTS_PER_BACKEND) * MEAN_SERVICE_TIME_MS)
      return this.rejectRequest(attempt, daemon, cookie);
    const responseMs = waitMs + MEAN_SERVICE_TIME_MS * (0.5 + this.random());
    slots[slot] = nowMs + responseMs;
    this.clock.schedule(responseMs, () => {
      const elapsedMs = this.clock.now() - caller.startMs;
      if (elapsedMs <= DEADLINE_MS) caller.latencyMs = elapsedMs;
      daemon.sendMidFlow(port, cookie, { sequence: 102, acknowledgement: 1 + ANSWER_BYTES, fin: true });
    });
  }

  private rejectRequest({ caller, port }: Attempt, daemon: ForwarderHarness, cookie: number): void {
    this.rejectedCount += 1;
    daemon.sendMidFlow(port, cookie, { sequence: 102, acknowledgement: 30, fin: true });
    this.startAttempt(caller);
  }
}

interface Attempt {
  readonly caller: Caller;
  readonly port: number;
  isOver: boolean;
}

/**
 * Compares runs with and without `yielding-openings`: callers that start within a second after the daemons return,
 * and callers that started up to a second before it.
 */
function simulateOnAndOff(
  t: ExecutionContext,
): Record<'on' | 'off', { newCallerShare: number; waitingCallerShare: number; rejectedRequests: number }> {
  const simulate = (switchedOff: readonly Mechanism[]) => {
    const simulation = new ReturnSimulation(switchedOff).run();
    return {
      newCallerShare: simulation.servedShare(OUTAGE_MS, OUTAGE_MS + 1_000, TARGET_LATENCY_MS),
      waitingCallerShare: simulation.servedShare(OUTAGE_MS - 1_000, OUTAGE_MS, DEADLINE_MS),
      rejectedRequests: simulation.rejectedCount,
    };
  };
  const results = { on: simulate([]), off: simulate(['yielding-openings']) };
  t.log(JSON.stringify(results));
  return results;
}

test('after an outage new callers are answered in time, and no fewer of the waiting callers get an answer', (t) => {
  const { on, off } = simulateOnAndOff(t);
  t.true(on.newCallerShare >= 0.9, 'nine in ten of the callers just after the return are answered in time');
  t.true(on.waitingCallerShare >= off.waitingCallerShare, 'no fewer of the waiting callers get an answer');
  t.true(on.rejectedRequests <= off.rejectedRequests / 2, 'back ends reject at most half as many requests');
});
