/**
 * Keeps the stored roster up to date while this daemon is the leading reader. Reads the roster once on becoming the
 * writer, then writes the outdated pages. Owns a cache of the stored pages. `writer-rule.ts` decides when to write and
 * `roster-pages.ts` decides what to write. Relies on the store to refuse a write to a page that has changed since the
 * writer read it (compare-and-swap).
 */
import type { Clock } from '../../common/clock.js';
import { pause } from '../../common/pause.js';
import type { EventLog } from '../../observability/event.js';
import type { RoutingKnowledge, RoutingSourceError } from '../routing/index.js';
import { ROSTER_CHECK_MS, ROSTER_RETRY_MS } from './constants.js';
import { ROSTER_EVENTS } from './events.js';
import { needsWriting, buildPages } from './roster-pages.js';
import type { RosterPage, RosterStore, StoredPage } from './types.js';
import { decideWriter, type WriterOutcome } from './writer-rule.js';

interface RosterWriterOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly knowledge: RoutingKnowledge;
  readonly store: RosterStore;
  /** Maximum size of a page in the store, in bytes. */
  readonly maxPageBytes: number;
  readonly isLeading: () => boolean;
  readonly fleetSize: () => number;
  readonly isSettled: () => boolean;
  /** See `WriterInputs.maxConfirmationAgeMs`. */
  readonly maxConfirmationAgeMs: number;
}

/** Cached copies of the stored pages. */
interface PageCache {
  /** Epoch of the source's history in which the pages were read. In a new epoch a restore may have changed them. */
  readonly epoch: number;
  /** Revision and page of each service; without the page if it is unreadable. */
  readonly byService: Map<string, Partial<StoredPage>>;
}

/** Writes the roster while this daemon is the leading reader. No method throws or rejects. */
export class RosterWriter {
  private cache: PageCache | undefined;
  private lastRoundAtMs = Number.NEGATIVE_INFINITY;
  private writeCount = 0;
  private callCount = 0;

  constructor(private readonly options: RosterWriterOptions) {}

  /** Pages written since start. */
  get writes(): number {
    return this.writeCount;
  }

  /** Calls to the store since start. */
  get calls(): number {
    return this.callCount;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(this.options.clock, ROSTER_CHECK_MS, signal);
      if (!signal.aborted) await this.checkOnce(signal);
    }
  }

  private async checkOnce(signal: AbortSignal): Promise<void> {
    const outcome = this.evaluateWriterRule();
    if (outcome === 'stand-by') this.cache = undefined;
    if (outcome !== 'write') return;
    if (this.cache?.epoch !== this.epoch && !(await this.readPages(signal))) return;
    await this.writeOutdatedPages(signal);
  }

  private get epoch(): number {
    return this.options.knowledge.epochOf('backends');
  }

  private evaluateWriterRule(): WriterOutcome {
    const { clock, knowledge, isLeading, isSettled, maxConfirmationAgeMs } = this.options;
    return decideWriter({
      isLeading: isLeading(),
      isSettled: isSettled(),
      confirmationAgeMs: knowledge.ageOf('backends'),
      maxConfirmationAgeMs,
      sinceLastRoundMs: clock.now() - this.lastRoundAtMs,
    });
  }

  /** Reads the stored pages into the cache. Returns false if the read failed. */
  private async readPages(signal: AbortSignal): Promise<boolean> {
    const { epoch } = this;
    this.callCount += 1;
    const response = await this.options.store.readRoster(false, signal);
    if (response.isErr) {
      await this.logAndWait(response.error, signal);
      return false;
    }
    const { pages, unreadable } = response.value;
    const byService = new Map<string, Partial<StoredPage>>(
      pages.map((stored) => [stored.page.service, stored]),
    );
    for (const { service, revision, problem } of unreadable) {
      this.options.events.emit(ROSTER_EVENTS.unreadable, { service, problem });
      byService.set(service, { revision });
    }
    this.cache = { epoch, byService };
    this.options.events.emit(ROSTER_EVENTS.leading, { pages: byService.size, epoch });
    return true;
  }

  /** Writes the outdated pages. Evaluates the rule before each write, because its inputs may change during a call. */
  private async writeOutdatedPages(signal: AbortSignal): Promise<void> {
    const outdatedPages = [...buildPages(this.options.knowledge).values()].filter((page) =>
      needsWriting(this.cache?.byService.get(page.service)?.page, page),
    );
    for (const page of outdatedPages) {
      if (this.evaluateWriterRule() !== 'write' || !(await this.writePage(page, signal))) return;
    }
    if (outdatedPages.length > 0) this.lastRoundAtMs = this.options.clock.now();
  }

  /** Writes one page. Returns false if the round must end. */
  private async writePage(page: RosterPage, signal: AbortSignal): Promise<boolean> {
    const { store, events, maxPageBytes: maxBytes } = this.options;
    const { cache } = this;
    if (!cache) return false;
    this.callCount += 1;
    const pageToWrite = { ...page, daemons: this.options.fleetSize() };
    const condition = { revision: cache.byService.get(page.service)?.revision, maxBytes };
    const response = await store.writePage(pageToWrite, condition, signal);
    if (response.isErr) {
      // The store may have applied the write or may still apply it, so the pages are read again before the next write.
      this.cache = undefined;
      await this.logAndWait(response.error, signal);
      return false;
    }
    const { service, entries } = page;
    if (response.value.kind === 'conflict') {
      this.cache = undefined;
      events.emit(ROSTER_EVENTS.writeConflict, { service });
      return false;
    }
    const { revision } = response.value;
    cache.byService.set(service, { page, revision });
    this.writeCount += 1;
    events.emit(ROSTER_EVENTS.written, { service, backends: entries.length, revision });
    return true;
  }

  /** Logs a failed call and waits before the next attempt. */
  private async logAndWait(error: RoutingSourceError, signal: AbortSignal): Promise<void> {
    if (signal.aborted || error.kind === 'routing.cancelled') return;
    const event = error.kind === 'routing.too-large' ? ROSTER_EVENTS.tooLarge : ROSTER_EVENTS.callFailed;
    this.options.events.emit(event, { kind: error.kind, error: error.problem });
    await pause(this.options.clock, ROSTER_RETRY_MS, signal);
  }
}
