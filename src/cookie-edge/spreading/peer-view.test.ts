/** The view of the peers, and the estimate of the fleet's size where not all of them are remembered. */
import test from 'ava';
import { seededRandom } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import {
  READS_PER_SECOND,
  MAX_PEERS,
  PEERS_PER_MESSAGE,
  PEER_FORGET_MS,
  SIZE_SAMPLE_FORGET_MS,
} from './constants.js';
import { PeerView } from './peer-view.js';
import { readBackoffMs } from './source-read-pacing.js';

const SILENT_EVENTS = { emit: () => undefined };
const PORT = 7_500;
const MS_A_SECOND = 1_000;

function endpointOf(index: number): Endpoint {
  return { host: `10.${1 + (index >> 16)}.${(index >> 8) & 255}.${index & 255}`, port: PORT };
}

function viewOf(index: number): PeerView {
  return new PeerView({
    self: endpointOf(index),
    zone: 'a',
    random: seededRandom(index + 1),
    events: SILENT_EVENTS,
  });
}

/** A view that heard of every one of `daemons`, several times, in random order. */
function viewThatHeardOf(daemons: number): PeerView {
  const view = viewOf(0);
  const random = seededRandom(daemons);
  for (let heard = 0; heard < daemons * 8; heard += 1) {
    view.record(endpointOf(Math.floor(random() * daemons)), 'a', 0);
  }
  view.recordDirect(endpointOf(1), 'a', 0);
  return view;
}

test('a small fleet is counted exactly', (t) => {
  const view = viewOf(0);
  for (let index = 0; index < 30; index += 1) view.recordDirect(endpointOf(index), 'a', 0);
  t.is(view.fleetSize, 30);
  t.is(view.reachableDaemons(0), 30);
});

for (const daemons of [200, 1_000, 2_400]) {
  test(`${daemons} daemons are estimated though only ${MAX_PEERS} are remembered`, (t) => {
    const view = viewThatHeardOf(daemons);
    t.is(view.size, MAX_PEERS);
    t.true(view.fleetSize > daemons * 0.6 && view.fleetSize < daemons * 1.6, String(view.fleetSize));
  });

  test(`${daemons} daemons without a confirmation together keep to the pace of asks`, (t) => {
    const view = viewThatHeardOf(daemons);
    const asksASecond = (daemons * MS_A_SECOND) / readBackoffMs(view.reachableDaemons(0));
    t.true(asksASecond < READS_PER_SECOND * 1.7, String(asksASecond));
  });
}

/** Daemons that everybody knows from the start, and part of the messages that go to them. */
const SEEDS = 3;
const SEED_SHARE = 0.1;

/** `rounds` in each of which every daemon asks a random peer or a seed, which answers, 500 ms apart. */
function gossip(views: readonly PeerView[], rounds: number): void {
  const random = seededRandom(7);
  for (let round = 0; round < rounds; round += 1) {
    const nowMs = round * 500;
    views.forEach((view, index) => {
      view.prune(nowMs);
      const [target] = random() < SEED_SHARE ? [] : view.sample(1);
      const other = target ? indexOf(target.endpoint) : Math.floor(random() * SEEDS);
      tell(view, index, views[other], nowMs);
      tell(views[other], other, view, nowMs);
    });
  }
}

/** One message from the daemon of `index` to another. */
function tell(from: PeerView | undefined, index: number, to: PeerView | undefined, nowMs: number): void {
  to?.recordDirect(endpointOf(index), 'a', nowMs);
  for (const peer of from?.introduce(PEERS_PER_MESSAGE) ?? []) to?.record(peer.endpoint, 'a', peer.heardAtMs);
}

function indexOf({ host }: Endpoint): number {
  const [, high, middle, low] = host.split('.').map(Number);
  return (((high ?? 1) - 1) << 16) | ((middle ?? 0) << 8) | (low ?? 0);
}

test('600 daemons that talk to each other agree on their number', (t) => {
  const views = Array.from({ length: 600 }, (_, index) => viewOf(index));
  gossip(views, 40);
  const estimates = views.map((view) => view.fleetSize).sort((left, right) => left - right);
  t.true((estimates[30] ?? 0) > 360, `low ${estimates[30]}`);
  t.true((estimates[570] ?? 0) < 960, `high ${estimates[570]}`);
});

test('a daemon of which nobody heard for long no longer counts', (t) => {
  const view = viewThatHeardOf(1_000);
  view.prune(PEER_FORGET_MS);
  t.is(view.size, 0);
  view.prune(SIZE_SAMPLE_FORGET_MS);
  t.is(view.fleetSize, 1);
});

test('a daemon that says that it stops no longer counts', (t) => {
  const view = viewOf(0);
  for (const index of [1, 2]) view.recordDirect(endpointOf(index), 'a', 0);
  view.remove(endpointOf(1));
  t.is(view.fleetSize, 2);
});
