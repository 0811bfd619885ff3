/**
 * Bridge between callbacks and `most` streams: a `Subject` is pushed to by its owner and observed as a stream.
 */
import { EventEmitter } from 'node:events';
import { fromEvent, type Stream } from 'most';
import type { Clock, TimerHandle } from './clock.js';

const EVENT = 'event';

/** A hot stream of `T`: observers see the events pushed after they subscribed. */
export class Subject<T> {
  private readonly emitter = new EventEmitter().setMaxListeners(0);
  /** The events as a `most` stream. */
  readonly stream: Stream<T> = fromEvent(EVENT, this.emitter) as Stream<T>;

  /** Delivers `event` to every current observer. */
  push(event: T): void {
    this.emitter.emit(EVENT, event);
  }

  /** Calls `listener` synchronously for each event; returns the function that ends the subscription. */
  subscribe(listener: (event: T) => void): () => void {
    this.emitter.on(EVENT, listener);
    return () => this.emitter.off(EVENT, listener);
  }
}

/** A repeated timer on `clock` as a stream of monotonic times in ms. `nextDelayMs` is asked before each round. */
export class Ticker {
  private readonly subject = new Subject<number>();
  private timer: TimerHandle | undefined;
  readonly ticks: Stream<number> = this.subject.stream;

  constructor(
    private readonly clock: Clock,
    private readonly nextDelayMs: () => number,
  ) {}

  /** Starts the timer and calls `listener` on each tick until `signal` aborts. */
  run(signal: AbortSignal, listener: (nowMs: number) => void): void {
    const unsubscribe = this.subject.subscribe(listener);
    const arm = (): void => {
      if (signal.aborted) return;
      this.timer = this.clock.schedule(this.nextDelayMs(), () => {
        this.subject.push(this.clock.now());
        arm();
      });
    };
    signal.addEventListener('abort', () => {
      this.timer?.cancel();
      unsubscribe();
    });
    arm();
  }
}
