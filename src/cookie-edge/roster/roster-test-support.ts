/** Test support: an in-memory roster store, and a roster writer on a virtual clock. */
import Result from 'true-myth/result';
import { VirtualClock } from '../../common/clock.js';
import type { EventDefinition } from '../../observability/event.js';
import { RoutingKnowledge, RoutingSourceError, type RoutedBackend } from '../routing/index.js';
import { backendAt, PEER, updateAt } from '../routing/routing-test-support.js';
import { RosterWriter } from './roster-writer.js';
import type {
  PageWritePrecondition,
  RosterPage,
  RosterStore,
  PageWriteResult,
  StoredPage,
  StoredRoster,
  UnreadablePage,
} from './types.js';

/**
 * Fault injected into the calls. `unavailable`: every call fails. `late`: a write times out, and `completeLateWrite`
 * applies it later if its condition still holds.
 */
export type RosterFault = 'unavailable' | 'late';

const UNAVAILABLE = new RoutingSourceError('routing.unavailable', 'simulated');

/** Roster store in memory with conditional writes. */
export class SimulatedRosterStore implements RosterStore {
  revision = 100;
  fault: RosterFault | undefined;
  readCount = 0;
  readonly writtenPages: RosterPage[] = [];
  pages = new Map<string, StoredPage>();
  readonly unreadable: UnreadablePage[] = [];
  /** Called before the condition of a write is checked. */
  beforeWrite: () => void = () => undefined;
  private pendingWrite: (() => void) | undefined;

  readRoster(): Promise<Result<StoredRoster, RoutingSourceError>> {
    this.readCount += 1;
    if (this.fault) return Promise.resolve(Result.err(UNAVAILABLE));
    return Promise.resolve(Result.ok({ pages: [...this.pages.values()], unreadable: this.unreadable }));
  }

  writePage(
    page: RosterPage,
    { revision, maxBytes }: PageWritePrecondition,
  ): Promise<Result<PageWriteResult, RoutingSourceError>> {
    if (JSON.stringify(page).length > maxBytes) {
      return Promise.resolve(Result.err(new RoutingSourceError('routing.too-large', 'simulated')));
    }
    if (this.fault === 'unavailable') return Promise.resolve(Result.err(UNAVAILABLE));
    if (this.fault === 'late') {
      this.pendingWrite = () => void this.writeIfUnchanged(page, revision);
      return Promise.resolve(Result.err(new RoutingSourceError('routing.timeout', 'simulated')));
    }
    this.beforeWrite();
    return Promise.resolve(Result.ok(this.writeIfUnchanged(page, revision)));
  }

  /** Applies the write that timed out. */
  completeLateWrite(): void {
    this.pendingWrite?.();
  }

  /** Stores a page unconditionally, as another writer does. */
  storePage(page: RosterPage): void {
    this.revision += 1;
    this.pages.set(page.service, { page, revision: this.revision });
  }

  /** Ids in the page of `alpha`, with the suffix `-` for departed and `~` for draining back ends. */
  entryLabels(): string[] {
    const entries = this.pages.get('alpha')?.page.entries ?? [];
    return entries.map(
      ({ record, hasLeft }) => record.id + (hasLeft ? '-' : '') + (record.draining ? '~' : ''),
    );
  }

  private writeIfUnchanged(page: RosterPage, revision: number | undefined): PageWriteResult {
    const storedRevision = this.pages.get(page.service)?.revision ?? this.unreadable[0]?.revision;
    if (storedRevision !== revision) return { kind: 'conflict' };
    this.storePage(page);
    this.unreadable.length = 0;
    this.writtenPages.push(page);
    return { kind: 'written', revision: this.revision };
  }
}

/** One daemon with a roster writer; tests set whether it leads and whether its list is settled. */
export class WriterHarness {
  readonly knowledge: RoutingKnowledge;
  readonly writer: RosterWriter;
  readonly emittedEvents: number[] = [];
  isLeading = true;
  isSettled = true;
  private readonly abort = new AbortController();

  constructor(
    readonly store: SimulatedRosterStore,
    readonly clock = new VirtualClock(),
    maxPageBytes = 1_000_000,
  ) {
    const events = { emit: ({ number }: EventDefinition): void => void this.emittedEvents.push(number) };
    this.knowledge = new RoutingKnowledge({ clock, events, retentionMs: 60_000 });
    this.writer = new RosterWriter({
      clock,
      events,
      knowledge: this.knowledge,
      store,
      maxPageBytes,
      isLeading: () => this.isLeading,
      fleetSize: () => 7,
      isSettled: () => this.isSettled,
      maxConfirmationAgeMs: 3_000,
    });
    void this.writer.run(this.abort.signal);
  }

  /** Applies a complete list of `alpha` as of `revision`, confirmed now. */
  applyList(ids: readonly string[], revision: number, changes: Partial<RoutedBackend> = {}, epoch = 0): void {
    const backends = ids.map((id) => backendAt(id, revision, changes));
    const origin = { since: -1, confirmedAtMs: this.clock.now(), mayHaveLapsed: false };
    this.knowledge.apply('backends', updateAt(revision, { epoch, complete: true, backends }), origin);
  }

  /** Advances the clock and confirms the list every 100 ms. */
  async advanceConfirmed(milliseconds: number): Promise<void> {
    const endMs = this.clock.now() + milliseconds;
    while (this.clock.now() < endMs) {
      await this.clock.advanceAsync(100, 10);
      const { revision, epoch } = this.knowledge.confirmationOf('backends');
      const confirmation = { epoch, revision, changedRevision: revision, confirmedAtMs: this.clock.now() };
      if (revision >= 0) this.knowledge.applyConfirmation('backends', confirmation, PEER);
    }
  }

  /** Advances the clock without confirmations, as for a daemon that is cut off. */
  async advanceUnconfirmed(milliseconds: number): Promise<void> {
    await this.clock.advanceAsync(milliseconds, 10);
  }

  stop(): void {
    this.abort.abort();
  }
}
