/** The planned leave: every shard is given to its next keeper before the process stops. */
import { FLOW_EVENTS } from './events.js';
import type { FlowContext } from './flow-context.js';
import type { Ownership } from './ownership.js';
import type { HandOverReport } from './packet-forwarder.js';

/** Follows one hand-over. */
export class HandOver {
  private startedMs = 0;
  private givenBefore = 0;
  private running: Promise<HandOverReport> | undefined;
  private finish: ((report: HandOverReport) => void) | undefined;

  constructor(
    private readonly context: FlowContext,
    private readonly ownership: Ownership,
  ) {}

  /** Starts the hand-over; a second call joins the first. */
  begin(signal: AbortSignal): Promise<HandOverReport> {
    this.running ??= new Promise((resolve) => {
      this.finish = resolve;
      this.startedMs = this.context.now();
      this.givenBefore = this.ownership.givenShards;
      this.context.leaving = true;
      this.ownership.onView(this.context.view);
      signal.addEventListener('abort', () => this.end());
      this.tick();
    });
    return this.running;
  }

  /** Ends the hand-over when nothing is left. */
  tick(): void {
    if (this.finish && this.heldShards() === 0 && this.context.replicas.size === 0) this.end();
  }

  private heldShards(): number {
    let held = 0;
    for (const kept of this.context.kept.values()) if (kept.role !== 'acquiring') held += 1;
    return held;
  }

  private end(): void {
    if (!this.finish) return;
    const report = {
      given: this.ownership.givenShards - this.givenBefore,
      left: this.heldShards(),
      replicasLeft: this.context.replicas.size,
      durationMs: this.context.now() - this.startedMs,
    };
    this.context.components.events.emit(FLOW_EVENTS.handOverEnded, report);
    this.finish(report);
    this.finish = undefined;
  }
}
