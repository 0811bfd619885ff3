/**
 * Priority queue of timers: the earliest due time first, ties in insertion order. A binary heap.
 *
 * Owns the timers. Relies on its caller for the time.
 */

/** A timer in a queue. */
export interface QueuedTimer {
  readonly dueMs: number;
  /** Rises with each timer created; breaks ties. */
  readonly order: number;
  readonly callback: () => void;
  cancelled: boolean;
}

/** Push and pop cost O(log n). Cancelled timers are dropped when they reach the top. */
export class TimerQueue {
  private readonly heap: QueuedTimer[] = [];

  push(timer: QueuedTimer): void {
    const { heap } = this;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >>> 1;
      if (!isBefore(timer, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = timer;
  }

  /** Removes and returns the earliest timer due by `limitMs`. */
  popDue(limitMs: number): QueuedTimer | undefined {
    for (
      let first = this.heap[0];
      first && (first.cancelled || first.dueMs <= limitMs);
      first = this.heap[0]
    ) {
      this.removeFirst();
      if (!first.cancelled) return first;
    }
    return undefined;
  }

  private removeFirst(): void {
    const last = this.heap.pop()!;
    if (this.heap.length > 0) this.sink(last);
  }

  /** Places `timer` from the root downwards. */
  private sink(timer: QueuedTimer): void {
    const { heap } = this;
    let index = 0;
    for (let child = 1; child < heap.length; child = 2 * index + 1) {
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child += 1;
      if (!isBefore(heap[child]!, timer)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = timer;
  }
}

function isBefore(left: QueuedTimer, right: QueuedTimer): boolean {
  return left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.order < right.order);
}
