import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { LAPSE_AFTER_OUTAGE_MS, OUTAGE_AFTER_MS, RETRY_MAX_MS, RETRY_MIN_MS } from './constants.js';
import { RoutingSourceError } from './errors.js';
import { SourceCircuit } from './source-circuit.js';

const FAILURE = new RoutingSourceError('routing.unavailable', 'scripted');

function createCircuit(): { clock: VirtualClock; circuit: SourceCircuit } {
  const clock = new VirtualClock();
  const circuit = new SourceCircuit(clock, seededRandom(1), SILENT_EVENT_LOG);
  circuit.begin();
  return { clock, circuit };
}

test('failed calls for a while are an outage, and an answer ends it', (t) => {
  const { clock, circuit } = createCircuit();
  circuit.noteFailure('routes', FAILURE);
  t.false(circuit.isLost);
  clock.advance(OUTAGE_AFTER_MS);
  circuit.noteFailure('routes', FAILURE);
  t.true(circuit.isLost);
  circuit.noteAnswer();
  t.false(circuit.isLost);
  t.true(circuit.recordsMayLapse());
  clock.advance(LAPSE_AFTER_OUTAGE_MS);
  t.false(circuit.recordsMayLapse());
});

test('one failed call after a long time without any is no outage', (t) => {
  const { clock, circuit } = createCircuit();
  circuit.noteAnswer();
  circuit.end();
  clock.advance(600_000);
  circuit.begin();
  circuit.noteFailure('routes', FAILURE);
  t.false(circuit.isLost);
});

test('who leaves the source to others does not believe in an outage for ever', (t) => {
  const { clock, circuit } = createCircuit();
  clock.advance(OUTAGE_AFTER_MS);
  circuit.noteFailure('routes', FAILURE);
  t.true(circuit.isLost);
  circuit.end();
  t.false(circuit.isLost);
  t.true(circuit.recordsMayLapse(), 'records may still vanish for a while');
  clock.advance(LAPSE_AFTER_OUTAGE_MS);
  t.false(circuit.recordsMayLapse());
});

test('waits grow to a bound, and begin anew with a new reading', (t) => {
  const { circuit } = createCircuit();
  const waits = Array.from({ length: 12 }, () => circuit.noteFailure('routes', FAILURE));
  t.true(waits[0]! <= RETRY_MIN_MS * 1.5);
  t.true(Math.max(...waits) <= RETRY_MAX_MS * 1.5);
  t.true(waits.at(-1)! >= RETRY_MAX_MS * 0.5);
  circuit.end();
  circuit.begin();
  t.true(circuit.noteFailure('routes', FAILURE) <= RETRY_MIN_MS * 1.5);
});
