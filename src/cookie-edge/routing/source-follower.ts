/**
 * One task that follows one topic of the source. A start needs one reading of everything, which may be seconds old; who
 * follows the source then watches for changes, and reads everything anew after a gap.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import { pause } from '../../common/pause.js';
import { CHANGE_GATHER_MS, CONFIRM_CHECK_MS, FIRST_WATCH_WAIT_MS, LONG_WATCH_START_MS } from './constants.js';
import { RoutingSourceError } from './errors.js';
import type { FreshnessTimings } from './freshness.js';
import { hasContent, type RoutingKnowledge } from './knowledge.js';
import type { ProblemLog } from './problem-log.js';
import type { SourceCircuit } from './source-circuit.js';
import type { ReadFreshness, RoutingSource, RoutingTopic, RoutingUpdate } from './types.js';

/** What a follower needs. */
export interface SourceFollowerOptions {
  readonly clock: Clock;
  readonly source: RoutingSource;
  readonly knowledge: RoutingKnowledge;
  readonly circuit: SourceCircuit;
  readonly timings: FreshnessTimings;
  readonly problems: ProblemLog;
  /** False: every topic is watched as often as the one that changes most. True unless given. */
  readonly usesLongWatches?: boolean;
  /** Called after each answer that confirmed something. */
  readonly onConfirmation?: () => void;
}

/** Nothing is confirmed by an answer that may be old. */
const CONFIRMS_NOTHING_MS = Number.NEGATIVE_INFINITY;

/**
 * The topic that changes least is watched with long waits: the answers about the others confirm it, too. All three alike would
 * cost half as many calls again as the other two. These are not watched longer, since a reader lets itself be heard of with each
 * of its answers: with half of them, surplus readers stop later (4 in place of 2 of 30 simulated daemons, 4 s after an outage).
 */
const LONG_WATCHED_TOPIC: RoutingTopic = 'cordons';

/** See the module. */
export class SourceFollower {
  private reads = 0;
  private watches = 0;
  private firstReading: Promise<void> | undefined;
  /** Revision of the last answer of a watch, and whether it had stood still since the one before. */
  private answeredRevision = -1;
  private isSourceCalm = false;

  constructor(
    private readonly topic: RoutingTopic,
    private readonly options: SourceFollowerOptions,
  ) {}

  /** Calls made since start. */
  get calls(): number {
    return this.reads + this.watches;
  }

  /** Reads everything once, unless it becomes known otherwise, as of some seconds ago at the worst. Never throws. */
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

  /** An answer that nobody foresaw counts as malformed. */
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
    const askedAtMs = clock.now();
    this.reads += 1;
    const answer = await source.read(this.topic, freshness, signal);
    if (answer.isErr) {
      await this.waitAfter(answer.error, signal);
      return false;
    }
    return this.take(answer.value, -1, freshness === 'current' ? askedAtMs : CONFIRMS_NOTHING_MS);
  }

  /** Watches once; false when everything must be read again. */
  private async watchOnce(signal: AbortSignal): Promise<boolean> {
    const { source, clock, knowledge } = this.options;
    const since = knowledge.revisionOf(this.topic);
    const askedAtMs = clock.now();
    this.watches += 1;
    const waitMs = this.watchWaitMs();
    const attempt = this.beginAttempt(signal);
    const answer = await source.watch(this.topic, since, waitMs, attempt.signal);
    attempt.end();
    if (answer.isErr) {
      if (attempt.signal.aborted && !signal.aborted) {
        this.isSourceCalm = false;
        return true;
      }
      if (answer.error.kind === 'routing.history-gone') return false;
      await this.waitAfter(answer.error, signal);
      return true;
    }
    // An answer without changes was held back for the whole wait, so it confirms that much more.
    const broughtChange = hasContent(answer.value);
    this.isSourceCalm = answer.value.revision === this.answeredRevision;
    this.answeredRevision = answer.value.revision;
    const heldMs = broughtChange ? 0 : waitMs;
    const complete = this.take(answer.value, since, Math.min(askedAtMs + heldMs, clock.now()));
    if (broughtChange) await pause(clock, CHANGE_GATHER_MS, signal);
    return complete;
  }

  /**
   * As long as the age of what is known allows: an answer with changes may have been on its way for long, so it confirms no
   * more than that nothing newer existed when it was asked for.
   */
  private watchWaitMs(): number {
    const { knowledge, timings } = this.options;

    const ageMs = knowledge.ageOf(this.topic);
    if (!Number.isFinite(ageMs)) return FIRST_WATCH_WAIT_MS;
    if (this.mayWatchLong) return timings.longWatchWaitMs;
    const leftMs = Math.floor(timings.readerAgeMs - ageMs);
    return Math.max(timings.watchMinWaitMs, Math.min(timings.watchWaitMs, leftMs));
  }

  /** While the source's revision moves, answers about other topics do not confirm this one, so that it is asked for often. */
  private get mayWatchLong(): boolean {
    return this.isLongWatched && this.isSourceCalm && !this.isUnconfirmed();
  }

  /** True where the other followers' answers are about to bring the first confirmation of this topic. */
  private get startsLate(): boolean {
    const wasConfirmed = Number.isFinite(this.options.knowledge.ageOf(this.topic));
    return this.isLongWatched && !wasConfirmed;
  }

  private get isLongWatched(): boolean {
    return this.topic === LONG_WATCHED_TOPIC && this.options.usesLongWatches !== false;
  }

  private isUnconfirmed(): boolean {
    const { knowledge, timings } = this.options;
    return knowledge.ageOf(this.topic) >= timings.confirmAfterMs;
  }

  /** A call that ends with `signal`, and a long watch also as soon as its topic lacks a confirmation. */
  private beginAttempt(signal: AbortSignal): { readonly signal: AbortSignal; readonly end: () => void } {
    if (!this.mayWatchLong) return { signal, end: () => undefined };
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

  private take(update: RoutingUpdate, since: number, confirmedAtMs: number): boolean {
    const { circuit, knowledge, problems } = this.options;
    problems.note(this.topic, update.problems);
    const mayHaveLapsed = circuit.recordsMayLapse();
    circuit.noteAnswer();
    const complete = knowledge.apply(this.topic, update, { since, confirmedAtMs, mayHaveLapsed });
    if (Number.isFinite(confirmedAtMs)) this.options.onConfirmation?.();
    return complete;
  }

  private async waitAfter(error: RoutingSourceError, signal: AbortSignal): Promise<void> {
    if (signal.aborted || error.kind === 'routing.cancelled') return;
    const waitMs = this.options.circuit.noteFailure(this.topic, error);
    await pause(this.options.clock, waitMs, signal);
  }
}
