import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { LAPSE_AFTER_OUTAGE_MS, OUTAGE_AFTER_MS, RETRY_MAX_MS, RETRY_MIN_MS } from './constants.js';
import { RoutingSourceError } from './errors.js';
import { SourceAvailability } from './source-availability.js';

const FAILURE = new RoutingSourceError('routing.unavailable', 'scripted');

function createCircuit(): { clock: VirtualClock; availability: SourceAvailability } {
  const clock = new VirtualClock();
  const availability = new SourceAvailability(clock, seededRandom(1), SILENT_EVENT_LOG);
  availability.beginReading();
  return { clock, availability };
}

test('failed calls for a while are an outage, and an answer ends it', (t) => {
  const { clock, availability } = createCircuit();
  availability.recordFailure('routes', FAILURE);
  t.false(availability.isLost);
  clock.advance(OUTAGE_AFTER_MS);
  availability.recordFailure('routes', FAILURE);
  t.true(availability.isLost);
  availability.recordResponse();
  t.false(availability.isLost);
  t.true(availability.recordsMayLapse());
  clock.advance(LAPSE_AFTER_OUTAGE_MS);
  t.false(availability.recordsMayLapse());
});

test('one failed call after a long time without any is no outage', (t) => {
  const { clock, availability } = createCircuit();
  availability.recordResponse();
  availability.endReading();
  clock.advance(600_000);
  availability.beginReading();
  availability.recordFailure('routes', FAILURE);
  t.false(availability.isLost);
});

test('who leaves the source to others does not believe in an outage for ever', (t) => {
  const { clock, availability } = createCircuit();
  clock.advance(OUTAGE_AFTER_MS);
  availability.recordFailure('routes', FAILURE);
  t.true(availability.isLost);
  availability.endReading();
  t.false(availability.isLost);
  t.true(availability.recordsMayLapse(), 'records may still vanish for a while');
  clock.advance(LAPSE_AFTER_OUTAGE_MS);
  t.false(availability.recordsMayLapse());
});

test('waits grow to a bound, and begin anew with a new reading', (t) => {
  const { availability } = createCircuit();
  const waits = Array.from({ length: 12 }, () => availability.recordFailure('routes', FAILURE));
  t.true(waits[0]! <= RETRY_MIN_MS * 1.5);
  t.true(Math.max(...waits) <= RETRY_MAX_MS * 1.5);
  t.true(waits.at(-1)! >= RETRY_MAX_MS * 0.5);
  availability.endReading();
  availability.beginReading();
  t.true(availability.recordFailure('routes', FAILURE) <= RETRY_MIN_MS * 1.5);
});
