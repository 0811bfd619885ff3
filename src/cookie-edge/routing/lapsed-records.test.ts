/** Which vanished records may only have lapsed. */
import test from 'ava';
import { LAPSE_AFTER_OUTAGE_MS } from './constants.js';
import { hasLapsed, recordsMayLapse } from './lapsed-records.js';

test('records may lapse during an outage and for a while after it', (t) => {
  t.true(recordsMayLapse(true, Infinity));
  t.false(recordsMayLapse(false, Infinity));
  t.true(recordsMayLapse(false, LAPSE_AFTER_OUTAGE_MS - 1));
  t.false(recordsMayLapse(false, LAPSE_AFTER_OUTAGE_MS));
});

test('a record of a draining back end does not lapse', (t) => {
  t.true(hasLapsed(true, false));
  t.false(hasLapsed(true, true));
  t.false(hasLapsed(false, false));
  t.false(hasLapsed(false, true));
});
