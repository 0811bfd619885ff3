import test from 'ava';
import {
  FETCH_INTERVAL_MS,
  DEPARTED_FETCH_WINDOW_MS,
  MAX_COMPLETE_LIST_FETCHES,
  PULL_INTERVAL_MS,
  RESPONSE_TIMEOUT_MS,
} from './constants.js';
import {
  decidePull,
  isPullDue,
  canStartFetch,
  shouldFetchDeparted,
  type DepartedFetchSituation,
  type Gap,
  type PullOutcome,
} from './pull-rule.js';

const SMALL_GAP: Gap = {
  isTopicUnknown: false,
  isResponse: false,
  sinceRequestMs: Number.POSITIVE_INFINITY,
  isSameZone: true,
};

const CASES: readonly (readonly [string, Partial<Gap>, PullOutcome])[] = [
  ['a small gap', {}, 'request'],
  ['a small gap, peer of another zone', { isSameZone: false }, 'request'],
  ['a request is pending', { sinceRequestMs: RESPONSE_TIMEOUT_MS - 1 }, 'await-response'],
  ['the response is overdue', { sinceRequestMs: RESPONSE_TIMEOUT_MS }, 'request'],
  ['the response left a gap', { isResponse: true, sinceRequestMs: 20 }, 'fetch'],
  [
    'the response from another zone left a gap',
    { isResponse: true, isSameZone: false },
    'fetch-unless-nearer',
  ],
  ['nothing is known', { isTopicUnknown: true }, 'fetch'],
  ['nothing is known while a request is pending', { isTopicUnknown: true, sinceRequestMs: 1 }, 'fetch'],
  [
    'nothing is known, peer of another zone',
    { isTopicUnknown: true, isSameZone: false },
    'fetch-unless-nearer',
  ],
];

for (const [name, change, outcome] of CASES) {
  test(`${name}: ${outcome}`, (t) => {
    t.is(decidePull({ ...SMALL_GAP, ...change }), outcome);
  });
}

test('only one fetch runs at a time, with an interval between two starts', (t) => {
  t.true(canStartFetch(false, FETCH_INTERVAL_MS));
  t.false(canStartFetch(false, FETCH_INTERVAL_MS - 1));
  t.false(canStartFetch(true, Number.POSITIVE_INFINITY));
});

test('a daemon with an overdue confirmation pulls once per interval', (t) => {
  t.true(isPullDue(1_800, 1_800, PULL_INTERVAL_MS));
  t.false(isPullDue(1_799, 1_800, PULL_INTERVAL_MS));
  t.false(isPullDue(1_800, 1_800, PULL_INTERVAL_MS - 1));
});

const JUST_STARTED: DepartedFetchSituation = {
  uptimeMs: 0,
  completeListsFetched: 0,
  peerDepartedCount: 4,
  ownDepartedCount: 3,
};

test('soon after a start the complete list is fetched, and again from a peer with more departed back ends', (t) => {
  t.true(shouldFetchDeparted(JUST_STARTED));
  t.true(
    shouldFetchDeparted({ ...JUST_STARTED, peerDepartedCount: 1 }),
    'regardless of departures seen by this daemon',
  );
  t.false(shouldFetchDeparted({ ...JUST_STARTED, peerDepartedCount: 0 }), 'the peer remembers none');
  t.true(shouldFetchDeparted({ ...JUST_STARTED, completeListsFetched: 1 }));
  t.false(shouldFetchDeparted({ ...JUST_STARTED, completeListsFetched: 1, peerDepartedCount: 3 }));
  t.false(shouldFetchDeparted({ ...JUST_STARTED, completeListsFetched: MAX_COMPLETE_LIST_FETCHES }));
});

test('a daemon that has run for a while and remembers departed back ends fetches no complete list', (t) => {
  const running = { ...JUST_STARTED, uptimeMs: DEPARTED_FETCH_WINDOW_MS };
  t.false(shouldFetchDeparted(running));
  t.true(shouldFetchDeparted({ ...running, ownDepartedCount: 0 }));
  t.false(
    shouldFetchDeparted({ ...running, ownDepartedCount: 0, completeListsFetched: MAX_COMPLETE_LIST_FETCHES }),
  );
});
