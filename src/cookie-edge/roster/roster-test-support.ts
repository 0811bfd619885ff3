/** A store of the roster in memory, and a writer's surroundings on a virtual clock. */
import Result from 'true-myth/result';
import { VirtualClock } from '../../common/clock.js';
import type { EventDefinition } from '../../observability/event.js';
import { RoutingKnowledge, RoutingSourceError, type RoutedBackend } from '../routing/index.js';
import { backendAt, updateAt } from '../routing/routing-test-support.js';
import { RosterWriter } from './roster-writer.js';
import type {
  PageCondition,
  RosterPage,
  RosterStore,
  RosterWrite,
  StoredPage,
  StoredRoster,
  UnreadablePage,
} from './types.js';

/** What the next call meets. `late`: a write gets no answer and is done afterwards if its condition still holds. */
export type RosterFault = 'unavailable' | 'late';

const REFUSED = new RoutingSourceError('routing.unavailable', 'simulated');

/** Pages in memory, written under conditions. */
export class SimulatedRosterStore implements RosterStore {
  revision = 100;
  fault: RosterFault | undefined;
  reads = 0;
  readonly writes: RosterPage[] = [];
  pages = new Map<string, StoredPage>();
  readonly unreadable: UnreadablePage[] = [];
  /** Called before a write is judged. */
  beforeWrite: () => void = () => undefined;
  private late: (() => void) | undefined;

  readRoster(): Promise<Result<StoredRoster, RoutingSourceError>> {
    this.reads += 1;
    if (this.fault) return Promise.resolve(Result.err(REFUSED));
    return Promise.resolve(Result.ok({ pages: [...this.pages.values()], unreadable: this.unreadable }));
  }

  writePage(
    page: RosterPage,
    { revision, maxBytes }: PageCondition,
  ): Promise<Result<RosterWrite, RoutingSourceError>> {
    if (JSON.stringify(page).length > maxBytes) {
      return Promise.resolve(Result.err(new RoutingSourceError('routing.too-large', 'simulated')));
    }
    if (this.fault === 'unavailable') return Promise.resolve(Result.err(REFUSED));
    if (this.fault === 'late') {
      this.late = () => void this.tryWrite(page, revision);
      return Promise.resolve(Result.err(new RoutingSourceError('routing.timeout', 'simulated')));
    }
    this.beforeWrite();
    return Promise.resolve(Result.ok(this.tryWrite(page, revision)));
  }

  /** Does the write that got no answer. */
  doLateWrite(): void {
    this.late?.();
  }

  /** What another writer stores. */
  store(page: RosterPage): void {
    this.revision += 1;
    this.pages.set(page.service, { page, revision: this.revision });
  }

  /** Ids in the page of `alpha`; those that left end with `-`, those that are leaving with `~`. */
  names(): string[] {
    const entries = this.pages.get('alpha')?.page.entries ?? [];
    return entries.map(
      ({ record, hasLeft }) => record.id + (hasLeft ? '-' : '') + (record.draining ? '~' : ''),
    );
  }

  private tryWrite(page: RosterPage, revision: number | undefined): RosterWrite {
    const present = this.pages.get(page.service)?.revision ?? this.unreadable[0]?.revision;
    if (present !== revision) return { kind: 'conflict' };
    this.store(page);
    this.unreadable.length = 0;
    this.writes.push(page);
    return { kind: 'written', revision: this.revision };
  }
}

/** One daemon that may write. */
export class WriterHarness {
  readonly knowledge: RoutingKnowledge;
  readonly writer: RosterWriter;
  readonly events: number[] = [];
  isLeading = true;
  isSettled = true;
  private readonly abort = new AbortController();

  constructor(
    readonly store: SimulatedRosterStore,
    readonly clock = new VirtualClock(),
    maxPageBytes = 1_000_000,
  ) {
    const events = { emit: ({ number }: EventDefinition): void => void this.events.push(number) };
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
      currentWithinMs: 3_000,
    });
    void this.writer.run(this.abort.signal);
  }

  /** Applies a complete list of `alpha` as of `revision`, confirmed now. */
  list(ids: readonly string[], revision: number, change: Partial<RoutedBackend> = {}, epoch = 0): void {
    const backends = ids.map((id) => backendAt(id, revision, change));
    const origin = { since: -1, confirmedAtMs: this.clock.now(), mayHaveLapsed: false };
    this.knowledge.apply('backends', updateAt(revision, { epoch, complete: true, backends }), origin);
  }

  /** Lets time pass, in which the list is confirmed again and again. */
  async run(milliseconds: number): Promise<void> {
    const endMs = this.clock.now() + milliseconds;
    while (this.clock.now() < endMs) {
      await this.clock.advanceAsync(100, 10);
      const { revision, epoch } = this.knowledge.confirmationOf('backends');
      const confirmation = { epoch, revision, changedRevision: revision, confirmedAtMs: this.clock.now() };
      if (revision >= 0) this.knowledge.applyConfirmation('backends', confirmation);
    }
  }

  /** Lets time pass without any confirmation, as in a pause of its links. */
  async freeze(milliseconds: number): Promise<void> {
    await this.clock.advanceAsync(milliseconds, 10);
  }

  stop(): void {
    this.abort.abort();
  }
}
