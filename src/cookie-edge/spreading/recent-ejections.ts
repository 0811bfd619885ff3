/**
 * Back ends that this daemon or others ejected a moment ago. They are told with every message as long as the word counts, so
 * that daemons hear of them that missed the first round or have just started.
 */
import { EJECTION_GOSSIP_MS, EJECTIONS_PER_MESSAGE } from './constants.js';
import type { EjectionReport } from './types.js';

/** See the module. Times are monotonic ms. */
export class RecentEjections {
  /** The newest of each back end. */
  private readonly byBackend = new Map<string, EjectionReport>();

  record(suspicion: EjectionReport): void {
    const known = this.byBackend.get(suspicion.backendId);
    if (!known || known.atMs < suspicion.atMs) this.byBackend.set(suspicion.backendId, suspicion);
  }

  /** Those that still count, the newest first, as many as fit into a message. */
  recent(nowMs: number): EjectionReport[] {
    for (const { backendId, atMs } of this.byBackend.values()) {
      if (nowMs - atMs >= EJECTION_GOSSIP_MS) this.byBackend.delete(backendId);
    }
    const newestFirst = [...this.byBackend.values()].sort((left, right) => right.atMs - left.atMs);
    return newestFirst.slice(0, EJECTIONS_PER_MESSAGE);
  }
}
