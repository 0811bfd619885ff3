import test from 'ava';
import { RetryWait } from './retry-wait.js';

test('a wait becomes shorter with the situation, and never longer', (t) => {
  let situationMs = 9_000;
  const wait = new RetryWait(() => situationMs);
  t.is(wait.lengthMs, 9_000);
  situationMs = 500;
  t.is(wait.lengthMs, 9_000, 'it is not shortened by itself');
  wait.shorten();
  t.is(wait.lengthMs, 500);
  situationMs = 9_000;
  wait.shorten();
  t.is(wait.lengthMs, 500);
});
