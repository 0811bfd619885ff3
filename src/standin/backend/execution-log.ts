/** Which requests ran, over all back ends of a process: the evidence for "at most once" and "truly not run". */

export class ExecutionLog {
  private readonly runs = new Map<string, number>();
  private readonly unrepeatable = new Set<string>();
  private readonly twice = new Set<string>();

  /** Notes that a request started. */
  record(id: string, repeatable: boolean): void {
    const runs = (this.runs.get(id) ?? 0) + 1;
    this.runs.set(id, runs);
    if (repeatable) return;
    this.unrepeatable.add(id);
    if (runs > 1) this.twice.add(id);
  }

  /** Ids of requests that must not run twice and did. */
  runTwice(): string[] {
    return [...this.twice];
  }

  /** Ids of requests that must not run twice and ran. */
  unrepeatableIds(): string[] {
    return [...this.unrepeatable];
  }

  /** Those of `ids` that ran. */
  executedOf(ids: readonly string[]): string[] {
    return ids.filter((id) => this.runs.has(id));
  }
}
