/** Runs requests on a few slots, with a bounded queue, deadlines and cancellation. */
import type { Clock, TimerHandle } from '../../common/clock.js';
import type { NotRunReason, RequestMessage } from '../common/messages.js';

/** A request and where its outcome goes. */
interface Job {
  readonly request: RequestMessage;
  /** The connection it came by: who may cancel it. */
  readonly owner: object;
  onDone(): void;
  onNotRun(reason: NotRunReason): void;
}

interface RunnerLimits {
  readonly slots: number;
  readonly maxQueued: number;
}

interface QueuedJob {
  readonly job: Job;
  readonly startBeforeMs: number;
}

export class RequestRunner {
  private readonly queue: QueuedJob[] = [];
  private readonly running = new Set<TimerHandle>();

  constructor(
    private readonly limits: RunnerLimits,
    private readonly clock: Clock,
    private readonly nextServiceTimeMs: () => number,
    private readonly onStart: (request: RequestMessage) => void,
  ) {}

  get busySlots(): number {
    return this.running.size;
  }

  get queued(): number {
    return this.queue.length;
  }

  submit(job: Job): void {
    if (this.running.size < this.limits.slots) this.run(job);
    else if (this.queue.length >= this.limits.maxQueued) job.onNotRun('shed');
    else this.queue.push({ job, startBeforeMs: this.clock.now() + (job.request.deadlineMs ?? Infinity) });
  }

  /** Takes back a queued request of `owner`; a running or unknown one is left alone. */
  cancel(owner: object, id: string): void {
    const index = this.queue.findIndex(({ job }) => job.owner === owner && job.request.id === id);
    if (index < 0) return;
    const [cancelled] = this.queue.splice(index, 1);
    cancelled?.job.onNotRun('cancelled');
  }

  /** Drops queued requests of a connection that is gone, without an answer. */
  abandon(owner: object): void {
    const kept = this.queue.filter(({ job }) => job.owner !== owner);
    this.queue.splice(0, this.queue.length, ...kept);
  }

  /** Forgets everything, as a crash does. */
  reset(): void {
    this.queue.length = 0;
    for (const timer of this.running) timer.cancel();
    this.running.clear();
  }

  private run(job: Job): void {
    this.onStart(job.request);
    const timer = this.clock.schedule(this.nextServiceTimeMs(), () => {
      this.running.delete(timer);
      job.onDone();
      this.runNext();
    });
    this.running.add(timer);
  }

  private runNext(): void {
    while (this.running.size < this.limits.slots) {
      const next = this.queue.shift();
      if (!next) return;
      if (this.clock.now() > next.startBeforeMs) next.job.onNotRun('deadline');
      else this.run(next.job);
    }
  }
}
