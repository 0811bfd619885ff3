/**
 * The task in which a reader follows one topic of the source: reads it once, which may return a state some seconds old,
 * then watches for changes, and reads it again after a gap. Owns the call under way. Relies on `SourceAvailability` for
 * retries, on `watch-wait.ts` for the length of a watch, and on `RoutingKnowledge` to apply what comes.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import { pause } from '../../common/pause.js';
import { CHANGE_WATCH_DELAY_MS, CONFIRM_CHECK_MS, LONG_WATCH_START_MS } from './constants.js';
import { RoutingSourceError } from './errors.js';
import type { FreshnessTimings } from './freshness.js';
import { hasContent, type RoutingKnowledge } from './knowledge.js';
import type { ProblemLog } from './problem-log.js';
import type { SourceAvailability } from './source-availability.js';
import { compareEpochs, isBefore } from './source-epoch.js';
import type { SourceHistoryLog } from './source-history-log.js';
import type { ReadFreshness, RoutingSource, RoutingTopic, RoutingUpdate } from './types.js';
import { isUnconfirmed, mayWatchLong, watchWaitMs, type WatchRequest } from './watch-wait.js';

/** What a follower needs. */
export interface SourceFollowerOptions {
  readonly clock: Clock;
  readonly source: RoutingSource;
  readonly knowledge: RoutingKnowledge;
  readonly availability: SourceAvailability;
  readonly timings: FreshnessTimings;
  readonly problems: ProblemLog;
  readonly history: SourceHistoryLog;
  /** False: the cordons are watched as often as the other topics. True unless given. */
  readonly usesLongWatches?: boolean;
  /** Called after each response that confirmed something. */
  readonly onConfirmation?: () => void;
}

/** A response that may be old confirms nothing. */
const CONFIRMS_NOTHING_MS = Number.NEGATIVE_INFINITY;

/**
 * The topic that changes least is watched with long waits, because responses about the others confirm it, too. Watching
 * all three alike would cost half as many calls again as the other two. The others keep short waits, because each of a
 * reader's responses shows that it reads: with half as many, surplus readers stand down later (4 instead of 2 of 30
 * simulated daemons still read 4 s after an outage).
 */
const LONG_WATCHED_TOPIC: RoutingTopic = 'cordons';

/** Follows one topic. No method throws or rejects. */
export class SourceFollower {
  private reads = 0;
  private watches = 0;
  private firstReading: Promise<void> | undefined;
  /** Revision of the last response to a watch, and whether it equalled that of the one before. */
  private watchedRevision = -1;
  private isSourceCalm = false;
  /** Watches without an answer that continues what is known, since the last one with it. */
  private gapsInARow = 0;

  constructor(
    private readonly topic: RoutingTopic,
    private readonly options: SourceFollowerOptions,
  ) {}

  /** Calls made since start. */
  get calls(): number {
    return this.reads + this.watches;
  }

  /** Reads the topic once unless gossip brings it first; the response may be some seconds old. Never throws. */
  readFirst(signal: AbortSignal): Promise<void> {
    this.firstReading ??= this.readUntilKnown(signal);
    return this.firstReading;
  }

  /** Follows until `signal` aborts. Never throws. */
  async run(signal: AbortSignal): Promise<void> {
    await this.readFirst(signal);
    let hasGap = !this.isKnown();
    if (this.startsLate) await pause(this.options.clock, LONG_WATCH_START_MS, signal);
    while (!signal.aborted) {
      const complete = await this.step(hasGap, signal);
      hasGap = !complete;
    }
  }

  private isKnown(): boolean {
    return this.options.knowledge.revisionOf(this.topic) >= 0;
  }

  private async readUntilKnown(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.isKnown()) {
      await this.guarded(() => this.readAll('any', signal), signal);
    }
  }

  /** One call; false when everything must be read next. */
  private step(hasGap: boolean, signal: AbortSignal): Promise<boolean> {
    return this.guarded(() => (hasGap ? this.readAll('current', signal) : this.watchOnce(signal)), signal);
  }

  /** A response that cannot be applied counts as malformed. */
  private async guarded(call: () => Promise<boolean>, signal: AbortSignal): Promise<boolean> {
    try {
      return await call();
    } catch (cause) {
      const problem = `an answer could not be taken in: ${(cause as Error).message}`;
      await this.waitAfter(new RoutingSourceError('routing.malformed', problem, { cause }), signal);
      return false;
    }
  }

  /** Reads the topic; false when that failed. */
  private async readAll(freshness: ReadFreshness, signal: AbortSignal): Promise<boolean> {
    const { source, clock } = this.options;
    const requestedAtMs = clock.now();
    this.reads += 1;
    const response = await source.read(this.topic, freshness, signal);
    if (response.isErr) {
      await this.waitAfter(response.error, signal);
      return false;
    }
    const isCurrent = freshness === 'current';
    if (isCurrent) this.noteRevision(response.value);
    return this.apply(response.value, -1, isCurrent ? requestedAtMs : CONFIRMS_NOTHING_MS);
  }

  /** Watches once; false when everything must be read again. */
  private async watchOnce(signal: AbortSignal): Promise<boolean> {
    const { source, clock, knowledge } = this.options;
    const since = knowledge.revisionOf(this.topic);
    const epoch = knowledge.epochOf(this.topic);
    const requestedAtMs = clock.now();
    this.watches += 1;
    const waitMs = watchWaitMs(this.watchRequest(), this.options.timings);
    const attempt = this.beginAttempt(signal);
    const response = await source.watch(this.topic, since, waitMs, attempt.signal);
    attempt.end();
    if (response.isErr) {
      if (attempt.signal.aborted && !signal.aborted) {
        this.isSourceCalm = false;
        return true;
      }
      if (response.error.kind === 'routing.history-gone') {
        this.options.history.recordHistoryGone(this.topic, since);
        return this.afterGap(response.error, signal);
      }
      await this.waitAfter(response.error, signal);
      return true;
    }
    // Revisions are given out again after a restore of the source, so that an answer of another epoch may leave out
    // changes, or confirm what it does not know.
    if (compareEpochs(response.value, { epoch }) !== 'same') return this.afterRestore(response.value, signal);
    this.gapsInARow = 0;
    // A response without changes was held back for the whole wait, so it confirms that much more.
    const broughtChange = hasContent(response.value);
    this.isSourceCalm = response.value.revision === this.watchedRevision;
    this.watchedRevision = response.value.revision;
    const heldMs = broughtChange ? 0 : waitMs;
    this.options.history.recordContinued(this.topic);
    const complete = this.apply(response.value, since, Math.min(requestedAtMs + heldMs, clock.now()));
    if (broughtChange) await pause(clock, CHANGE_WATCH_DELAY_MS, signal);
    return complete;
  }

  /** True when gossip has brought the answer's epoch meanwhile, so that a watch goes on from there. */
  private afterRestore(update: RoutingUpdate, signal: AbortSignal): Promise<boolean> {
    const known = { epoch: this.options.knowledge.epochOf(this.topic) };
    if (compareEpochs(update, known) === 'same') return Promise.resolve(true);
    const problem = 'the source was restored from a copy, so that its changes do not continue what is known';
    return this.afterGap(new RoutingSourceError('routing.history-gone', problem), signal);
  }

  /**
   * False: everything must be read. The second time in a row that waits as after a failed call; without that, a reader
   * whose reads did not close the gap made 110 calls a second.
   */
  private async afterGap(error: RoutingSourceError, signal: AbortSignal): Promise<boolean> {
    this.gapsInARow += 1;
    if (this.gapsInARow > 1) await this.waitAfter(error, signal, this.gapsInARow - 1);
    return false;
  }

  private noteRevision(update: RoutingUpdate): void {
    const { history, knowledge } = this.options;
    const known = { epoch: knowledge.epochOf(this.topic), revision: knowledge.revisionOf(this.topic) };
    if (isBefore(update, known)) history.recordOlderRevision(this.topic, known.revision, update.revision);
  }

  private watchRequest(): WatchRequest {
    const ageMs = this.options.knowledge.ageOf(this.topic);
    return { ageMs, isLongWatched: this.isLongWatched, isSourceCalm: this.isSourceCalm };
  }

  /** True where the other followers' responses are about to bring the first confirmation of this topic. */
  private get startsLate(): boolean {
    const wasConfirmed = Number.isFinite(this.options.knowledge.ageOf(this.topic));
    return this.isLongWatched && !wasConfirmed;
  }

  private get isLongWatched(): boolean {
    return this.topic === LONG_WATCHED_TOPIC && this.options.usesLongWatches !== false;
  }

  private isUnconfirmed(): boolean {
    return isUnconfirmed(this.options.knowledge.ageOf(this.topic), this.options.timings);
  }

  /** A call that ends with `signal`; a long watch also ends as soon as its topic lacks a confirmation. */
  private beginAttempt(signal: AbortSignal): { readonly signal: AbortSignal; readonly end: () => void } {
    if (!mayWatchLong(this.watchRequest(), this.options.timings)) return { signal, end: () => undefined };
    const attempt = new AbortController();
    const abort = (): void => attempt.abort();
    let timer: TimerHandle;
    const check = (): void => {
      if (this.isUnconfirmed()) abort();
      else timer = this.options.clock.schedule(CONFIRM_CHECK_MS, check);
    };
    timer = this.options.clock.schedule(CONFIRM_CHECK_MS, check);
    signal.addEventListener('abort', abort);
    const end = (): void => {
      timer.cancel();
      signal.removeEventListener('abort', abort);
    };
    return { signal: attempt.signal, end };
  }

  private apply(update: RoutingUpdate, since: number, confirmedAtMs: number): boolean {
    const { availability, knowledge, problems } = this.options;
    problems.record(this.topic, update.problems);
    const mayHaveLapsed = availability.recordsMayLapse();
    availability.recordResponse();
    const complete = knowledge.apply(this.topic, update, { since, confirmedAtMs, mayHaveLapsed });
    if (Number.isFinite(confirmedAtMs)) this.options.onConfirmation?.();
    return complete;
  }

  private async waitAfter(
    error: RoutingSourceError,
    signal: AbortSignal,
    failuresInARow?: number,
  ): Promise<void> {
    if (signal.aborted || error.kind === 'routing.cancelled') return;
    const waitMs = this.options.availability.recordFailure(this.topic, error, failuresInARow);
    await pause(this.options.clock, waitMs, signal);
  }
}
