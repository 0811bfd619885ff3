/**
 * Holds the newest load report of each page until it expires, and answers which back ends are busy. Owns the reports.
 */
import { LOAD_STEP_MS, TAG_MASK } from './constants.js';
import type { BusyBackend, LoadReport } from './types.js';

/** What placement reads. */
export interface LoadLevels {
  /** True while some report is in use. */
  isKnown(nowMs: number): boolean;
  /**
   * Load of a back end as a multiple of its service's mean; 1 for one that is not known to be busy. A back end that
   * answers slowly or not at all gets few calls, so that a small count is no reason to prefer it.
   */
  levelOf(idHash: number, nowMs: number): number;
}

/** A report that is in use until it expires. */
interface KnownReport {
  readonly measuredAtMs: number;
  readonly untilMs: number;
  readonly levels: ReadonlyMap<number, number>;
}

const NOT_BUSY = 1;

/** The load reports that one daemon knows. Times are monotonic ms. */
export class LoadView implements LoadLevels {
  private readonly pages = new Map<number, KnownReport>();

  /**
   * Stores a report; returns false when the one stored for that page is about as new, which must not be gossiped
   * further.
   */
  applyReport({ page, measuredAtMs, validMs, busy }: LoadReport): boolean {
    const known = this.pages.get(page);
    if (known && measuredAtMs - known.measuredAtMs < LOAD_STEP_MS) return false;
    this.pages.set(page, { measuredAtMs, untilMs: measuredAtMs + validMs, levels: levelsOf(busy) });
    return true;
  }

  isKnown(nowMs: number): boolean {
    for (const { untilMs } of this.pages.values()) if (nowMs < untilMs) return true;
    return false;
  }

  levelOf(idHash: number, nowMs: number): number {
    const tag = idHash & TAG_MASK;
    let level = NOT_BUSY;
    for (const { untilMs, levels } of this.pages.values()) {
      if (nowMs < untilMs) level = Math.max(level, levels.get(tag) ?? NOT_BUSY);
    }
    return level;
  }
}

function levelsOf(busy: readonly BusyBackend[]): ReadonlyMap<number, number> {
  return new Map(busy.map(({ tag, level }) => [tag, level]));
}
