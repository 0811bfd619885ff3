/** Counts requests by kind and by caller, to see how many readers the store has. */

export type RequestKind = 'get' | 'put' | 'watch' | 'lease' | 'release' | 'machines';

/** Body of `GET /counters`. */
export interface CounterReport {
  /** Requests since start, by kind. */
  readonly byKind: Readonly<Record<string, number>>;
  /** Requests since start, by caller and kind. */
  readonly byCaller: Readonly<Record<string, Readonly<Record<string, number>>>>;
  /** Open watches now, and the most at once since start. */
  readonly watchers: number;
  readonly watchersMax: number;
  /** Callers with an open watch now. */
  readonly watchingCallers: readonly string[];
  /** Caller that holds each live lease, by lease name. */
  readonly leases: Readonly<Record<string, string>>;
}

export class RequestCounters {
  private readonly byKind = new Map<RequestKind, number>();
  private readonly byCaller = new Map<string, Map<RequestKind, number>>();
  private readonly watching: string[] = [];
  private watchersMax = 0;

  count(kind: RequestKind, caller: string): void {
    this.byKind.set(kind, (this.byKind.get(kind) ?? 0) + 1);
    const kinds = this.byCaller.get(caller) ?? new Map<RequestKind, number>();
    this.byCaller.set(caller, kinds);
    kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
  }

  watchOpened(caller: string): void {
    this.watching.push(caller);
    this.watchersMax = Math.max(this.watchersMax, this.watching.length);
  }

  watchClosed(caller: string): void {
    const index = this.watching.indexOf(caller);
    if (index >= 0) this.watching.splice(index, 1);
  }

  report(leases: Readonly<Record<string, string>>): CounterReport {
    const byCaller = [...this.byCaller].map(([caller, kinds]) => [caller, Object.fromEntries(kinds)]);
    return {
      byKind: Object.fromEntries(this.byKind),
      byCaller: Object.fromEntries(byCaller),
      watchers: this.watching.length,
      watchersMax: this.watchersMax,
      watchingCallers: [...new Set(this.watching)].sort(),
      leases,
    };
  }
}
