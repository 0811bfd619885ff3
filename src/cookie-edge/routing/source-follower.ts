/**
 * Follows one topic of the source: reads it once, which may return a state some seconds old, then watches for changes,
 * and reads it again after a gap. Owns the call in progress. Relies on `SourceAvailability` for retry delays, on
 * `watch-wait.ts` for the length of a watch, and on `RoutingKnowledge` to apply the responses.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import { pause } from '../../common/pause.js';
import {
  CHANGE_WATCH_DELAY_MS,
  CONFIRMATION_CHECK_INTERVAL_MS,
  LONG_WATCH_START_DELAY_MS,
  RETRY_CHECK_INTERVAL_MS,
} from './constants.js';
import { RoutingSourceError } from './errors.js';
import type { FreshnessTimings } from './freshness.js';
import { hasContent, type RoutingKnowledge } from './knowledge.js';
import type { ProblemLog } from './problem-log.js';
import type { SourceAvailability } from './source-availability.js';
import { compareEpochs, isBefore } from './source-epoch.js';
import type { SourceHistoryLog } from './source-history-log.js';
import type { ReadFreshness, RoutingSource, RoutingTopic, RoutingUpdate } from './types.js';
import { isOverdue, canUseLongWatch, computeWatchWaitMs, type WatchRequest } from './watch-wait.js';

export interface SourceFollowerOptions {
  readonly clock: Clock;
  readonly source: RoutingSource;
  readonly knowledge: RoutingKnowledge;
  readonly availability: SourceAvailability;
  readonly timings: FreshnessTimings;
  readonly problems: ProblemLog;
  readonly history: SourceHistoryLog;
  /** False: cordons are watched with short waits, like the other topics. Default: true. */
  readonly usesLongWatches?: boolean;
  /** Called after each response that confirmed the topic's freshness. */
  readonly onConfirmation?: () => void;
}

/** Confirmation time of a response that may be outdated and therefore confirms nothing. */
const NO_CONFIRMATION_MS = Number.NEGATIVE_INFINITY;

/**
 * Topic that is watched with long waits, because it changes least and responses about the others confirm it too.
 * Short waits for all three topics would need 1.5 times the calls of two topics. The other topics keep short waits,
 * because each response shows other daemons that this one reads. With half as many responses, surplus readers stop
 * reading later (4 instead of 2 of 30 simulated daemons still read 4 s after an outage).
 */
const RARELY_CHANGING_TOPIC: RoutingTopic = 'cordons';

/** Follows one topic. Its methods never throw or reject. */
export class SourceFollower {
  private readCount = 0;
  private watchCount = 0;
  private firstRead: Promise<void> | undefined;
  /** Revision of the last response to a watch; `isRevisionStable`: the previous response had the same revision. */
  private lastWatchRevision = -1;
  private isRevisionStable = false;
  /** Consecutive watches whose response did not continue the known history, or could not be read. */
  private consecutiveGaps = 0;

  constructor(
    private readonly topic: RoutingTopic,
    private readonly options: SourceFollowerOptions,
  ) {}

  /** Number of calls since start. */
  get calls(): number {
    return this.readCount + this.watchCount;
  }

  /** Reads the topic once, unless gossip delivers it first; the response may be some seconds old. */
  readFirst(signal: AbortSignal): Promise<void> {
    this.firstRead ??= this.readUntilKnown(signal);
    return this.firstRead;
  }

  /** Follows the topic until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await this.readFirst(signal);
    let hasGap = !this.isKnown();
    if (this.shouldDelayFirstWatch) await pause(this.options.clock, LONG_WATCH_START_DELAY_MS, signal);
    while (!signal.aborted) {
      const complete = await this.callOnce(hasGap, signal);
      hasGap = !complete;
    }
  }

  private isKnown(): boolean {
    return this.options.knowledge.revisionOf(this.topic) >= 0;
  }

  private async readUntilKnown(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.isKnown()) {
      await this.backOffOnException(() => this.readAll('any', signal), signal);
    }
  }

  /** Makes one call; returns false when the whole topic must be read next. */
  private callOnce(hasGap: boolean, signal: AbortSignal): Promise<boolean> {
    return this.backOffOnException(
      () => (hasGap ? this.readAll('current', signal) : this.watchOnce(signal)),
      signal,
    );
  }

  /** Runs a call. An exception, for example from a response that cannot be applied, counts as a malformed response. */
  private async backOffOnException(call: () => Promise<boolean>, signal: AbortSignal): Promise<boolean> {
    try {
      return await call();
    } catch (cause) {
      const problem = `a response could not be applied: ${(cause as Error).message}`;
      await this.backOff(new RoutingSourceError('routing.malformed', problem, { cause }), signal);
      return false;
    }
  }

  /** Reads the whole topic; returns false when that failed or left a gap. */
  private async readAll(freshness: ReadFreshness, signal: AbortSignal): Promise<boolean> {
    const { source, clock } = this.options;
    const requestedAtMs = clock.now();
    this.readCount += 1;
    const response = await source.read(this.topic, freshness, signal);
    if (response.isErr) {
      await this.backOff(response.error, signal);
      return false;
    }
    const isCurrent = freshness === 'current';
    if (isCurrent) this.logIfOlderRevision(response.value);
    return this.applyResponse(response.value, -1, isCurrent ? requestedAtMs : NO_CONFIRMATION_MS);
  }

  /** Watches once; returns false when the whole topic must be read again. */
  private async watchOnce(signal: AbortSignal): Promise<boolean> {
    const { source, clock, knowledge } = this.options;
    const since = knowledge.revisionOf(this.topic);
    const epoch = knowledge.epochOf(this.topic);
    const requestedAtMs = clock.now();
    this.watchCount += 1;
    const waitMs = computeWatchWaitMs(this.watchRequest(), this.options.timings);
    const abortableWatch = this.beginAbortableWatch(signal);
    const response = await source.watch(this.topic, since, waitMs, abortableWatch.signal);
    abortableWatch.end();
    if (response.isErr) {
      if (abortableWatch.signal.aborted && !signal.aborted) {
        this.isRevisionStable = false;
        return true;
      }
      if (response.error.kind === 'routing.history-gone') {
        this.options.history.recordHistoryGone(this.topic, since);
        return this.handleGap(response.error, signal);
      }
      if (response.error.kind === 'routing.malformed') return this.handleUnreadable(response.error, signal);
      await this.backOff(response.error, signal);
      return true;
    }
    // The source assigns the same revisions again after a restore, so a response of another epoch may omit changes, or
    // confirm a state that the source does not have.
    if (compareEpochs(response.value, { epoch }) !== 'same')
      return this.handleOtherEpoch(response.value, signal);
    this.consecutiveGaps = 0;
    // The source held back a response without changes for the whole wait, so nothing changed until then.
    const hasChanges = hasContent(response.value);
    this.isRevisionStable = response.value.revision === this.lastWatchRevision;
    this.lastWatchRevision = response.value.revision;
    const heldMs = hasChanges ? 0 : waitMs;
    this.options.history.clearLoggedBreaks(this.topic);
    const complete = this.applyResponse(response.value, since, Math.min(requestedAtMs + heldMs, clock.now()));
    if (hasChanges) await pause(clock, CHANGE_WATCH_DELAY_MS, signal);
    return complete;
  }

  /** Returns true when gossip has delivered the response's epoch in the meantime, so that watching can continue. */
  private handleOtherEpoch(update: RoutingUpdate, signal: AbortSignal): Promise<boolean> {
    const known = { epoch: this.options.knowledge.epochOf(this.topic) };
    if (compareEpochs(update, known) === 'same') return Promise.resolve(true);
    const problem = 'the source was restored from a backup, so its changes do not continue the known history';
    return this.handleGap(new RoutingSourceError('routing.history-gone', problem), signal);
  }

  /**
   * Always returns false: the whole topic must be read. From the second consecutive gap on, it waits as after a failed
   * call. Without the wait, a reader whose reads did not close the gap made 110 calls a second.
   */
  private async handleGap(error: RoutingSourceError, signal: AbortSignal): Promise<boolean> {
    this.consecutiveGaps += 1;
    if (this.consecutiveGaps > 1) await this.backOff(error, signal, this.consecutiveGaps - 1);
    return false;
  }

  /**
   * Always returns false: the whole topic must be read. The source would repeat an unreadable response to a watch from
   * the same revision, and with it hide every later change.
   */
  private async handleUnreadable(error: RoutingSourceError, signal: AbortSignal): Promise<boolean> {
    this.consecutiveGaps += 1;
    await this.backOff(error, signal, this.consecutiveGaps);
    return false;
  }

  private logIfOlderRevision(update: RoutingUpdate): void {
    const { history, knowledge } = this.options;
    const known = { epoch: knowledge.epochOf(this.topic), revision: knowledge.revisionOf(this.topic) };
    if (isBefore(update, known)) history.recordOlderRevision(this.topic, known.revision, update.revision);
  }

  private watchRequest(): WatchRequest {
    const ageMs = this.options.knowledge.ageOf(this.topic);
    return { ageMs, isLongWatchEnabled: this.isLongWatchEnabled, isRevisionStable: this.isRevisionStable };
  }

  /** True when responses about the other topics will soon give this topic its first confirmation. */
  private get shouldDelayFirstWatch(): boolean {
    const wasConfirmed = Number.isFinite(this.options.knowledge.ageOf(this.topic));
    return this.isLongWatchEnabled && !wasConfirmed;
  }

  private get isLongWatchEnabled(): boolean {
    return this.topic === RARELY_CHANGING_TOPIC && this.options.usesLongWatches !== false;
  }

  private isTopicOverdue(): boolean {
    return isOverdue(this.options.knowledge.ageOf(this.topic), this.options.timings);
  }

  /**
   * Returns a signal that aborts with `signal`, and for a long watch also once the topic's confirmation is overdue.
   * Call `end` after the watch to cancel the check.
   */
  private beginAbortableWatch(signal: AbortSignal): {
    readonly signal: AbortSignal;
    readonly end: () => void;
  } {
    if (!canUseLongWatch(this.watchRequest(), this.options.timings)) return { signal, end: () => undefined };
    const watchAbort = new AbortController();
    const abort = (): void => watchAbort.abort();
    let timer: TimerHandle;
    const abortIfOverdue = (): void => {
      if (this.isTopicOverdue()) abort();
      else timer = this.options.clock.schedule(CONFIRMATION_CHECK_INTERVAL_MS, abortIfOverdue);
    };
    timer = this.options.clock.schedule(CONFIRMATION_CHECK_INTERVAL_MS, abortIfOverdue);
    signal.addEventListener('abort', abort);
    const end = (): void => {
      timer.cancel();
      signal.removeEventListener('abort', abort);
    };
    return { signal: watchAbort.signal, end };
  }

  private applyResponse(update: RoutingUpdate, since: number, confirmedAtMs: number): boolean {
    const { availability, knowledge, problems } = this.options;
    problems.record(this.topic, update.problems);
    const mayHaveLapsed = availability.recordsMayLapse();
    availability.recordResponse();
    const complete = knowledge.apply(this.topic, update, { since, confirmedAtMs, mayHaveLapsed });
    if (Number.isFinite(confirmedAtMs)) this.options.onConfirmation?.();
    return complete;
  }

  private async backOff(
    error: RoutingSourceError,
    signal: AbortSignal,
    consecutiveFailures?: number,
  ): Promise<void> {
    if (signal.aborted || error.kind === 'routing.cancelled') return;
    const { availability, clock } = this.options;
    const wait = availability.recordFailure(this.topic, error, consecutiveFailures);
    const failedAtMs = clock.now();
    const remainingMs = (): number => failedAtMs + wait.lengthMs - clock.now();
    while (remainingMs() > 0 && !signal.aborted) {
      await pause(clock, Math.min(remainingMs(), RETRY_CHECK_INTERVAL_MS), signal);
      if (this.isKnowledgeOverdue()) wait.shorten();
    }
  }

  /** False while gossip keeps this daemon current: it then does not need to call early. */
  private isKnowledgeOverdue(): boolean {
    const { knowledge, timings } = this.options;
    return knowledge.maxTopicAge() >= timings.pullAfterMs;
  }
}
