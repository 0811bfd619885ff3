/** Objects with versions in memory; one revision counter for the whole store. */

/** A stored object; `value` is JSON. */
export interface StoreEntry {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

type PutOutcome =
  | { readonly accepted: true; readonly entry: StoreEntry }
  | { readonly accepted: false; readonly version: number };

export class ObjectStore {
  private revision = 0;
  private readonly entries = new Map<string, StoreEntry>();
  private readonly watchers = new Map<string, Set<(entry: StoreEntry) => void>>();

  /** The next revision; leases use it as fencing token. */
  nextRevision(): number {
    this.revision += 1;
    return this.revision;
  }

  get(key: string): StoreEntry | undefined {
    return this.entries.get(key);
  }

  /** Writes if the object still has `expectedVersion` (0: does not exist). */
  put(key: string, value: unknown, expectedVersion: number): PutOutcome {
    const version = this.entries.get(key)?.version ?? 0;
    if (version !== expectedVersion) return { accepted: false, version };
    const entry = { key, version: this.nextRevision(), value };
    this.entries.set(key, entry);
    for (const notify of this.watchers.get(key) ?? []) notify(entry);
    return { accepted: true, entry };
  }

  /** Calls `notify` with each accepted write to `key`; returns the function that ends it. */
  subscribe(key: string, notify: (entry: StoreEntry) => void): () => void {
    const watchers = this.watchers.get(key) ?? new Set();
    this.watchers.set(key, watchers);
    watchers.add(notify);
    return () => watchers.delete(notify);
  }
}
