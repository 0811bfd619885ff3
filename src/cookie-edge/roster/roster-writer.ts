/**
 * The task in which the leading reader keeps the roster: reads it once when it begins to lead, then writes the pages
 * that lack something. Owns what is known of the stored pages; `writer-rule.ts` decides when, `roster-pages.ts` what.
 * Relies on the store to refuse a write whose page has changed meanwhile.
 */
import type { Clock } from '../../common/clock.js';
import { pause } from '../../common/pause.js';
import type { EventLog } from '../../observability/event.js';
import type { RoutingKnowledge, RoutingSourceError } from '../routing/index.js';
import { ROSTER_CHECK_MS, ROSTER_RETRY_MS } from './constants.js';
import { ROSTER_EVENTS } from './events.js';
import { needsWriting, pagesOf } from './roster-pages.js';
import type { RosterPage, RosterStore, StoredPage } from './types.js';
import { decideWriter, type WriterOutcome } from './writer-rule.js';

/** Collaborators. */
interface RosterWriterOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly knowledge: RoutingKnowledge;
  readonly store: RosterStore;
  /** Limit of the store for one page, in bytes. */
  readonly maxPageBytes: number;
  readonly isLeading: () => boolean;
  readonly fleetSize: () => number;
  readonly isSettled: () => boolean;
  /** See `WriterSituation.currentWithinMs`. */
  readonly currentWithinMs: number;
}

/** What is known of the stored pages. */
interface KnownPages {
  /** Epoch of the source's history in which they were read: a restore may have changed them. */
  readonly epoch: number;
  readonly byService: Map<string, Partial<StoredPage>>;
}

/** Writes the roster while this daemon leads. No method throws or rejects. */
export class RosterWriter {
  private known: KnownPages | undefined;
  private lastRoundMs = Number.NEGATIVE_INFINITY;
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
      if (!signal.aborted) await this.check(signal);
    }
  }

  private async check(signal: AbortSignal): Promise<void> {
    const outcome = this.decide();
    if (outcome === 'stand-by') this.known = undefined;
    if (outcome !== 'write') return;
    if (this.known?.epoch !== this.epoch && !(await this.readPages(signal))) return;
    await this.writePages(signal);
  }

  private get epoch(): number {
    return this.options.knowledge.epochOf('backends');
  }

  private decide(): WriterOutcome {
    const { clock, knowledge, isLeading, isSettled, currentWithinMs } = this.options;
    return decideWriter({
      isLeading: isLeading(),
      isSettled: isSettled(),
      ageMs: knowledge.ageOf('backends'),
      currentWithinMs,
      sinceLastRoundMs: clock.now() - this.lastRoundMs,
    });
  }

  /** Learns what is stored; false when that failed. */
  private async readPages(signal: AbortSignal): Promise<boolean> {
    const { epoch } = this;
    this.callCount += 1;
    const response = await this.options.store.readRoster(false, signal);
    if (response.isErr) {
      await this.waitAfter(response.error, signal);
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
    this.known = { epoch, byService };
    this.options.events.emit(ROSTER_EVENTS.leading, { pages: byService.size, epoch });
    return true;
  }

  /** Writes what lacks something. Its knowledge may have changed during a call, so that the rule is asked each time. */
  private async writePages(signal: AbortSignal): Promise<void> {
    const lacking = [...pagesOf(this.options.knowledge).values()].filter((page) =>
      needsWriting(this.known?.byService.get(page.service)?.page, page),
    );
    for (const page of lacking) {
      if (this.decide() !== 'write' || !(await this.writePage(page, signal))) return;
    }
    if (lacking.length > 0) this.lastRoundMs = this.options.clock.now();
  }

  /** False when the round ends. */
  private async writePage(page: RosterPage, signal: AbortSignal): Promise<boolean> {
    const { store, events, maxPageBytes: maxBytes } = this.options;
    const { known } = this;
    if (!known) return false;
    this.callCount += 1;
    const written = { ...page, daemons: this.options.fleetSize() };
    const condition = { revision: known.byService.get(page.service)?.revision, maxBytes };
    const response = await store.writePage(written, condition, signal);
    if (response.isErr) {
      // The write may be done, or be done later: what is stored must be read before the next one.
      this.known = undefined;
      await this.waitAfter(response.error, signal);
      return false;
    }
    const { service, entries } = page;
    if (response.value.kind === 'conflict') {
      this.known = undefined;
      events.emit(ROSTER_EVENTS.writeConflict, { service });
      return false;
    }
    const { revision } = response.value;
    known.byService.set(service, { page, revision });
    this.writeCount += 1;
    events.emit(ROSTER_EVENTS.written, { service, backends: entries.length, revision });
    return true;
  }

  private async waitAfter(error: RoutingSourceError, signal: AbortSignal): Promise<void> {
    if (signal.aborted || error.kind === 'routing.cancelled') return;
    const event = error.kind === 'routing.too-large' ? ROSTER_EVENTS.tooLarge : ROSTER_EVENTS.callFailed;
    this.options.events.emit(event, { kind: error.kind, error: error.problem });
    await pause(this.options.clock, ROSTER_RETRY_MS, signal);
  }
}
