/** Checks which missing records may only have expired. */
import test from 'ava';
import { LAPSE_AFTER_OUTAGE_MS } from './constants.js';
import { countsAsLapsed, recordsMayLapse } from './lapsed-records.js';

test('records may lapse during an outage and for `LAPSE_AFTER_OUTAGE_MS` after it', (t) => {
  t.true(recordsMayLapse(true, Infinity));
  t.false(recordsMayLapse(false, Infinity));
  t.true(recordsMayLapse(false, LAPSE_AFTER_OUTAGE_MS - 1));
  t.false(recordsMayLapse(false, LAPSE_AFTER_OUTAGE_MS));
});

test('a record of a draining back end does not lapse', (t) => {
  t.true(countsAsLapsed(true, false));
  t.false(countsAsLapsed(true, true));
  t.false(countsAsLapsed(false, false));
  t.false(countsAsLapsed(false, true));
});
