import test from 'ava';
import { AnswerBaseline } from './answer-baseline.js';
import { AnswerTracker } from './answer-tracker.js';
import { MIN_ANSWERS, SLOW_MIN_MS } from './constants.js';
import type { BadAnswer, OutstandingRequest } from './types.js';

const SLOW_FACTOR = 4;
const USUAL_MS = 50;
const USUAL_BYTES = 800;
const ERROR_BYTES = 200;

function request(sentAtMs: number, backendId = 'a', routeKey = 1): OutstandingRequest {
  return { backendId, service: 'alpha', routeKey, sentAtMs };
}

/** A tracker that has seen enough answers of `USUAL_MS` on route 1, and what it called slow. */
function warmTracker(): { readonly tracker: AnswerTracker; readonly slow: BadAnswer[] } {
  const slow: BadAnswer[] = [];
  const tracker = new AnswerTracker({ slowFactor: SLOW_FACTOR, onBadAnswer: (found) => slow.push(found) });
  for (let count = 0; count < MIN_ANSWERS; count += 1) {
    const answered = request(0);
    tracker.begin(answered);
    tracker.recordAnswer(answered, USUAL_BYTES, USUAL_MS);
  }
  return { tracker, slow };
}

test('the usual time follows a change of all answers and not a few slow ones', (t) => {
  const usual = new AnswerBaseline();
  t.is(usual.medianMs, undefined);
  for (let count = 0; count < 100; count += 1)
    usual.record(count % 5 === 0 ? 400 : USUAL_MS + (count % 3), USUAL_BYTES);
  t.true(usual.medianMs! < 2 * USUAL_MS, `${usual.medianMs} ms with one slow answer in five`);
  for (let count = 0; count < 100; count += 1) usual.record(400 + (count % 3), USUAL_BYTES);
  t.true(usual.medianMs! > 300, `${usual.medianMs} ms once all are slow`);
});

test('a request is called slow as soon as it is, once, whether it is answered later or not', (t) => {
  const { tracker, slow } = warmTracker();
  const mute = request(1_000, 'mute');
  const late = request(1_000, 'late');
  tracker.begin(mute);
  tracker.begin(late);
  tracker.check(1_000 + (SLOW_FACTOR / 2) * USUAL_MS);
  t.deepEqual(slow, []);
  tracker.check(1_000 + (SLOW_FACTOR + 1) * USUAL_MS);
  t.deepEqual(
    slow.map(({ backendId }) => backendId),
    ['mute', 'late'],
  );
  tracker.recordAnswer(late, USUAL_BYTES, 1_500);
  tracker.check(9_000);
  t.is(slow.length, 2);
  t.is(tracker.outstandingCount, 0);
});

test('an answer that came late between two checks is slow as well', (t) => {
  const { tracker, slow } = warmTracker();
  const late = request(1_000);
  tracker.begin(late);
  tracker.recordAnswer(late, USUAL_BYTES, 1_000 + 5 * USUAL_MS);
  t.is(slow.length, 1);
});

test('each route has its own usual time', (t) => {
  const { tracker, slow } = warmTracker();
  const slowRoute = request(1_000, 'a', 2);
  tracker.begin(slowRoute);
  tracker.check(1_000 + 10 * USUAL_MS);
  tracker.recordAnswer(slowRoute, USUAL_BYTES, 1_000 + 10 * USUAL_MS);
  t.deepEqual(slow, [], 'too few answers of that route were seen');
});

test('no answer is slow that one lost packet can explain on a fast route', (t) => {
  const slow: BadAnswer[] = [];
  const tracker = new AnswerTracker({ slowFactor: SLOW_FACTOR, onBadAnswer: (found) => slow.push(found) });
  for (let count = 0; count <= MIN_ANSWERS; count += 1) {
    const answered = request(0);
    tracker.begin(answered);
    tracker.recordAnswer(answered, USUAL_BYTES, count < MIN_ANSWERS ? 2 : SLOW_MIN_MS - 1);
  }
  t.deepEqual(slow, []);
});

test('a caller that closes its flow, or a pause of this process, proves nothing', (t) => {
  const { tracker, slow } = warmTracker();
  const closed = request(1_000);
  tracker.begin(closed);
  tracker.abandon(closed);
  tracker.begin(request(1_000));
  tracker.clear();
  tracker.check(60_000);
  t.deepEqual(slow, []);
  t.is(tracker.statistics.abandoned, 1);
});

/** A tracker that has seen `count` answers of 600 to 1,200 bytes. */
function trackerAfter(count: number) {
  const { tracker, slow: bad } = warmTracker();
  const answer = (bytes: number): void => {
    const answered = request(0);
    tracker.begin(answered);
    tracker.recordAnswer(answered, bytes, USUAL_MS);
  };
  for (let index = 0; index < count; index += 1) answer(600 + ((index * 37) % 600));
  return { tracker, bad, answer };
}

test('an answer much shorter than those of its route is bad, also while a tenth of them are', (t) => {
  const { tracker, bad, answer } = trackerAfter(200);
  for (let index = 0; index < 1_000; index += 1)
    answer(index % 10 === 0 ? ERROR_BYTES : 600 + ((index * 37) % 600));
  t.is(bad.length, 100);
  t.is(tracker.statistics.short, 100);
});

test('a route whose answers have all become short is taken as it is after a while', (t) => {
  const { bad, answer } = trackerAfter(200);
  for (let index = 0; index < 1_000; index += 1) answer(ERROR_BYTES);
  const before = bad.length;
  t.true(before < 500, `${before} called bad`);
  for (let index = 0; index < 100; index += 1) answer(ERROR_BYTES);
  t.is(bad.length, before);
});

test('answers of very different lengths are all usual', (t) => {
  const { bad, answer } = trackerAfter(0);
  for (let index = 0; index < 2_000; index += 1)
    answer(index % 20 === 0 ? 150 : 150 + ((index * 7_919) % 9_000));
  t.deepEqual(bad, []);
});
