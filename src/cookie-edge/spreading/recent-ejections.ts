/**
 * Recent ejection reports, of this daemon and of others. Messages repeat them for as long as receivers act on them, so
 * that daemons that missed the first push or have just started receive them as well. Owns the newest report of each
 * back end.
 */
import { EJECTIONS_PER_MESSAGE, EJECTION_GOSSIP_MS } from './constants.js';
import { newestReports } from './gossip-rule.js';
import type { EjectionReport } from './types.js';

/** Ejection reports of the last `EJECTION_GOSSIP_MS`. Times are monotonic ms. */
export class RecentEjections {
  /** Newest report of each back end, by its id. */
  private readonly byBackend = new Map<string, EjectionReport>();

  record(report: EjectionReport): void {
    const known = this.byBackend.get(report.backendId);
    if (!known || known.atMs < report.atMs) this.byBackend.set(report.backendId, report);
  }

  /** Discards expired reports and returns the newest of the others, at most as many as a message carries. */
  recent(nowMs: number): EjectionReport[] {
    for (const { backendId, atMs } of this.byBackend.values()) {
      if (nowMs - atMs >= EJECTION_GOSSIP_MS) this.byBackend.delete(backendId);
    }
    return newestReports(this.byBackend.values(), EJECTIONS_PER_MESSAGE);
  }
}
