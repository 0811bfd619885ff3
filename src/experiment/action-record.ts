/** What the actions of a run did and when: the timeline of the document, and the causes that explain broken flows. */
import { MS_PER_SECOND } from './constants.js';
import type { RunEvent } from './document.js';

/** A time during which an unplanned fault may break flows. */
export interface FaultPeriod {
  readonly fromMs: number;
  untilMs: number | undefined;
}

/** A back end taken out of service on purpose or by a fault. */
export interface Withdrawal {
  readonly backend: string;
  /** Wall ms when the edit was accepted or the fault began. */
  readonly atMs: number;
  readonly cause: 'drain' | 'fault';
}

/** Filled by the actions of one run while it goes on. */
export class ActionRecord {
  readonly events: RunEvent[] = [];
  readonly faults: FaultPeriod[] = [];
  readonly withdrawals: Withdrawal[] = [];
  /** Back ends that crashed, by full path. */
  readonly crashed = new Set<string>();

  constructor(
    /** Wall ms of the start of the load. */
    readonly startedAtMs: number,
  ) {}

  /** Adds a line to the timeline; `failed` marks one that a reader must look at. */
  note(text: string, failed = false): void {
    this.events.push({ atSeconds: (Date.now() - this.startedAtMs) / MS_PER_SECOND, text, failed });
  }

  /** Begins a period without an end; the caller sets its end. */
  openFault(): FaultPeriod {
    const period: FaultPeriod = { fromMs: Date.now(), untilMs: undefined };
    this.faults.push(period);
    return period;
  }

  /** Notes that a back end answers nothing from now on through a fault. */
  noteCrash(backend: string): void {
    this.crashed.add(backend);
    this.withdrawals.push({ backend, atMs: Date.now(), cause: 'fault' });
  }
}
