import test from 'ava';
import { VirtualClock } from './clock.js';
import { seededRandom } from './random.js';

test('timers fire in due order, ties in creation order, and not before their time', (t) => {
  const clock = new VirtualClock();
  const random = seededRandom(1);
  const expected: { readonly dueMs: number; readonly index: number }[] = [];
  const fired: number[] = [];
  for (let index = 0; index < 500; index += 1) {
    const dueMs = Math.floor(random() * 50);
    expected.push({ dueMs, index });
    clock.schedule(dueMs, () => {
      fired.push(index);
      if (clock.now() !== dueMs) t.fail(`timer ${index} fired at ${clock.now()}, due at ${dueMs}`);
    });
  }
  clock.advance(24);
  const early = expected.filter((timer) => timer.dueMs <= 24).length;
  t.is(fired.length, early);
  clock.advance(26);
  expected.sort((left, right) => left.dueMs - right.dueMs || left.index - right.index);
  t.deepEqual(
    fired,
    expected.map((timer) => timer.index),
  );
});

test('a cancelled timer does not fire, and a timer may schedule another for the same time', (t) => {
  const clock = new VirtualClock();
  const fired: string[] = [];
  clock.schedule(5, () => fired.push('cancelled')).cancel();
  clock.schedule(5, () => clock.schedule(0, () => fired.push('nested')));
  clock.advance(4);
  t.deepEqual(fired, []);
  clock.advance(1);
  t.deepEqual(fired, ['nested']);
});
