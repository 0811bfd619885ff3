import test from 'ava';
import { PEER, tableAt, updateAt } from '../routing/routing-test-support.js';
import { backends, ForwarderHarness } from './cookie-test-support.js';
import { COOKIE_FLOW_EVENTS } from './events.js';

test('the line of an opening names the age of the routes and who confirmed them', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(2));
  harness.clock.advance(700);
  harness.open(1);
  const confirmation = { revision: 10, changedRevision: 10, confirmedAtMs: harness.clock.now() - 250 };
  harness.knowledge.applyConfirmation('routes', confirmation, PEER);
  harness.open(2);
  const origin = { since: 10, confirmedAtMs: harness.clock.now(), mayHaveLapsed: false };
  harness.knowledge.apply('backends', updateAt(10), origin);
  harness.open(3);
  const lines = harness.logged.filter(({ event }) => event === COOKIE_FLOW_EVENTS.opened);
  const known = lines.map(({ fields }) => [
    fields['version'],
    fields['routesAgeMs'],
    fields['routesConfirmedBy'],
  ]);
  t.deepEqual(known, [
    [10, 700, 'source-routes'],
    [10, 250, `peer-${PEER}`],
    [10, 0, 'source-backends'],
  ]);
});

test('a retransmitted SYN that stays has a line, which tells that its back end has left the route', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(1));
  harness.open(1);
  const moved = tableAt(20, {
    routes: [{ ...tableAt(20).routes[0]!, targets: [{ service: 'beta', weight: 1 }] }],
  });
  const origin = { since: 10, confirmedAtMs: harness.clock.now(), mayHaveLapsed: false };
  for (const isMoved of [false, true]) {
    if (isMoved) harness.knowledge.apply('routes', updateAt(20, { routes: [moved] }), origin);
    harness.open(1, 1);
    const line = harness.logged.at(-1);
    t.is(line?.event, COOKIE_FLOW_EVENTS.retransmissionStays);
    t.is(line?.fields['hasLeftRoute'], isMoved);
    t.is(line?.fields['backend'], 'a');
  }
});
