/**
 * Simulates callers that open flows after all daemons were lost in an outage in which records lapsed, while the list of
 * back ends fills over two seconds. Guards against resets and failed calls during that time. Like the platform's
 * callers, each caller retransmits its SYN after 200 and 600 ms, ends an attempt after 1,400 ms or at a reset, and
 * makes up to three attempts within its deadline.
 */
import test from 'ava';
import type { Mechanism } from '../../common/mechanisms.js';
import { VirtualClock } from '../../common/clock.js';
import type { RoutedBackend } from '../routing/index.js';
import { backendAt, SERVICE_ADDRESS, SERVICE_PORT, updateAt } from '../routing/routing-test-support.js';
import { ForwarderHarness } from './cookie-test-support.js';

const STEP_MS = 5;
const SYN_SENT_AT_MS = [0, 200, 600];
const ATTEMPT_TIMEOUT_MS = 1_400;
const MAX_ATTEMPTS = 3;
const DEADLINE_MS = 2_500;
const LIST_FILL_DURATION_MS = 2_000;
const BACKEND_COUNT = 40;
const CALLER_COUNT = 300;
/** Callers start evenly over this time in ms, counted from the start of the daemon. */
const CALLER_START_SPREAD_MS = 1_500;

/** A caller and the progress of its request. */
interface Caller {
  readonly startMs: number;
  attempt: number;
  attemptStartMs: number;
  synsSent: number;
  port: number;
  openedAtMs?: number;
  backend?: string;
}

/** Summary over all callers. */
interface Outcome {
  readonly failed: number;
  readonly resets: number;
  readonly waitsMs: readonly number[];
  /** Number of flows at the busiest back end. */
  readonly flowsOfBusiestBackend: number;
}

class FillingListSimulation {
  readonly clock = new VirtualClock();
  private readonly harness: ForwarderHarness;
  private readonly callers: readonly Caller[];
  private nextPort = 10_000;
  private resets = 0;
  private listedCount = 0;

  constructor(
    switchedOff: readonly Mechanism[],
    private readonly backendsInListOrder: readonly RoutedBackend[] = allBackends(),
  ) {
    this.harness = new ForwarderHarness(this.clock, 1, switchedOff, { tracksSettlement: true });
    this.callers = Array.from({ length: CALLER_COUNT }, (_unused, index) => this.createCaller(index));
  }

  /** Makes the daemon read a roster with all back ends. */
  withRoster(): this {
    for (const record of this.backendsInListOrder)
      this.harness.knowledge.backends.putFromRoster(record, false);
    this.harness.settlement.recordRoster(new Set(['alpha']));
    return this;
  }

  run(): Outcome {
    this.harness.applyRecords([]);
    for (let nowMs = 0; nowMs <= CALLER_START_SPREAD_MS + DEADLINE_MS; nowMs += STEP_MS) {
      this.listDueBackends(nowMs);
      for (const caller of this.callers) this.stepCaller(caller, nowMs);
      this.clock.advance(STEP_MS);
      this.deliverAnswers(nowMs + STEP_MS);
    }
    this.harness.stop();
    return this.summarize();
  }

  private createCaller(index: number): Caller {
    const startMs = Math.floor((index * CALLER_START_SPREAD_MS) / CALLER_COUNT / STEP_MS) * STEP_MS;
    return { startMs, attempt: 1, attemptStartMs: startMs, synsSent: 0, port: this.allocatePort() };
  }

  private allocatePort(): number {
    this.nextPort += 1;
    return this.nextPort;
  }

  /** Lists the back ends evenly over `LIST_FILL_DURATION_MS`, in which live back ends are recorded again. */
  private listDueBackends(nowMs: number): void {
    const dueCount = Math.floor((BACKEND_COUNT * nowMs) / LIST_FILL_DURATION_MS);
    for (; this.listedCount < Math.min(dueCount, BACKEND_COUNT); this.listedCount += 1) {
      const revision = 100 + this.listedCount;
      const backends = [
        { ...this.backendsInListOrder[this.listedCount]!, revision, createdRevision: revision },
      ];
      const origin = { since: revision - 1, confirmedAtMs: nowMs, mayHaveLapsed: false };
      this.harness.knowledge.apply('backends', updateAt(revision, { backends }), origin);
    }
  }

  private stepCaller(caller: Caller, nowMs: number): void {
    const isFinished = caller.openedAtMs !== undefined || caller.attempt > MAX_ATTEMPTS;
    if (isFinished || nowMs < caller.startMs || nowMs >= caller.startMs + DEADLINE_MS) return;
    const attemptAgeMs = nowMs - caller.attemptStartMs;
    if (attemptAgeMs >= ATTEMPT_TIMEOUT_MS) return this.startNextAttempt(caller, nowMs);
    if (attemptAgeMs < (SYN_SENT_AT_MS[caller.synsSent] ?? Infinity)) return;
    this.harness.open(caller.port, caller.synsSent);
    caller.synsSent += 1;
    this.deliverAnswers(nowMs);
  }

  private startNextAttempt(caller: Caller, nowMs: number): void {
    caller.attempt += 1;
    caller.attemptStartMs = nowMs;
    caller.synsSent = 0;
    caller.port = this.allocatePort();
  }

  /** Delivers the sent packets to the callers. A reset ends an attempt; a placed opening is continued. */
  private deliverAnswers(nowMs: number): void {
    const { sent, sentPorts } = this.harness;
    const ports = sentPorts.splice(0);
    for (const [index, { backend, cookie }] of sent.splice(0).entries()) {
      const caller = this.callers.find(({ port }) => port === ports[index]);
      if (!caller || caller.openedAtMs !== undefined) continue;
      if (backend === undefined) {
        this.resets += 1;
        this.startNextAttempt(caller, nowMs);
        continue;
      }
      caller.openedAtMs = nowMs;
      caller.backend = backend;
      this.harness.sendMidFlow(caller.port, cookie);
      sent.length = 0;
      sentPorts.length = 0;
    }
  }

  private summarize(): Outcome {
    const opened = this.callers.filter(({ openedAtMs }) => openedAtMs !== undefined);
    const counts = new Map<string, number>();
    for (const { backend = '' } of opened) counts.set(backend, (counts.get(backend) ?? 0) + 1);
    return {
      failed: this.callers.length - opened.length,
      resets: this.resets,
      waitsMs: opened.map(({ startMs, openedAtMs = 0 }) => openedAtMs - startMs),
      flowsOfBusiestBackend: Math.max(...counts.values()),
    };
  }
}

function allBackends(): RoutedBackend[] {
  return Array.from({ length: BACKEND_COUNT }, (_unused, index) => backendAt(`b-${index}`, index + 1));
}

test('no caller is reset or fails while the list of back ends fills', (t) => {
  const { failed, resets } = new FillingListSimulation([]).run();
  t.is(resets, 0);
  t.is(failed, 0);
});

test('callers are reset and fail if openings are not held', (t) => {
  const { failed, resets } = new FillingListSimulation(['unsettled-openings']).run();
  t.true(resets > 0);
  t.true(failed > 0);
});

test('with a roster no caller waits, and no back end gets more than twice its share', (t) => {
  const {
    failed,
    resets,
    waitsMs,
    flowsOfBusiestBackend: most,
  } = new FillingListSimulation([]).withRoster().run();
  t.is(resets + failed, 0);
  t.is(Math.max(...waitsMs), 0);
  t.true(
    most <= (2 * CALLER_COUNT) / BACKEND_COUNT,
    `${most} flows at one of ${BACKEND_COUNT} for ${CALLER_COUNT} callers`,
  );
});

test('an opening is refused immediately if the roster shows that its service has no back ends', (t) => {
  const harness = new ForwarderHarness(new VirtualClock(), 1, [], { tracksSettlement: true }).applyRecords(
    [],
  );
  harness.settlement.recordRoster(new Set(['beta']));
  t.is(harness.open(40_001)?.backend, undefined);
  t.is(harness.sent.length, 1, 'a reset');
});

test('an empty list is considered complete after a time limit, and then openings are refused immediately', (t) => {
  const clock = new VirtualClock();
  const harness = new ForwarderHarness(clock, 1, [], { tracksSettlement: true }).applyRecords([]);
  t.is(harness.open(40_001), undefined, 'held');
  clock.advance(5_000);
  t.is(harness.sent.length, 0, 'no reset, because its caller has given up');
  t.is(harness.open(40_002)?.backend, undefined);
  t.is(harness.sent.length, 1, 'a reset');
});

test('a held opening is refused as soon as the empty list is settled', (t) => {
  const clock = new VirtualClock();
  const harness = new ForwarderHarness(clock, 1, [], { tracksSettlement: true }).applyRecords([]);
  harness.open(40_001, 2);
  harness.settlement.recordSettledPeer();
  clock.advance(50);
  t.deepEqual(
    harness.sent.map(({ backend }) => backend),
    [undefined],
  );
});

test('held openings are decided in order of route priority, then of the time that the caller has waited', (t) => {
  const clock = new VirtualClock();
  const harness = new ForwarderHarness(clock, 1, [], { tracksSettlement: true });
  const target = [{ service: 'alpha', weight: 1 }];
  const routes = [
    { name: 'later', address: SERVICE_ADDRESS, port: SERVICE_PORT, targets: target, priority: 2 },
    { name: 'first', address: SERVICE_ADDRESS, port: 80, targets: target, priority: 1 },
    { name: 'last', address: SERVICE_ADDRESS, port: 81, targets: target },
  ];
  harness.applyRecords([], { routes });
  harness.deliver({ sourcePort: 1, destinationPort: 81, syn: true });
  harness.deliver({ sourcePort: 2, syn: true, retransmissionCount: 2 });
  harness.deliver({ sourcePort: 3, syn: true });
  harness.deliver({ sourcePort: 4, destinationPort: 80, syn: true, retransmissionCount: 2 });
  const origin = { since: 10, confirmedAtMs: 0, mayHaveLapsed: false };
  harness.knowledge.apply('backends', updateAt(11, { backends: [backendAt('a', 11)] }), origin);
  clock.advance(20);
  t.deepEqual(harness.sentPorts, [4, 2, 3, 1]);
});

test('the time that an opening has already been held counts, so that its hold ends before its caller retransmits', (t) => {
  const clock = new VirtualClock();
  const harness = new ForwarderHarness(clock, 1, [], { tracksSettlement: true }).applyRecords([]);
  harness.passToForwarder({ sourcePort: 1, syn: true }, 100);
  clock.advance(60);
  t.is(harness.forwarder.heldOpeningCount, 0);
  t.is(harness.forwarder.statistics.heldTooLong, 1);
});

test('an opening whose hold expires while others are decided is discarded, not decided late', (t) => {
  const clock = new VirtualClock();
  const harness = new ForwarderHarness(clock, 1, [], { tracksSettlement: true }).applyRecords([]);
  harness.open(1, 1);
  harness.open(2);
  harness.onSent(1, () => clock.advance(200));
  const origin = { since: 10, confirmedAtMs: 0, mayHaveLapsed: false };
  harness.knowledge.apply('backends', updateAt(11, { backends: [backendAt('a', 11)] }), origin);
  clock.advance(20);
  t.deepEqual(harness.sentPorts, [1]);
  clock.advance(300);
  t.deepEqual(harness.sentPorts, [1]);
  t.is(harness.forwarder.statistics.heldTooLong, 1);
});
