/** Checks that the registry keeps a back end's lowest creation revision, whatever the origin and order of records. */
import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import type { EventDefinition } from '../../observability/event.js';
import { BackendRegistry } from './backend-registry.js';
import { ROUTING_EVENTS } from './events.js';
import { backendAt } from './routing-test-support.js';

const RETENTION_MS = 60_000;
const FIRST_REVISION = 5;
const RECREATED_REVISION = 20;

function createRegistry(): BackendRegistry {
  const events = { emit: (): void => undefined };
  return new BackendRegistry({ clock: new VirtualClock(), events, retentionMs: RETENTION_MS });
}

const FIRST_RECORD = backendAt('a', FIRST_REVISION);
const RECREATED_RECORD = backendAt('a', RECREATED_REVISION);

test('a record that is created again keeps its first creation revision', (t) => {
  const backends = createRegistry();
  backends.put(FIRST_RECORD, -1);
  backends.remove({ id: 'a', revision: RECREATED_REVISION - 1 }, true);
  t.true(backends.put(RECREATED_RECORD, RECREATED_REVISION - 1));
  t.like(backends.get('a')?.record, { createdRevision: FIRST_REVISION, revision: RECREATED_REVISION });
});

test('an older record that arrives late changes the creation revision and nothing else', (t) => {
  const backends = createRegistry();
  backends.put({ ...RECREATED_RECORD, draining: true }, -1);
  t.false(backends.put(FIRST_RECORD, -1));
  t.like(backends.get('a')?.record, {
    createdRevision: FIRST_REVISION,
    revision: RECREATED_REVISION,
    draining: true,
  });
});

test('a departed record from a peer, or a roster entry, lowers the creation revision of a listed back end', (t) => {
  const fromPeer = createRegistry();
  fromPeer.put(RECREATED_RECORD, -1);
  fromPeer.putDeparted({ record: FIRST_RECORD, departedAtMs: 0 });
  t.like(fromPeer.get('a'), {
    departed: false,
    record: { ...RECREATED_RECORD, createdRevision: FIRST_REVISION },
  });
  const fromRoster = createRegistry();
  fromRoster.put(RECREATED_RECORD, -1);
  t.false(fromRoster.putFromRoster(FIRST_RECORD, true));
  t.like(fromRoster.get('a'), {
    departed: false,
    record: { ...RECREATED_RECORD, createdRevision: FIRST_REVISION },
  });
});

test('another incarnation of the process has its own creation revision', (t) => {
  const backends = createRegistry();
  backends.put({ ...FIRST_RECORD, incarnation: 1 }, -1);
  backends.put({ ...RECREATED_RECORD, incarnation: 2 }, -1);
  t.is(backends.get('a')?.record.createdRevision, RECREATED_REVISION);
  backends.put({ ...FIRST_RECORD, incarnation: 1 }, -1);
  t.is(backends.get('a')?.record.createdRevision, RECREATED_REVISION);
});

test('a record that is created again is logged once, and not again with its later changes', (t) => {
  const numbers: number[] = [];
  const events = { emit: ({ number }: EventDefinition) => numbers.push(number) };
  const backends = new BackendRegistry({ clock: new VirtualClock(), events, retentionMs: RETENTION_MS });
  backends.put(FIRST_RECORD, -1);
  backends.put(RECREATED_RECORD, -1);
  backends.put({ ...RECREATED_RECORD, revision: RECREATED_REVISION + 1, draining: true }, -1);
  t.is(numbers.filter((number) => number === ROUTING_EVENTS.backendRecreated.number).length, 1);
});
