import test from 'ava';
import {
  FETCH_INTERVAL_MS,
  LEARNING_MS,
  MAX_WHOLE_LISTS,
  PULL_INTERVAL_MS,
  RESPONSE_TIMEOUT_MS,
} from './constants.js';
import {
  decidePull,
  isPullDue,
  mayFetch,
  mayLearnDeparted,
  type DepartedRequest,
  type Gap,
  type PullOutcome,
} from './pull-rule.js';

const SMALL: Gap = {
  isWholeTopic: false,
  isResponse: false,
  sinceRequestMs: Number.POSITIVE_INFINITY,
  isSameZone: true,
};

const CASES: readonly (readonly [string, Partial<Gap>, PullOutcome])[] = [
  ['a small gap', {}, 'request'],
  ['a small gap, peer of another zone', { isSameZone: false }, 'request'],
  ['a request is under way', { sinceRequestMs: RESPONSE_TIMEOUT_MS - 1 }, 'await-response'],
  ['the response is overdue', { sinceRequestMs: RESPONSE_TIMEOUT_MS }, 'request'],
  ['the response left a gap', { isResponse: true, sinceRequestMs: 20 }, 'fetch'],
  [
    'the response from another zone left a gap',
    { isResponse: true, isSameZone: false },
    'fetch-unless-nearer',
  ],
  ['nothing is known', { isWholeTopic: true }, 'fetch'],
  ['nothing is known while a request is under way', { isWholeTopic: true, sinceRequestMs: 1 }, 'fetch'],
  [
    'nothing is known, peer of another zone',
    { isWholeTopic: true, isSameZone: false },
    'fetch-unless-nearer',
  ],
];

for (const [name, change, outcome] of CASES) {
  test(`${name}: ${outcome}`, (t) => {
    t.is(decidePull({ ...SMALL, ...change }), outcome);
  });
}

test('one fetch at a time, with an interval between two', (t) => {
  t.true(mayFetch(false, FETCH_INTERVAL_MS));
  t.false(mayFetch(false, FETCH_INTERVAL_MS - 1));
  t.false(mayFetch(true, Number.POSITIVE_INFINITY));
});

test('an overdue daemon pulls once an interval', (t) => {
  t.true(isPullDue(1_800, 1_800, PULL_INTERVAL_MS));
  t.false(isPullDue(1_799, 1_800, PULL_INTERVAL_MS));
  t.false(isPullDue(1_800, 1_800, PULL_INTERVAL_MS - 1));
});

const JUST_STARTED: DepartedRequest = { uptimeMs: 0, wholeLists: 0, departedThere: 4, departedHere: 3 };

test('after a start a whole list is fetched for departed back ends, and a second one from a peer that remembers more', (t) => {
  t.true(mayLearnDeparted(JUST_STARTED));
  t.true(mayLearnDeparted({ ...JUST_STARTED, departedThere: 1 }), 'whatever was seen here');
  t.false(mayLearnDeparted({ ...JUST_STARTED, departedThere: 0 }), 'the peer remembers none');
  t.true(mayLearnDeparted({ ...JUST_STARTED, wholeLists: 1 }));
  t.false(mayLearnDeparted({ ...JUST_STARTED, wholeLists: 1, departedThere: 3 }));
  t.false(mayLearnDeparted({ ...JUST_STARTED, wholeLists: MAX_WHOLE_LISTS }));
});

test('a daemon that has run for a while fetches no whole list when back ends leave that it remembers', (t) => {
  const running = { ...JUST_STARTED, uptimeMs: LEARNING_MS };
  t.false(mayLearnDeparted(running));
  t.true(mayLearnDeparted({ ...running, departedHere: 0 }));
  t.false(mayLearnDeparted({ ...running, departedHere: 0, wholeLists: MAX_WHOLE_LISTS }));
});
