import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { LAPSE_AFTER_OUTAGE_MS, OUTAGE_AFTER_MS, RETRY_MAX_MS, RETRY_MIN_MS } from './constants.js';
import { RoutingSourceError } from './errors.js';
import { SourceAvailability } from './source-availability.js';

const FAILURE = new RoutingSourceError('routing.unavailable', 'scripted');

function createAvailability(): { clock: VirtualClock; availability: SourceAvailability } {
  const clock = new VirtualClock();
  const availability = new SourceAvailability(clock, seededRandom(1), SILENT_EVENT_LOG);
  availability.beginReading();
  return { clock, availability };
}

test('calls that fail for `OUTAGE_AFTER_MS` are an outage, and a response ends it', (t) => {
  const { clock, availability } = createAvailability();
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

test('one failed call after a long time without calls is not an outage', (t) => {
  const { clock, availability } = createAvailability();
  availability.recordResponse();
  availability.endReading();
  clock.advance(600_000);
  availability.beginReading();
  availability.recordFailure('routes', FAILURE);
  t.false(availability.isLost);
});

test('an outage ends when the daemon stops reading the source', (t) => {
  const { clock, availability } = createAvailability();
  clock.advance(OUTAGE_AFTER_MS);
  availability.recordFailure('routes', FAILURE);
  t.true(availability.isLost);
  availability.endReading();
  t.false(availability.isLost);
  t.true(availability.recordsMayLapse(), 'records may still lapse for a while');
  clock.advance(LAPSE_AFTER_OUTAGE_MS);
  t.false(availability.recordsMayLapse());
});

test('the backoff grows up to a bound, and restarts when the daemon reads again', (t) => {
  const { availability } = createAvailability();
  const delays = Array.from({ length: 12 }, () => availability.recordFailure('routes', FAILURE).lengthMs);
  t.true(delays[0]! <= RETRY_MIN_MS * 1.5);
  t.true(Math.max(...delays) <= RETRY_MAX_MS * 1.5);
  t.true(delays.at(-1)! >= RETRY_MAX_MS * 0.5);
  availability.endReading();
  availability.beginReading();
  t.true(availability.recordFailure('routes', FAILURE).lengthMs <= RETRY_MIN_MS * 1.5);
});
