/** Stores the newest load report of each page until it expires, and returns the load of each back end. */
import { MIN_REPORT_SPACING_MS, TAG_MASK } from './constants.js';
import type { BusyBackend, LoadReport } from './types.js';

/** The load of back ends, as placement reads it. */
export interface LoadLevels {
  /** True while at least one report is valid. */
  hasValidReport(nowMs: number): boolean;
  /**
   * Load of a back end as a multiple of its service's mean; 1 if no valid report lists it as busy. Never below 1: a
   * back end that answers slowly or not at all also gets few calls, so a low rate is no reason to prefer it.
   */
  levelOf(idHash: number, nowMs: number): number;
}

/** A load report, indexed by tag. */
interface StoredReport {
  readonly measuredAtMs: number;
  readonly expiresAtMs: number;
  readonly levelByTag: ReadonlyMap<number, number>;
}

const NOT_BUSY_LEVEL = 1;

/** The load reports that one daemon has received or made. Times are monotonic ms. */
export class LoadView implements LoadLevels {
  private readonly reportByPage = new Map<number, StoredReport>();

  /**
   * Stores a report. Returns false if it is not at least `MIN_REPORT_SPACING_MS` newer than the stored report of its
   * page; the caller must not gossip it then.
   */
  applyReport({ page, measuredAtMs, validMs, busy }: LoadReport): boolean {
    const stored = this.reportByPage.get(page);
    if (stored && measuredAtMs - stored.measuredAtMs < MIN_REPORT_SPACING_MS) return false;
    this.reportByPage.set(page, {
      measuredAtMs,
      expiresAtMs: measuredAtMs + validMs,
      levelByTag: indexLevelsByTag(busy),
    });
    return true;
  }

  hasValidReport(nowMs: number): boolean {
    for (const { expiresAtMs } of this.reportByPage.values()) if (nowMs < expiresAtMs) return true;
    return false;
  }

  levelOf(idHash: number, nowMs: number): number {
    const tag = idHash & TAG_MASK;
    let level = NOT_BUSY_LEVEL;
    for (const { expiresAtMs, levelByTag } of this.reportByPage.values()) {
      if (nowMs < expiresAtMs) level = Math.max(level, levelByTag.get(tag) ?? NOT_BUSY_LEVEL);
    }
    return level;
  }
}

function indexLevelsByTag(busy: readonly BusyBackend[]): ReadonlyMap<number, number> {
  return new Map(busy.map(({ tag, level }) => [tag, level]));
}
