/** Encoding and decoding preserve regions of routes, rates of cold back ends, cordons and their removals. */
import test from 'ava';
import type { RouteTable, RoutingUpdate } from '../routing/index.js';
import { applyTableChange, diffTables } from '../routing/route-table-change.js';
import { backendAt, tableAt, updateAt } from '../routing/routing-test-support.js';
import { decodePeerMessage, encodePeerMessage } from './message-codec.js';
import type { PeerMessage, TopicUpdate } from './types.js';

const NOW_MS = 60_000;

function messageWith(update: TopicUpdate): PeerMessage {
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

/** Encodes a message with an update, decodes it, and returns the decoded update. */
function encodeAndDecode(update: TopicUpdate): RoutingUpdate | undefined {
  return decodePeerMessage(encodePeerMessage(messageWith(update), NOW_MS), NOW_MS)?.updates[0]?.update;
}

const tableWithLimits: RouteTable = tableAt(5, {
  routes: tableAt(5).routes.map((route) => ({ ...route, allowedRegions: ['isartal', 'donau'] })),
  services: [
    { name: 'alpha', maxConnections: 2_000, coldRequestsPerSecond: 1.5 },
    { name: 'beta', maxConnections: 10 },
  ],
});

test('regions of routes and rates of cold back ends are preserved', (t) => {
  const update = updateAt(5, { complete: true, routes: [tableWithLimits] });
  t.deepEqual(encodeAndDecode({ topic: 'routes', since: -1, update })?.routes, [tableWithLimits]);
});

test('the priority of routes is preserved, and its change is a change of the route', (t) => {
  const [route] = tableAt(5).routes;
  const prioritized = tableAt(6, { routes: [{ ...route!, priority: 0, targetLatencyMs: 261 }] });
  const update = updateAt(6, { complete: true, routes: [prioritized] });
  t.deepEqual(encodeAndDecode({ topic: 'routes', since: -1, update })?.routes, [prioritized]);
  t.is(diffTables(tableAt(5), prioritized).routes.length, 1);
});

test('the lapsed flag of departed back ends is preserved', (t) => {
  const departed = [
    { record: backendAt('a', 5), departedAtMs: NOW_MS - 1_000, lapsed: true },
    { record: backendAt('b', 6), departedAtMs: NOW_MS - 1_000 },
  ];
  const decoded = encodeAndDecode({
    topic: 'backends',
    since: -1,
    update: updateAt(7, { complete: true, departed }),
  });
  t.deepEqual(
    decoded?.departed?.map(({ lapsed }) => lapsed),
    [true, undefined],
  );
});

test('the unsettled flag of the sender is preserved, and a missing flag means settled', (t) => {
  const message = messageWith({ topic: 'backends', since: 5, update: updateAt(6) });
  const decodedFlag = (unsettled: boolean) =>
    decodePeerMessage(encodePeerMessage({ ...message, unsettled }, NOW_MS), NOW_MS)?.unsettled;
  t.true(decodedFlag(true));
  t.false(decodedFlag(false));
});

test('cordons and their removals are preserved', (t) => {
  const update = updateAt(9, {
    cordons: [{ zone: 'north', revision: 8 }],
    cordonRemovals: [{ zone: 'south', revision: 9 }],
  });
  const { cordons, cordonRemovals } = encodeAndDecode({ topic: 'cordons', since: 7, update }) ?? {};
  t.deepEqual(cordons, update.cordons);
  t.deepEqual(cordonRemovals, update.cordonRemovals);
});

test('a change of only the regions of a route is encoded and leads to the new table', (t) => {
  const after = { ...tableWithLimits, revision: 6, routes: tableAt(6).routes };
  const change = diffTables(tableWithLimits, after);
  t.is(change.routes.length, 1);
  const update = updateAt(6, { routeChange: change });
  const decoded = encodeAndDecode({ topic: 'routes', since: 5, update })?.routeChange;
  t.deepEqual(applyTableChange(tableWithLimits, decoded!), after);
});
