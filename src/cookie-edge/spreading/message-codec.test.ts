/**
 * Round trips of message fields: regions of routes, rates of cold back ends, cordons and their removals.
 */
import test from 'ava';
import type { RouteTable, RoutingUpdate } from '../routing/index.js';
import { applyTableChange, compareTables } from '../routing/route-table-change.js';
import { backendAt, tableAt, updateAt } from '../routing/routing-test-support.js';
import { decodePeerMessage, encodePeerMessage } from './message-codec.js';
import type { PeerMessage, SpreadUpdate } from './types.js';

const NOW_MS = 60_000;

function messageWith(update: SpreadUpdate): PeerMessage {
  return {
    type: 'news',
    senderId: 'balancer-1',
    senderZone: 'north',
    leaving: false,
    updates: [update],
    confirmations: {},
    readers: [],
    peers: [],
    suspicions: [],
    loads: [],
    badAnswers: [],
    departedCount: 0,
    unsettled: false,
    tableRevision: 5,
  };
}

/** An update after a way through the codec. */
function received(update: SpreadUpdate): RoutingUpdate | undefined {
  return decodePeerMessage(encodePeerMessage(messageWith(update), NOW_MS), NOW_MS)?.updates[0]?.update;
}

const limited: RouteTable = tableAt(5, {
  routes: tableAt(5).routes.map((route) => ({ ...route, allowedRegions: ['isartal', 'donau'] })),
  services: [
    { name: 'alpha', maxConnections: 2_000, coldRequestsPerSecond: 1.5 },
    { name: 'beta', maxConnections: 10 },
  ],
});

test('regions of routes and rates of cold back ends arrive', (t) => {
  const update = updateAt(5, { complete: true, routes: [limited] });
  t.deepEqual(received({ topic: 'routes', since: -1, update })?.routes, [limited]);
});

test('the urgency of routes arrives, and its change is a change of the route', (t) => {
  const [route] = tableAt(5).routes;
  const urgent = tableAt(6, { routes: [{ ...route!, priority: 0, targetLatencyMs: 261 }] });
  const update = updateAt(6, { complete: true, routes: [urgent] });
  t.deepEqual(received({ topic: 'routes', since: -1, update })?.routes, [urgent]);
  t.is(compareTables(tableAt(5), urgent).routes.length, 1);
});

test('whether a departed back end may only have lapsed arrives', (t) => {
  const departed = [
    { record: backendAt('a', 5), departedAtMs: NOW_MS - 1_000, lapsed: true },
    { record: backendAt('b', 6), departedAtMs: NOW_MS - 1_000 },
  ];
  const arrived = received({
    topic: 'backends',
    since: -1,
    update: updateAt(7, { complete: true, departed }),
  });
  t.deepEqual(
    arrived?.departed?.map(({ lapsed }) => lapsed),
    [true, undefined],
  );
});

test('whether the sender believes its list arrives; one that does not say believes it', (t) => {
  const message = messageWith({ topic: 'backends', since: 5, update: updateAt(6) });
  const arrived = (unsettled: boolean) =>
    decodePeerMessage(encodePeerMessage({ ...message, unsettled }, NOW_MS), NOW_MS)?.unsettled;
  t.true(arrived(true));
  t.false(arrived(false));
});

test('cordons and their removals arrive', (t) => {
  const update = updateAt(9, {
    cordons: [{ zone: 'north', revision: 8 }],
    cordonRemovals: [{ zone: 'south', revision: 9 }],
  });
  const { cordons, cordonRemovals } = received({ topic: 'cordons', since: 7, update }) ?? {};
  t.deepEqual(cordons, update.cordons);
  t.deepEqual(cordonRemovals, update.cordonRemovals);
});

test('a change of nothing but the regions of a route is a change, and leads to the table that it should', (t) => {
  const after = { ...limited, revision: 6, routes: tableAt(6).routes };
  const change = compareTables(limited, after);
  t.is(change.routes.length, 1);
  const update = updateAt(6, { routeChange: change });
  const arrived = received({ topic: 'routes', since: 5, update })?.routeChange;
  t.deepEqual(applyTableChange(limited, arrived!), after);
});
