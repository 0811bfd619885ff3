/**
 * Reads the roster at the start of a daemon, unless a settled peer makes that needless, and has the registry remember
 * what it names and the list lacks. Owns nothing that lasts. Relies on `BackendSettlement` for what is known.
 *
 * Load it answers: all daemons start at once while live back ends are recorded again one by one. Their open flows go on
 * and their new ones are spread over all back ends instead of the first few that are listed.
 */
import type { Clock } from '../../common/clock.js';
import { pause } from '../../common/pause.js';
import type { EventLog } from '../../observability/event.js';
import type { BackendSettlement, RoutedBackend, RoutingKnowledge } from '../routing/index.js';
import { ROSTER_READ_DELAY_MS, ROSTER_READ_RETRY_MS } from './constants.js';
import { ROSTER_EVENTS } from './events.js';
import type { RosterEntry, RosterStore, StoredRoster } from './types.js';

/** Collaborators. */
interface RosterReaderOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly knowledge: RoutingKnowledge;
  readonly settlement: BackendSettlement;
  readonly store: RosterStore;
}

/** Revision of a record of an earlier epoch. */
const UNKNOWN_REVISION = -1;

/** Reads the roster once. No method throws or rejects. */
export class RosterReader {
  private callCount = 0;
  private daemonCount: number | undefined;
  private hasEnded = false;

  constructor(private readonly options: RosterReaderOptions) {}

  /** Calls to the store since start. */
  get calls(): number {
    return this.callCount;
  }

  /** Daemons of the fleet, as the roster says; undefined when it was not read. */
  get daemons(): number | undefined {
    return this.daemonCount;
  }

  /** True until the roster was read, or proved needless. */
  get isPending(): boolean {
    return !this.hasEnded;
  }

  /** Waits for the first list, then reads until that succeeds or the list is settled. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, settlement } = this.options;
    await this.untilListed(signal);
    await pause(clock, ROSTER_READ_DELAY_MS, signal);
    while (!signal.aborted && settlement.state === 'settling') {
      if (await this.read(signal)) break;
      await pause(clock, ROSTER_READ_RETRY_MS, signal);
    }
    this.hasEnded = true;
  }

  private untilListed(signal: AbortSignal): Promise<void> {
    const { settlement } = this.options;
    return new Promise((resolve) => {
      const check = (): void => {
        if (settlement.state !== 'unknown') resolve();
      };
      settlement.subscribe(check);
      signal.addEventListener('abort', () => resolve());
      check();
    });
  }

  private async read(signal: AbortSignal): Promise<boolean> {
    const { events, store } = this.options;
    this.callCount += 1;
    const response = await store.readRoster(true, signal);
    if (response.isErr) {
      const { kind, problem } = response.error;
      events.emit(ROSTER_EVENTS.callFailed, { kind, error: problem });
      return false;
    }
    this.apply(response.value);
    return true;
  }

  private apply({ pages, unreadable }: StoredRoster): void {
    const { events, knowledge, settlement } = this.options;
    for (const { service, problem } of unreadable)
      events.emit(ROSTER_EVENTS.unreadable, { service, problem });
    const epoch = knowledge.epochOf('backends');
    const services = new Set<string>();
    let [named, remembered] = [0, 0];
    for (const { page } of pages) {
      this.daemonCount = Math.max(this.daemonCount ?? 0, page.daemons ?? 0);
      for (const entry of page.entries) {
        named += 1;
        if (!entry.hasLeft) services.add(page.service);
        const record = page.epoch === epoch ? entry.record : withoutRevisions(entry);
        if (knowledge.backends.putRemembered(record, entry.hasLeft)) remembered += 1;
      }
    }
    events.emit(ROSTER_EVENTS.read, {
      pages: pages.length,
      named,
      remembered,
      awaited: knowledge.backends.awaitedCount,
      daemons: this.daemonCount,
    });
    settlement.recordRoster(services);
  }
}

/** The record as one of an earlier epoch, whose revisions say nothing now. */
function withoutRevisions({ record }: RosterEntry): RoutedBackend {
  return { ...record, revision: UNKNOWN_REVISION, createdRevision: UNKNOWN_REVISION };
}
