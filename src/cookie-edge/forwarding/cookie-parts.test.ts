import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { hashString } from '../../common/hash.js';
import { seededRandom } from '../../common/random.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { LocalBackendState } from '../backend-health/local-backend-state.js';
import { DEFAULT_ZONE_LOAD_FACTOR, DEFAULT_ZONE_MARGIN } from '../daemon/constants.js';
import { OpeningPlacement } from '../placement/opening-placement.js';
import { TrafficSplitter } from '../placement/traffic-splitter.js';
import { BackendRegistry, type KnownBackend, type Route } from '../routing/index.js';
import { backendAt, SERVICE_ADDRESS } from '../routing/routing-test-support.js';
import { CookieRegistry } from './cookie-registry.js';
import { placementRequest } from './cookie-test-support.js';

/** Known back ends with these ids, recorded in this order. */
function known(...ids: string[]): KnownBackend[] {
  const clock = new VirtualClock();
  const registry = new BackendRegistry({ clock, events: SILENT_EVENT_LOG, retentionMs: 1_000 });
  ids.forEach((id, index) => registry.put(backendAt(id, index + 1), -1));
  return ids.map((id) => registry.get(id)!);
}

/** Two ids whose first cookies are equal, found by trying: about 100,000 ids hold one such pair. */
function collidingIds(): readonly [string, string] {
  const seen = new Map<number, string>();
  for (let number = 0; ; number += 1) {
    const id = `i-${number.toString(16)}`;
    const registry = new CookieRegistry();
    const [backend] = [{ id, record: backendAt(id, 1) } as KnownBackend];
    registry.add(backend);
    const cookie = registry.cookieOf(backend);
    const other = seen.get(cookie);
    if (other !== undefined) return [other, id];
    seen.set(cookie, id);
  }
}

test('cookies of two back ends that collide are kept apart, in whatever order they become known', (t) => {
  const [first, second] = collidingIds();
  const [earlier, later] = known(first, second) as [KnownBackend, KnownBackend];
  const orders = [
    [earlier, later],
    [later, earlier],
  ];
  const cookies = orders.map((order) => {
    const registry = new CookieRegistry();
    order.forEach((backend) => registry.add(backend));
    t.is(registry.collisions, 1);
    for (const backend of order) t.is(registry.backendOf(registry.cookieOf(backend)), backend);
    return [registry.cookieOf(earlier), registry.cookieOf(later)];
  });
  t.deepEqual(cookies[0], cookies[1]);
  const alone = new CookieRegistry();
  alone.add(later);
  t.is(alone.backendOf(cookies[0]![1]!), later, 'one who never knew the earlier understands both cookies');
});

test('a forgotten back end is not found by its cookie any more', (t) => {
  const [backend] = known('a') as [KnownBackend];
  const registry = new CookieRegistry();
  registry.add(backend);
  const cookie = registry.cookieOf(backend);
  t.not(cookie, 0);
  registry.remove(backend);
  t.is(registry.backendOf(cookie), undefined);
});

function routeWith(...weights: number[]): Route {
  const targets = weights.map((weight, index) => ({ service: `service-${index}`, weight }));
  return { name: 'route', address: SERVICE_ADDRESS, port: 80, targets };
}

for (const weights of [
  [90, 10],
  [50, 30, 20],
  [1, 1],
  [99, 1],
]) {
  test(`shares of ${weights.join(':')} hold within any 200 flows`, (t) => {
    const splitter = new TrafficSplitter(seededRandom(5));
    const route = routeWith(...weights);
    const chosen = Array.from({ length: 1_000 }, () => splitter.choose(route, () => true));
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    for (let start = 0; start + 200 <= chosen.length; start += 50) {
      weights.forEach((weight, index) => {
        const taken = chosen.slice(start, start + 200).filter((name) => name === `service-${index}`).length;
        t.true(Math.abs(taken / 200 - weight / total) <= 0.01, `${taken} of 200 from ${start}`);
      });
    }
  });
}

test('a service that cannot serve is passed over, and a changed split starts anew', (t) => {
  const splitter = new TrafficSplitter(seededRandom(5));
  for (let flow = 0; flow < 50; flow += 1) {
    t.is(
      splitter.choose(routeWith(90, 10), (service) => service === 'service-1'),
      'service-1',
    );
  }
  const chosen = Array.from({ length: 100 }, () => splitter.choose(routeWith(10, 90), () => true));
  t.true(Math.abs(chosen.filter((name) => name === 'service-1').length - 90) <= 1);
});

test('new flows spread evenly by capacity, and a cold back end gets half', (t) => {
  const all = known('a', 'b', 'c');
  all[1]!.record = backendAt('b', 9, { capacity: 4 });
  all[2]!.coldUntilMs = 1_000;
  const states = new Map(all.map((backend) => [backend, new LocalBackendState(backend)]));
  const placement = new OpeningPlacement({ zone: 'north', zoneMargin: 0, zoneLoadFactor: 1 });
  for (let flow = 0; flow < 140; flow += 1) {
    const choice = placement.choose(placementRequest(states, flow));
    choice!.state.openFlows += 1;
  }
  t.deepEqual(
    all.map((backend) => states.get(backend)!.openFlows),
    [40, 80, 20],
  );
});

test('among equals a busy back end is passed over, while own flows are few', (t) => {
  const all = known('a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i');
  const states = new Map(all.map((backend) => [backend, new LocalBackendState(backend)]));
  const stateOf = (index: number): LocalBackendState => states.get(all[index]!)!;
  const idle = stateOf(2).idHash;
  const loads = { isKnown: () => true, levelOf: (idHash: number) => (idHash === idle ? 1 : 1.5) };
  const placement = new OpeningPlacement({ zone: 'north', zoneMargin: 0, zoneLoadFactor: 1, loads });
  const choices = (): number => {
    const chosen = Array.from({ length: 90 }, (_, flow) => placement.choose(placementRequest(states, flow)));
    return chosen.filter((choice) => choice!.state === stateOf(2)).length;
  };
  t.true(choices() > 30, 'among four of nine, the idle one is found in four of nine choices');
  stateOf(0).openFlows = 1;
  stateOf(1).openFlows = 1;
  t.true(choices() > 30);
  stateOf(3).openFlows = 1;
  t.true(choices() < 25, 'own flows at a third of the back ends tell more than the reports');
  stateOf(2).openFlows = 1;
  t.is(choices(), 0, 'fewer own flows go before what is reported');
});

test('balancers that know the same report choose equally, so that copies of a SYN meet one back end', (t) => {
  const ids = Array.from({ length: 40 }, (_, index) => `b-${index}`);
  const all = known(...ids);
  const busy = new Set(ids.slice(0, 16).map((id) => hashString(id)));
  const loads = { isKnown: () => true, levelOf: (idHash: number) => (busy.has(idHash) ? 1.3 : 1) };
  const chooser = (): ((flow: number) => string) => {
    const states = new Map(all.map((backend) => [backend, new LocalBackendState(backend)]));
    const placement = new OpeningPlacement({ zone: 'north', zoneMargin: 0.5, zoneLoadFactor: 1, loads });
    return (flow) => placement.choose(placementRequest(states, flow))!.state.backend.id;
  };
  const [first, second] = [chooser(), chooser()];
  for (let flow = 0; flow < 200; flow += 1) t.is(first(flow), second(flow));
});

test('the own zone goes first within the margin only', (t) => {
  const all = known('near', 'far');
  all[1]!.record = backendAt('far', 9, { zone: 'south' });
  const states = new Map(all.map((backend) => [backend, new LocalBackendState(backend)]));
  const placement = new OpeningPlacement({ zone: 'north', zoneMargin: 1, zoneLoadFactor: 1 });
  for (let flow = 0; flow < 20; flow += 1) {
    const choice = placement.choose(placementRequest(states, flow));
    choice!.state.openFlows += 1;
  }
  const [near, far] = all.map((backend) => states.get(backend)!.openFlows);
  t.is(near! - far!, 2, 'a margin of one flow for each of two slots');
});

/** Flows that the own zone and another one of four back ends each get of `flows`, with the daemon's defaults. */
function flowsByZone(flows: number): { readonly own: number; readonly other: number } {
  const all = known('a', 'b', 'c', 'd', 'e', 'f', 'g', 'h');
  all.slice(4).forEach((backend) => (backend.record = { ...backend.record, zone: 'south' }));
  const states = new Map(all.map((backend) => [backend, new LocalBackendState(backend)]));
  const placement = new OpeningPlacement({
    zone: 'north',
    zoneMargin: DEFAULT_ZONE_MARGIN,
    zoneLoadFactor: DEFAULT_ZONE_LOAD_FACTOR,
  });
  const counts = { own: 0, other: 0 };
  for (let flow = 0; flow < flows; flow += 1) {
    const chosen = placement.choose(placementRequest(states, flow))!.state;
    chosen.openFlows += 1;
    counts[chosen.backend.record.zone === 'north' ? 'own' : 'other'] += 1;
  }
  return counts;
}

test('few flows stay in the own zone, and of many it gets no more than the factor allows', (t) => {
  t.deepEqual(flowsByZone(8), { own: 8, other: 0 });
  const { own, other } = flowsByZone(800);
  t.true(own / other > 1.4 && own / other < DEFAULT_ZONE_LOAD_FACTOR + 0.05, `${own} and ${other}`);
});

test('repeated trials that fail keep a back end out longer each time', (t) => {
  const [backend] = known('a') as [KnownBackend];
  const state = new LocalBackendState(backend);
  state.recordFailure(100, 0);
  t.false(state.tryEject(100, 50));
  t.is(state.liveness(120), 'suspect');
  state.recordFailure(200, 100);
  t.false(state.tryEject(200, 0), 'nobody else gave a sign of life either');
  t.true(state.tryEject(200, 150));
  t.is(state.liveness(1_199), 'ejected');
  t.is(state.liveness(1_300), 'trial');
  state.recordTrial(1_300);
  t.is(state.liveness(1_301), 'ejected', 'one trial at a time');
  state.recordFailure(1_500, 1_300);
  t.true(state.tryEject(1_500, 1_400));
  t.false(state.tryEject(3_600, 3_500), 'only a later failure leads to another ejection');
  t.is(state.liveness(3_400), 'ejected');
  t.is(state.liveness(3_600), 'trial');
  t.true(state.recordSignOfLife(3_700));
  t.is(state.liveness(3_701), 'alive');
  state.recordFailure(3_800, 3_600);
  t.is(state.failuresSinceSignOfLife, 0, 'a failure that began before the last sign of life');
});
