/**
 * Reads the roster during start-up and adds to the registry, as remembered, the back ends that the list lacks. Skips
 * the read if a peer whose list is settled answers first. Keeps no back ends itself. Uses `BackendSettlement` to check
 * whether the list is complete.
 *
 * Prevents two failures when all daemons start at once while live back ends are recorded again one by one: open flows
 * to back ends that are not listed yet break, and all new flows go to the first few back ends that are listed.
 */
import type { Clock } from '../../common/clock.js';
import { pause } from '../../common/pause.js';
import type { EventLog } from '../../observability/event.js';
import type { BackendSettlement, RoutedBackend, RoutingKnowledge } from '../routing/index.js';
import { ROSTER_READ_DELAY_MS, ROSTER_READ_RETRY_MS } from './constants.js';
import { ROSTER_EVENTS } from './events.js';
import type { RosterEntry, RosterStore, StoredRoster } from './types.js';

interface RosterReaderOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly knowledge: RoutingKnowledge;
  readonly settlement: BackendSettlement;
  readonly store: RosterStore;
}

/** Revision given to a record of another epoch, so that any record of the current epoch is newer. */
const UNKNOWN_REVISION = -1;

/** Reads the roster once, with retries. No method throws or rejects. */
export class RosterReader {
  private callCount = 0;
  private largestRecordedFleetSize: number | undefined;
  private isDone = false;

  constructor(private readonly options: RosterReaderOptions) {}

  /** Calls to the store since start. */
  get calls(): number {
    return this.callCount;
  }

  /** Fleet size according to the roster; undefined if the roster was not read or has no pages. */
  get recordedFleetSize(): number | undefined {
    return this.largestRecordedFleetSize;
  }

  /** True until the roster has been read or the read has become unnecessary. */
  get isPending(): boolean {
    return !this.isDone;
  }

  /** Waits for the first list of back ends, then reads the roster until a read succeeds or the list is settled. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, settlement } = this.options;
    await this.waitForFirstList(signal);
    await pause(clock, ROSTER_READ_DELAY_MS, signal);
    while (!signal.aborted && settlement.state === 'settling') {
      if (await this.tryRead(signal)) break;
      await pause(clock, ROSTER_READ_RETRY_MS, signal);
    }
    this.isDone = true;
  }

  private waitForFirstList(signal: AbortSignal): Promise<void> {
    const { settlement } = this.options;
    return new Promise((resolve) => {
      const resolveIfKnown = (): void => {
        if (settlement.state !== 'unknown') resolve();
      };
      settlement.subscribe(resolveIfKnown);
      signal.addEventListener('abort', () => resolve());
      resolveIfKnown();
    });
  }

  private async tryRead(signal: AbortSignal): Promise<boolean> {
    const { events, store } = this.options;
    this.callCount += 1;
    const response = await store.readRoster(true, signal);
    if (response.isErr) {
      const { kind, problem } = response.error;
      events.emit(ROSTER_EVENTS.callFailed, { kind, error: problem });
      return false;
    }
    this.applyRoster(response.value);
    return true;
  }

  private applyRoster({ pages, unreadable }: StoredRoster): void {
    const { events, knowledge, settlement } = this.options;
    for (const { service, problem } of unreadable)
      events.emit(ROSTER_EVENTS.unreadable, { service, problem });
    const epoch = knowledge.epochOf('backends');
    const servicesWithBackends = new Set<string>();
    let [entryCount, rememberedCount] = [0, 0];
    for (const { page } of pages) {
      this.largestRecordedFleetSize = Math.max(this.largestRecordedFleetSize ?? 0, page.daemons ?? 0);
      for (const entry of page.entries) {
        entryCount += 1;
        if (!entry.hasLeft) servicesWithBackends.add(page.service);
        const record = page.epoch === epoch ? entry.record : withUnknownRevisions(entry);
        if (knowledge.backends.putFromRoster(record, entry.hasLeft)) rememberedCount += 1;
      }
    }
    events.emit(ROSTER_EVENTS.read, {
      pages: pages.length,
      named: entryCount,
      remembered: rememberedCount,
      awaited: knowledge.backends.awaitedCount,
      daemons: this.largestRecordedFleetSize,
    });
    settlement.recordRoster(servicesWithBackends);
  }
}

/** Resets the revisions of a record of another epoch: they cannot be compared with current ones. */
function withUnknownRevisions({ record }: RosterEntry): RoutedBackend {
  return { ...record, revision: UNKNOWN_REVISION, createdRevision: UNKNOWN_REVISION };
}
