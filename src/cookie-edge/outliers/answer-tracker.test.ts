import test from 'ava';
import { AnswerBaseline } from './answer-baseline.js';
import { AnswerTracker } from './answer-tracker.js';
import { MIN_ANSWERS_FOR_MEDIAN, MIN_SLOW_MS } from './constants.js';
import type { BadAnswer, OutstandingRequest } from './types.js';

const SLOW_FACTOR = 4;
const USUAL_MS = 50;
const USUAL_BYTES = 800;
const ERROR_BYTES = 200;

function createRequest(sentAtMs: number, backendId = 'a', routeKey = 1): OutstandingRequest {
  return { backendId, service: 'alpha', routeKey, sentAtMs };
}

/** Creates a tracker with a baseline of `USUAL_MS` for route 1. Collects the answers that it reports. */
function createTrackerWithBaseline(): { readonly tracker: AnswerTracker; readonly badAnswers: BadAnswer[] } {
  const badAnswers: BadAnswer[] = [];
  const tracker = new AnswerTracker({
    slowFactor: SLOW_FACTOR,
    onBadAnswer: (badAnswer) => badAnswers.push(badAnswer),
  });
  for (let count = 0; count < MIN_ANSWERS_FOR_MEDIAN; count += 1) {
    const request = createRequest(0);
    tracker.startTracking(request);
    tracker.recordAnswer(request, USUAL_BYTES, USUAL_MS);
  }
  return { tracker, badAnswers };
}

test('the median estimate follows a change of all answers and ignores one slow answer in five', (t) => {
  const baseline = new AnswerBaseline();
  t.is(baseline.medianMs, undefined);
  for (let count = 0; count < 100; count += 1)
    baseline.recordAnswer(count % 5 === 0 ? 400 : USUAL_MS + (count % 3), USUAL_BYTES);
  t.true(baseline.medianMs! < 2 * USUAL_MS, `${baseline.medianMs} ms with one slow answer in five`);
  for (let count = 0; count < 100; count += 1) baseline.recordAnswer(400 + (count % 3), USUAL_BYTES);
  t.true(baseline.medianMs! > 300, `${baseline.medianMs} ms once all are slow`);
});

test('an overdue request is reported once, whether it is answered later or not', (t) => {
  const { tracker, badAnswers } = createTrackerWithBaseline();
  const unanswered = createRequest(1_000, 'mute');
  const late = createRequest(1_000, 'late');
  tracker.startTracking(unanswered);
  tracker.startTracking(late);
  tracker.reportOverdueRequests(1_000 + (SLOW_FACTOR / 2) * USUAL_MS);
  t.deepEqual(badAnswers, []);
  tracker.reportOverdueRequests(1_000 + (SLOW_FACTOR + 1) * USUAL_MS);
  t.deepEqual(
    badAnswers.map(({ backendId }) => backendId),
    ['mute', 'late'],
  );
  tracker.recordAnswer(late, USUAL_BYTES, 1_500);
  tracker.reportOverdueRequests(9_000);
  t.is(badAnswers.length, 2);
  t.is(tracker.outstandingCount, 0);
});

test('an answer that becomes late and arrives between two checks is reported as slow', (t) => {
  const { tracker, badAnswers } = createTrackerWithBaseline();
  const late = createRequest(1_000);
  tracker.startTracking(late);
  tracker.recordAnswer(late, USUAL_BYTES, 1_000 + 5 * USUAL_MS);
  t.is(badAnswers.length, 1);
});

test('on a route with too few answers none is slow, even if another route has enough', (t) => {
  const { tracker, badAnswers } = createTrackerWithBaseline();
  const requestOnOtherRoute = createRequest(1_000, 'a', 2);
  tracker.startTracking(requestOnOtherRoute);
  tracker.reportOverdueRequests(1_000 + 10 * USUAL_MS);
  tracker.recordAnswer(requestOnOtherRoute, USUAL_BYTES, 1_000 + 10 * USUAL_MS);
  t.deepEqual(badAnswers, [], 'the route has too few answers');
});

test('an answer faster than `MIN_SLOW_MS` is not slow, even on a much faster route', (t) => {
  const badAnswers: BadAnswer[] = [];
  const tracker = new AnswerTracker({
    slowFactor: SLOW_FACTOR,
    onBadAnswer: (badAnswer) => badAnswers.push(badAnswer),
  });
  for (let count = 0; count <= MIN_ANSWERS_FOR_MEDIAN; count += 1) {
    const request = createRequest(0);
    tracker.startTracking(request);
    tracker.recordAnswer(request, USUAL_BYTES, count < MIN_ANSWERS_FOR_MEDIAN ? 2 : MIN_SLOW_MS - 1);
  }
  t.deepEqual(badAnswers, []);
});

test('requests of closed flows, and requests before a pause of this process, are not reported as slow', (t) => {
  const { tracker, badAnswers } = createTrackerWithBaseline();
  const closed = createRequest(1_000);
  tracker.startTracking(closed);
  tracker.recordAbandoned(closed);
  tracker.startTracking(createRequest(1_000));
  tracker.stopTrackingAll();
  tracker.reportOverdueRequests(60_000);
  t.deepEqual(badAnswers, []);
  t.is(tracker.statistics.abandoned, 1);
});

/** Creates a tracker with `count` recorded answers of 600 to 1,200 bytes. */
function createTrackerAfterAnswers(count: number) {
  const { tracker, badAnswers } = createTrackerWithBaseline();
  const recordAnswer = (bytes: number): void => {
    const request = createRequest(0);
    tracker.startTracking(request);
    tracker.recordAnswer(request, bytes, USUAL_MS);
  };
  for (let index = 0; index < count; index += 1) recordAnswer(600 + ((index * 37) % 600));
  return { tracker, badAnswers, recordAnswer };
}

test('an answer much shorter than the usual ones of its route is bad, even if a tenth of the answers are', (t) => {
  const { tracker, badAnswers, recordAnswer } = createTrackerAfterAnswers(200);
  for (let index = 0; index < 1_000; index += 1)
    recordAnswer(index % 10 === 0 ? ERROR_BYTES : 600 + ((index * 37) % 600));
  t.is(badAnswers.length, 100);
  t.is(tracker.statistics.short, 100);
});

test('when all answers of a route become short, they are eventually usual and no longer bad', (t) => {
  const { badAnswers, recordAnswer } = createTrackerAfterAnswers(200);
  for (let index = 0; index < 1_000; index += 1) recordAnswer(ERROR_BYTES);
  const badCountSoFar = badAnswers.length;
  t.true(badCountSoFar < 500, `${badCountSoFar} reported as bad`);
  for (let index = 0; index < 100; index += 1) recordAnswer(ERROR_BYTES);
  t.is(badAnswers.length, badCountSoFar);
});

test('on a route with answers of very different lengths, none is short', (t) => {
  const { badAnswers, recordAnswer } = createTrackerAfterAnswers(0);
  for (let index = 0; index < 2_000; index += 1)
    recordAnswer(index % 20 === 0 ? 150 : 150 + ((index * 7_919) % 9_000));
  t.deepEqual(badAnswers, []);
});
