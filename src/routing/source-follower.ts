/**
 * One task that follows one topic of the source. A start needs one reading of everything, which may be seconds old; who
 * follows the source then watches for changes, and reads everything anew after a gap.
 */
import type { Clock } from '../common/clock.js';
import { pause } from '../common/pause.js';
import { CHANGE_GATHER_MS, FIRST_WATCH_WAIT_MS } from './constants.js';
import { RoutingSourceError } from './errors.js';
import type { FreshnessTimings } from './freshness.js';
import type { RoutingKnowledge } from './knowledge.js';
import type { SourceCircuit } from './source-circuit.js';
import type { ReadFreshness, RoutingSource, RoutingTopic, RoutingUpdate } from './types.js';

/** What a follower needs. */
export interface SourceFollowerOptions {
  readonly clock: Clock;
  readonly source: RoutingSource;
  readonly knowledge: RoutingKnowledge;
  readonly circuit: SourceCircuit;
  readonly timings: FreshnessTimings;
  /** Called after each answer that proved something. */
  readonly onProof?: () => void;
}

/** Nothing is proved by an answer that may be old. */
const PROVES_NOTHING_MS = Number.NEGATIVE_INFINITY;

/** See the module. */
export class SourceFollower {
  private reads = 0;
  private watches = 0;
  private firstReading: Promise<void> | undefined;

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
    return this.take(answer.value, -1, freshness === 'current' ? askedAtMs : PROVES_NOTHING_MS);
  }

  /** Watches once; false when everything must be read again. */
  private async watchOnce(signal: AbortSignal): Promise<boolean> {
    const { source, clock, knowledge } = this.options;
    const since = knowledge.revisionOf(this.topic);
    const askedAtMs = clock.now();
    this.watches += 1;
    const waitMs = this.watchWaitMs();
    const answer = await source.watch(this.topic, since, waitMs, signal);
    if (answer.isErr) {
      if (answer.error.kind === 'routing.history-gone') return false;
      await this.waitAfter(answer.error, signal);
      return true;
    }
    const broughtChange = hasChanges(answer.value);
    const heldMs = broughtChange ? 0 : waitMs;
    const complete = this.take(answer.value, since, Math.min(askedAtMs + heldMs, clock.now()));
    if (broughtChange) await pause(clock, CHANGE_GATHER_MS, signal);
    return complete;
  }

  /**
   * As long as the age of what is known allows: an answer with changes may have been on its way for long, so it proves no
   * more than that nothing newer existed when it was asked for.
   */
  private watchWaitMs(): number {
    const { knowledge, timings } = this.options;
    const ageMs = knowledge.ageOf(this.topic);
    if (!Number.isFinite(ageMs)) return FIRST_WATCH_WAIT_MS;
    const leftMs = Math.floor(timings.readerAgeMs - ageMs);
    return Math.max(timings.watchMinWaitMs, Math.min(timings.watchWaitMs, leftMs));
  }

  private take(update: RoutingUpdate, since: number, provedAtMs: number): boolean {
    const { circuit, knowledge } = this.options;
    const mayHaveLapsed = circuit.recordsMayLapse();
    circuit.noteAnswer();
    const complete = knowledge.apply(this.topic, update, { since, provedAtMs, mayHaveLapsed });
    if (Number.isFinite(provedAtMs)) this.options.onProof?.();
    return complete;
  }

  private async waitAfter(error: RoutingSourceError, signal: AbortSignal): Promise<void> {
    if (signal.aborted || error.kind === 'routing.cancelled') return;
    const waitMs = this.options.circuit.noteFailure(this.topic, error);
    await pause(this.options.clock, waitMs, signal);
  }
}

/** An answer without changes was held back for the whole wait, so it proves that much more. */
function hasChanges({ routes, backends, removals }: RoutingUpdate): boolean {
  return routes.length + backends.length + removals.length > 0;
}
