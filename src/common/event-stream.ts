/**
 * Bridge between callbacks and `most` streams. Observers made here see events in the call that pushes them, as the
 * slices need it: a change of settings is in force when `push` returns. (`Stream.observe` would subscribe in a
 * later turn.)
 *
 * Owns the observers of each subject. Relies on the streams of `most` for everything that is not delivered in the
 * same call.
 */
import { EventEmitter } from 'node:events';
import { defaultScheduler, Stream, type Disposable, type Scheduler, type Sink } from 'most';
import type { Clock, TimerHandle } from './clock.js';

const EVENT = 'event';

/** Starts a subscription and returns the function that ends it. */
type Subscribe<T> = (listener: (event: T) => void) => () => void;

/** A source of a stream over a subscription; each observer has its own. */
class SubscriptionSource<T> {
  constructor(private readonly subscribe: Subscribe<T>) {}

  run(sink: Sink<T>, scheduler: Scheduler): Disposable<T> {
    const end = this.subscribe((event) => sink.event(scheduler.now(), event));
    return { dispose: () => end() };
  }
}

/** The events of a subscription as a `most` stream, to be filtered, mapped and merged. */
export function streamOf<T>(subscribe: Subscribe<T>): Stream<T> {
  return new Stream(new SubscriptionSource(subscribe));
}

/** Calls `listener` for each event of a stream from now on; returns the function that ends it. Errors are thrown. */
export function observe<T>(stream: Stream<T>, listener: (event: T) => void): () => void {
  const sink: Sink<T> = {
    event: (_time, event) => listener(event),
    end: () => undefined,
    error: (_time, error) => {
      throw error;
    },
  };
  const running = stream.source.run(sink, defaultScheduler);
  return () => void running.dispose();
}

/** A hot stream of `T`: observers see the events pushed after they subscribed. */
export class Subject<T> {
  private readonly emitter = new EventEmitter().setMaxListeners(0);
  /** The events as a `most` stream. */
  readonly stream: Stream<T> = streamOf((listener) => {
    this.emitter.on(EVENT, listener);
    return () => this.emitter.off(EVENT, listener);
  });

  /** Delivers `event` to every current observer before it returns. */
  push(event: T): void {
    this.emitter.emit(EVENT, event);
  }

  /** Calls `listener` for each event; returns the function that ends the subscription. */
  subscribe(listener: (event: T) => void): () => void {
    return observe(this.stream, listener);
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
