/**
 * Ejection reports of the last moments, of this daemon and of others. Every message carries them while other daemons
 * act on them, for daemons that missed the first push or have just started. Owns the newest report of each back end.
 */
import { EJECTIONS_PER_MESSAGE, EJECTION_GOSSIP_MS } from './constants.js';
import { newestReports } from './gossip-rule.js';
import type { EjectionReport } from './types.js';

/** Ejection reports of the last `EJECTION_GOSSIP_MS`. Times are monotonic ms. */
export class RecentEjections {
  /** The newest report of each back end. */
  private readonly byBackend = new Map<string, EjectionReport>();

  record(report: EjectionReport): void {
    const known = this.byBackend.get(report.backendId);
    if (!known || known.atMs < report.atMs) this.byBackend.set(report.backendId, report);
  }

  /** Removes expired reports and returns the newest of the rest, as many as fit into a message. */
  recent(nowMs: number): EjectionReport[] {
    for (const { backendId, atMs } of this.byBackend.values()) {
      if (nowMs - atMs >= EJECTION_GOSSIP_MS) this.byBackend.delete(backendId);
    }
    return newestReports(this.byBackend.values(), EJECTIONS_PER_MESSAGE);
  }
}
