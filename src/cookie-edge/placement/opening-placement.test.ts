/** Distribution of new flows by capacity, slow start, load reports and zones under all placement rules together. */
import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { hashString } from '../../common/hash.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { LocalBackendState } from '../backend-health/local-backend-state.js';
import { DEFAULT_ZONE_LOAD_FACTOR, DEFAULT_ZONE_MARGIN } from '../daemon/constants.js';
import { placementRequest } from '../forwarding/cookie-test-support.js';
import { BackendRegistry, type KnownBackend } from '../routing/index.js';
import { backendAt } from '../routing/routing-test-support.js';
import { OpeningPlacement } from './opening-placement.js';

/** Registers back ends with these ids, in this order. */
function registerBackends(...ids: string[]): KnownBackend[] {
  const clock = new VirtualClock();
  const registry = new BackendRegistry({ clock, events: SILENT_EVENT_LOG, retentionMs: 1_000 });
  ids.forEach((id, index) => registry.put(backendAt(id, index + 1), -1));
  return ids.map((id) => registry.get(id)!);
}

test('new flows are distributed by capacity, and a cold back end gets half of its share', (t) => {
  const all = registerBackends('a', 'b', 'c');
  all[1]!.record = backendAt('b', 9, { capacity: 4 });
  all[2]!.coldUntilMs = 1_000;
  const states = new Map(all.map((backend) => [backend, new LocalBackendState(backend)]));
  const placement = new OpeningPlacement({ zone: 'north', zoneMargin: 0, zoneLoadFactor: 1 });
  for (let flow = 0; flow < 140; flow += 1) {
    const choice = placement.chooseBackend(placementRequest(states, flow));
    choice!.state.openFlows += 1;
  }
  t.deepEqual(
    all.map((backend) => states.get(backend)!.openFlows),
    [40, 80, 20],
  );
});

test('of equally loaded back ends, a busy one is passed over while own flows are few', (t) => {
  const all = registerBackends('a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i');
  const states = new Map(all.map((backend) => [backend, new LocalBackendState(backend)]));
  const stateOf = (index: number): LocalBackendState => states.get(all[index]!)!;
  const idleHash = stateOf(2).idHash;
  const loads = { hasValidReport: () => true, levelOf: (idHash: number) => (idHash === idleHash ? 1 : 1.5) };
  const placement = new OpeningPlacement({ zone: 'north', zoneMargin: 0, zoneLoadFactor: 1, loads });
  const countIdleChoices = (): number => {
    const chosen = Array.from({ length: 90 }, (_, flow) =>
      placement.chooseBackend(placementRequest(states, flow)),
    );
    return chosen.filter((choice) => choice!.state === stateOf(2)).length;
  };
  t.true(
    countIdleChoices() > 30,
    'the idle back end is among the four compared of nine in four of nine choices',
  );
  stateOf(0).openFlows = 1;
  stateOf(1).openFlows = 1;
  t.true(countIdleChoices() > 30);
  stateOf(3).openFlows = 1;
  t.true(countIdleChoices() < 25, 'own flows to a third of the back ends take precedence over reports');
  stateOf(2).openFlows = 1;
  t.is(countIdleChoices(), 0, 'a lower number of own flows takes precedence over reports');
});

test('balancers with the same report make the same choice, so that retransmissions of a SYN reach one back end', (t) => {
  const ids = Array.from({ length: 40 }, (_, index) => `b-${index}`);
  const all = registerBackends(...ids);
  const busy = new Set(ids.slice(0, 16).map((id) => hashString(id)));
  const loads = { hasValidReport: () => true, levelOf: (idHash: number) => (busy.has(idHash) ? 1.3 : 1) };
  const createChooser = (): ((flow: number) => string) => {
    const states = new Map(all.map((backend) => [backend, new LocalBackendState(backend)]));
    const placement = new OpeningPlacement({ zone: 'north', zoneMargin: 0.5, zoneLoadFactor: 1, loads });
    return (flow) => placement.chooseBackend(placementRequest(states, flow))!.state.backend.id;
  };
  const [chooseAtFirst, chooseAtSecond] = [createChooser(), createChooser()];
  for (let flow = 0; flow < 200; flow += 1) t.is(chooseAtFirst(flow), chooseAtSecond(flow));
});

test("back ends of the balancer's zone are preferred only within the margin", (t) => {
  const all = registerBackends('near', 'far');
  all[1]!.record = backendAt('far', 9, { zone: 'south' });
  const states = new Map(all.map((backend) => [backend, new LocalBackendState(backend)]));
  const placement = new OpeningPlacement({ zone: 'north', zoneMargin: 1, zoneLoadFactor: 1 });
  for (let flow = 0; flow < 20; flow += 1) {
    const choice = placement.chooseBackend(placementRequest(states, flow));
    choice!.state.openFlows += 1;
  }
  const [near, far] = all.map((backend) => states.get(backend)!.openFlows);
  t.is(near! - far!, 2, 'a margin of one flow per slot with two slots');
});

/** Places `flows` flows on two zones of four back ends each with the daemon's defaults; counts them by zone. */
function countFlowsByZone(flows: number): { readonly own: number; readonly other: number } {
  const all = registerBackends('a', 'b', 'c', 'd', 'e', 'f', 'g', 'h');
  all.slice(4).forEach((backend) => (backend.record = { ...backend.record, zone: 'south' }));
  const states = new Map(all.map((backend) => [backend, new LocalBackendState(backend)]));
  const placement = new OpeningPlacement({
    zone: 'north',
    zoneMargin: DEFAULT_ZONE_MARGIN,
    zoneLoadFactor: DEFAULT_ZONE_LOAD_FACTOR,
  });
  const counts = { own: 0, other: 0 };
  for (let flow = 0; flow < flows; flow += 1) {
    const chosen = placement.chooseBackend(placementRequest(states, flow))!.state;
    chosen.openFlows += 1;
    counts[chosen.backend.record.zone === 'north' ? 'own' : 'other'] += 1;
  }
  return counts;
}

test("few flows stay in the balancer's zone, and its share of many flows is bounded by the zone load factor", (t) => {
  t.deepEqual(countFlowsByZone(8), { own: 8, other: 0 });
  const { own, other } = countFlowsByZone(800);
  t.true(own / other > 1.4 && own / other < DEFAULT_ZONE_LOAD_FACTOR + 0.05, `${own} and ${other}`);
});
