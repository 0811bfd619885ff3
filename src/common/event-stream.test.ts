import test from 'ava';
import { merge } from 'most';
import { VirtualClock } from './clock.js';
import { observe, streamOf, Subject, Ticker } from './event-stream.js';

test('observers see an event before push returns, and none after they ended', (t) => {
  const subject = new Subject<number>();
  const seen: number[] = [];
  const end = subject.subscribe((event) => seen.push(event));
  subject.push(1);
  t.deepEqual(seen, [1]);
  end();
  subject.push(2);
  t.deepEqual(seen, [1]);
});

test('streams of subscriptions can be merged, mapped and freed of repeats, and end together', (t) => {
  const left = new Subject<number>();
  const right = new Subject<number>();
  const stream = merge(
    left.stream,
    streamOf<number>((listener) => right.subscribe(listener)),
  );
  const seen: string[] = [];
  const end = observe(stream.map(String).skipRepeats(), (event) => seen.push(event));
  left.push(1);
  right.push(1);
  right.push(2);
  end();
  left.push(3);
  t.deepEqual(seen, ['1', '2']);
});

test('an error of an observer reaches the one who pushed', (t) => {
  const subject = new Subject<number>();
  subject.subscribe(() => {
    throw new RangeError('observer');
  });
  t.throws(() => subject.push(1), { instanceOf: RangeError });
});

test('a ticker fires on its clock until it is aborted', (t) => {
  const clock = new VirtualClock();
  const abort = new AbortController();
  const ticks: number[] = [];
  new Ticker(clock, () => 10).run(abort.signal, (nowMs) => ticks.push(nowMs));
  clock.advance(35);
  abort.abort();
  clock.advance(100);
  t.deepEqual(ticks, [10, 20, 30]);
});
