/** One task that follows one topic of the source: read everything, then watch for changes, and again after a gap. */
import type { Clock } from '../common/clock.js';
import { WATCH_WAIT_AFTER_CHANGE_MS, WATCH_WAIT_MS } from './constants.js';
import { RoutingSourceError } from './errors.js';
import type { RoutingKnowledge } from './knowledge.js';
import type { SourceCircuit } from './source-circuit.js';
import type { RoutingSource, RoutingTopic, RoutingUpdate } from './types.js';

/** What a follower needs. */
export interface SourceFollowerOptions {
  readonly clock: Clock;
  readonly source: RoutingSource;
  readonly knowledge: RoutingKnowledge;
  readonly circuit: SourceCircuit;
  /** Called after each answer that was taken in. */
  readonly onProof?: () => void;
}

/** See the module. */
export class SourceFollower {
  private reads = 0;
  private watches = 0;
  private lastBroughtChange = false;

  constructor(
    private readonly topic: RoutingTopic,
    private readonly options: SourceFollowerOptions,
  ) {}

  /** Calls made since start. */
  get calls(): number {
    return this.reads + this.watches;
  }

  /** Follows until `signal` aborts. Never throws. */
  async run(signal: AbortSignal): Promise<void> {
    const { knowledge } = this.options;
    let readAll = knowledge.revisionOf(this.topic) < 0;
    while (!signal.aborted) {
      const complete = await this.step(readAll, signal);
      readAll = !complete;
    }
  }

  /** One call; false when everything must be read next. An answer that nobody foresaw counts as malformed. */
  private async step(readAll: boolean, signal: AbortSignal): Promise<boolean> {
    try {
      return readAll ? await this.readAll(signal) : await this.watchOnce(signal);
    } catch (cause) {
      const problem = `an answer could not be taken in: ${(cause as Error).message}`;
      await this.waitAfter(new RoutingSourceError('routing.malformed', problem, { cause }), signal);
      return false;
    }
  }

  /** Reads the topic; false when that failed. */
  private async readAll(signal: AbortSignal): Promise<boolean> {
    const { source, clock } = this.options;
    const askedAtMs = clock.now();
    this.reads += 1;
    const answer = await source.read(this.topic, signal);
    if (answer.isErr) {
      await this.waitAfter(answer.error, signal);
      return false;
    }
    return this.take(answer.value, -1, askedAtMs);
  }

  /** Watches once; false when everything must be read again. */
  private async watchOnce(signal: AbortSignal): Promise<boolean> {
    const { source, clock, knowledge } = this.options;
    const since = knowledge.revisionOf(this.topic);
    const askedAtMs = clock.now();
    this.watches += 1;
    const waitMs = this.lastBroughtChange ? WATCH_WAIT_AFTER_CHANGE_MS : WATCH_WAIT_MS;
    const answer = await source.watch(this.topic, since, waitMs, signal);
    if (answer.isOk) {
      this.lastBroughtChange = hasChanges(answer.value);
      const heldMs = this.lastBroughtChange ? 0 : waitMs;
      return this.take(answer.value, since, Math.min(askedAtMs + heldMs, clock.now()));
    }
    if (answer.error.kind === 'routing.history-gone') return false;
    await this.waitAfter(answer.error, signal);
    return true;
  }

  private take(update: RoutingUpdate, since: number, provedAtMs: number): boolean {
    const { circuit, knowledge } = this.options;
    const mayHaveLapsed = circuit.recordsMayLapse();
    circuit.noteAnswer();
    const complete = knowledge.apply(this.topic, update, { since, provedAtMs, mayHaveLapsed });
    this.options.onProof?.();
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

/** Resolves after `waitMs` on `clock` or when `signal` aborts. */
function pause(clock: Clock, waitMs: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const timer = clock.schedule(waitMs, done);
    function done(): void {
      timer.cancel();
      signal.removeEventListener('abort', done);
      resolve();
    }
    signal.addEventListener('abort', done);
  });
}
