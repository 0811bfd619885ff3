/** The machine list: what is written becomes visible only after a lag. */
import type { Clock } from '../../common/clock.js';
import type { MachineEntry } from '../../store/types.js';

export class MachineList {
  private visible: readonly MachineEntry[] = [];
  private pending: { atMs: number; machines: readonly MachineEntry[] }[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly lagMs: number,
  ) {}

  set(machines: readonly MachineEntry[], lagMs = this.lagMs): void {
    this.pending.push({ atMs: this.clock.now() + lagMs, machines });
  }

  list(): readonly MachineEntry[] {
    const nowMs = this.clock.now();
    for (const change of this.pending) {
      if (change.atMs <= nowMs) this.visible = change.machines;
    }
    this.pending = this.pending.filter((change) => change.atMs > nowMs);
    return this.visible;
  }
}
