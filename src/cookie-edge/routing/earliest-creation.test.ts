/** The registry keeps the revision at which a back end was recorded first, whoever tells it and in whatever order. */
import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import type { EventDefinition } from '../../observability/event.js';
import { BackendRegistry } from './backend-registry.js';
import { ROUTING_EVENTS } from './events.js';
import { backendAt } from './routing-test-support.js';

const RETENTION_MS = 60_000;
const FIRST = 5;
const ANEW = 20;

function registry(): BackendRegistry {
  const events = { emit: (): void => undefined };
  return new BackendRegistry({ clock: new VirtualClock(), events, retentionMs: RETENTION_MS });
}

const EARLIER = backendAt('a', FIRST);
const LATER = backendAt('a', ANEW);

test('a record that was created anew keeps its first creation', (t) => {
  const backends = registry();
  backends.put(EARLIER, -1);
  backends.remove({ id: 'a', revision: ANEW - 1 }, true);
  t.true(backends.put(LATER, ANEW - 1));
  t.like(backends.get('a')?.record, { createdRevision: FIRST, revision: ANEW });
});

test('an older record that comes later brings its creation and nothing else', (t) => {
  const backends = registry();
  backends.put({ ...LATER, draining: true }, -1);
  t.false(backends.put(EARLIER, -1));
  t.like(backends.get('a')?.record, { createdRevision: FIRST, revision: ANEW, draining: true });
});

test('what a peer tells as departed, or the roster names, brings the creation of a listed back end', (t) => {
  const fromPeer = registry();
  fromPeer.put(LATER, -1);
  fromPeer.putDeparted({ record: EARLIER, departedAtMs: 0 });
  t.like(fromPeer.get('a'), { departed: false, record: { ...LATER, createdRevision: FIRST } });
  const fromRoster = registry();
  fromRoster.put(LATER, -1);
  t.false(fromRoster.putRemembered(EARLIER, true));
  t.like(fromRoster.get('a'), { departed: false, record: { ...LATER, createdRevision: FIRST } });
});

test('another life of the process has a creation of its own', (t) => {
  const backends = registry();
  backends.put({ ...EARLIER, incarnation: 1 }, -1);
  backends.put({ ...LATER, incarnation: 2 }, -1);
  t.is(backends.get('a')?.record.createdRevision, ANEW);
  backends.put({ ...EARLIER, incarnation: 1 }, -1);
  t.is(backends.get('a')?.record.createdRevision, ANEW);
});

test('a record that was created anew is logged once, not again with its later changes', (t) => {
  const numbers: number[] = [];
  const events = { emit: ({ number }: EventDefinition) => numbers.push(number) };
  const backends = new BackendRegistry({ clock: new VirtualClock(), events, retentionMs: RETENTION_MS });
  backends.put(EARLIER, -1);
  backends.put(LATER, -1);
  backends.put({ ...LATER, revision: ANEW + 1, draining: true }, -1);
  t.is(numbers.filter((number) => number === ROUTING_EVENTS.backendRecreated.number).length, 1);
});
