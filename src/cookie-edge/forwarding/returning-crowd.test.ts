/**
 * Replays the load after all daemons were away for two seconds: callers that waited come back with those that call as
 * usual, and ten back ends of two slots have to serve both. Callers send copies, try three times, and give up at their
 * deadline; a back end turns away what its slots and its queue cannot take.
 */
import test, { type ExecutionContext } from 'ava';
import { VirtualClock } from '../../common/clock.js';
import type { Mechanism } from '../../common/mechanisms.js';
import { seededRandom } from '../../common/random.js';
import type { Route } from '../routing/index.js';
import { backendAt, SERVICE_ADDRESS, SERVICE_PORT } from '../routing/routing-test-support.js';
import { ForwarderHarness } from './cookie-test-support.js';

const DAEMONS = 7;
const BACKENDS = 10;
const SLOTS = 2;
const QUEUE = 8;
const WORK_MS = 25;
const CALLS_A_SECOND = 280;
const AWAY_MS = 2_000;
const PLAYED_MS = 3_000;
const TARGET_MS = 121;
const DEADLINE_MS = 2_000;
const COPIES_MS = [0, 200, 600];
const ATTEMPT_MS = 1_400;
const ATTEMPTS = 3;
const ROUND_TRIP_MS = 4;
const ANSWER_BYTES = 600;

/** A caller; times are ms of the virtual clock, on which the daemons come back at `AWAY_MS`. */
interface Caller {
  readonly startMs: number;
  attempts: number;
  tookMs?: number;
}

class ReturningCrowd {
  private readonly clock = new VirtualClock();
  private readonly random = seededRandom(3);
  private readonly daemons: ForwarderHarness[] = [];
  private readonly freeAtMs = Array.from({ length: BACKENDS }, () => new Array<number>(SLOTS).fill(0));
  private readonly callers: Caller[] = [];
  private nextPort = 1;
  turnedAway = 0;

  constructor(private readonly switchedOff: readonly Mechanism[]) {}

  play(): this {
    const calls = ((AWAY_MS + PLAYED_MS) * CALLS_A_SECOND) / 1_000;
    for (let index = 0; index < calls; index += 1) {
      const caller: Caller = { startMs: this.random() * (AWAY_MS + PLAYED_MS), attempts: 0 };
      this.callers.push(caller);
      this.clock.schedule(caller.startMs, () => this.attempt(caller));
    }
    this.clock.advance(AWAY_MS);
    this.startDaemons();
    this.clock.advance(PLAYED_MS + DEADLINE_MS);
    this.daemons.forEach((daemon) => daemon.stop());
    return this;
  }

  /** Share of those who called in a time that were answered within `withinMs`. */
  served(fromMs: number, toMs: number, withinMs: number): number {
    const asked = this.callers.filter(({ startMs }) => startMs >= fromMs && startMs < toMs);
    return asked.filter(({ tookMs = Infinity }) => tookMs <= withinMs).length / asked.length;
  }

  private startDaemons(): void {
    const records = this.freeAtMs.map((_slots, index) => backendAt(`b-${index}`, index + 1));
    const route: Route = {
      name: 'route-1',
      address: SERVICE_ADDRESS,
      port: SERVICE_PORT,
      targets: [{ service: 'alpha', weight: 1 }],
      priority: 2,
      targetLatencyMs: TARGET_MS,
    };
    for (let index = 0; index < DAEMONS; index += 1) {
      const daemon = new ForwarderHarness(this.clock, index, this.switchedOff, { fleetSize: DAEMONS });
      this.daemons.push(daemon.know(records, { routes: [route] }));
    }
  }

  private attempt(caller: Caller): void {
    const nowMs = this.clock.now();
    if (caller.attempts >= ATTEMPTS || nowMs >= caller.startMs + DEADLINE_MS) return;
    caller.attempts += 1;
    const attempt = { caller, port: this.nextPort, isOver: false };
    this.nextPort += 1;
    COPIES_MS.forEach((atMs, copy) => this.clock.schedule(atMs, () => this.sendCopy(attempt, copy)));
    this.clock.schedule(ATTEMPT_MS, () => this.end(attempt));
  }

  /** The next attempt follows at once. */
  private end(attempt: Attempt): void {
    if (attempt.isOver) return;
    attempt.isOver = true;
    this.attempt(attempt.caller);
  }

  private sendCopy(attempt: Attempt, copy: number): void {
    const daemon = this.daemons[attempt.port % DAEMONS];
    if (attempt.isOver || !daemon) return;
    daemon.onSent(attempt.port, (backend, cookie) => {
      daemon.onSent(attempt.port, undefined);
      if (backend === undefined) return this.end(attempt);
      this.clock.schedule(ROUND_TRIP_MS, () =>
        this.request(attempt, daemon, Number(backend.slice(2)), cookie),
      );
    });
    daemon.open(attempt.port, copy);
  }

  private request(attempt: Attempt, daemon: ForwarderHarness, backend: number, cookie: number): void {
    attempt.isOver = true;
    const { caller, port } = attempt;
    daemon.goOn(port, cookie, { sequence: 2, payloadBytes: 100 });
    const slots = this.freeAtMs[backend] as number[];
    const nowMs = this.clock.now();
    const slot = slots.indexOf(Math.min(...slots));
    const waitMs = Math.max(0, (slots[slot] as number) - nowMs);
    if (waitMs > (QUEUE / SLOTS) * WORK_MS) return this.turnAway(attempt, daemon, cookie);
    const tookMs = waitMs + WORK_MS * (0.5 + this.random());
    slots[slot] = nowMs + tookMs;
    this.clock.schedule(tookMs, () => {
      const sinceMs = this.clock.now() - caller.startMs;
      if (sinceMs <= DEADLINE_MS) caller.tookMs = sinceMs;
      daemon.goOn(port, cookie, { sequence: 102, acknowledgement: 1 + ANSWER_BYTES, fin: true });
    });
  }

  private turnAway({ caller, port }: Attempt, daemon: ForwarderHarness, cookie: number): void {
    this.turnedAway += 1;
    daemon.goOn(port, cookie, { sequence: 102, acknowledgement: 30, fin: true });
    this.attempt(caller);
  }
}

interface Attempt {
  readonly caller: Caller;
  readonly port: number;
  isOver: boolean;
}

/** Who calls just after the daemons are back, and who has waited for up to a second. */
function compare(
  t: ExecutionContext,
): Record<'on' | 'off', { prompt: number; waited: number; turnedAway: number }> {
  const figures = (switchedOff: readonly Mechanism[]) => {
    const crowd = new ReturningCrowd(switchedOff).play();
    return {
      prompt: crowd.served(AWAY_MS, AWAY_MS + 1_000, TARGET_MS),
      waited: crowd.served(AWAY_MS - 1_000, AWAY_MS, DEADLINE_MS),
      turnedAway: crowd.turnedAway,
    };
  };
  const both = { on: figures([]), off: figures(['yielding-openings']) };
  t.log(JSON.stringify(both));
  return both;
}

test('those who can still be answered in time are, and those who have waited are served all the same', (t) => {
  const { on, off } = compare(t);
  t.true(on.prompt >= 0.9, 'nine in ten of those who call just after the return are answered in time');
  t.true(on.waited >= off.waited, 'and no fewer of those who had waited get an answer');
  t.true(on.turnedAway <= off.turnedAway / 2, 'back ends turn fewer than half as many away');
});
