/**
 * Periodic work of forwarding: checks for process pauses, unanswered openings, ejections, shared addresses, outliers
 * and expired flows. Owns only the timers.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import { PAUSE_TICK_MS, type PauseDetector } from '../../common/pause-detector.js';
import type { EventLog } from '../../observability/event.js';
import type { LocalBackendStates, PendingOpenings, SupersededBackends } from '../backend-health/index.js';
import type { AnswerTracker, OutlierDetector } from '../outliers/index.js';
import { HOUSEKEEPING_TICK_MS } from './constants.js';
import { COOKIE_FLOW_EVENTS } from './events.js';
import type { FlowExpiry } from './flow-expiry.js';
import type { FlowFailures } from './flow-failures.js';

/** Components that housekeeping checks. */
interface HousekeepingOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly pauses: PauseDetector;
  readonly pendingOpenings: PendingOpenings;
  readonly answerTracker: AnswerTracker;
  readonly states: LocalBackendStates;
  readonly supersededBackends: SupersededBackends;
  readonly outliers: OutlierDetector;
  readonly failures: FlowFailures;
  readonly expiry: FlowExpiry;
}

/** Checks for pauses every `PAUSE_TICK_MS`, the rest every `HOUSEKEEPING_TICK_MS`. Times are monotonic ms. */
export class Housekeeping {
  constructor(private readonly options: HousekeepingOptions) {}

  /** Runs until `signal` aborts. */
  start(signal: AbortSignal): void {
    this.repeat(PAUSE_TICK_MS, signal, () => this.checkPause());
    this.repeat(HOUSEKEEPING_TICK_MS, signal, () => this.tick());
  }

  private repeat(intervalMs: number, signal: AbortSignal, run: () => void): void {
    let timer: TimerHandle;
    const schedule = (): void => {
      timer = this.options.clock.schedule(intervalMs, () => {
        run();
        schedule();
      });
    };
    schedule();
    signal.addEventListener('abort', () => timer.cancel());
  }

  private tick(): void {
    const { clock, states, supersededBackends, answerTracker, outliers, expiry } = this.options;
    const nowMs = clock.now();
    // After a pause both timers are late, and this one may come first.
    this.checkPause();
    this.recordUnanswered(nowMs);
    states.evaluateFailing(nowMs);
    supersededBackends.reviewAll();
    answerTracker.reportOverdueRequests(nowMs);
    outliers.removeExpiredRecords(nowMs);
    expiry.sweepIfDue(nowMs);
  }

  /**
   * After a pause of the process, logs it and discards the pending openings and requests. Their answers may be in
   * packets that are not read yet, so answered ones would count as unanswered.
   */
  private checkPause(): void {
    const { clock, pauses, events, pendingOpenings, answerTracker } = this.options;
    const pausedMs = pauses.recordTick(clock.now());
    if (pausedMs === 0) return;
    events.emit(COOKIE_FLOW_EVENTS.paused, { pausedMs: Math.round(pausedMs) });
    pendingOpenings.clear();
    answerTracker.stopTrackingAll();
  }

  private recordUnanswered(nowMs: number): void {
    const { pendingOpenings, failures } = this.options;
    for (const flow of pendingOpenings.removeUnanswered(nowMs)) {
      pendingOpenings.stopAwaiting(flow);
      failures.recordFailure(flow, flow.openedAtMs, nowMs);
    }
  }
}
