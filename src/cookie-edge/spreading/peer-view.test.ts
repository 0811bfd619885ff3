/** The view of the peers, and the estimate of the fleet size when a daemon remembers only some of its peers. */
import test from 'ava';
import { seededRandom } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import {
  READS_PER_SECOND,
  MAX_PEERS,
  PEERS_PER_MESSAGE,
  PEER_TTL_MS,
  SKETCH_ENTRY_TTL_MS,
} from './constants.js';
import { PeerView } from './peer-view.js';
import { readBackoffMs } from './source-read-pacing.js';

const SILENT_EVENTS = { emit: () => undefined };
const PORT = 7_500;
const MS_PER_SECOND = 1_000;

function endpointOf(index: number): Endpoint {
  return { host: `10.${1 + (index >> 16)}.${(index >> 8) & 255}.${index & 255}`, port: PORT };
}

function createView(index: number): PeerView {
  return new PeerView({
    self: endpointOf(index),
    zone: 'a',
    random: seededRandom(index + 1),
    events: SILENT_EVENTS,
  });
}

/** Returns a view that has recorded random peers out of `daemons` peers, about eight times each. */
function createViewOfFleet(daemons: number): PeerView {
  const view = createView(0);
  const random = seededRandom(daemons);
  for (let recorded = 0; recorded < daemons * 8; recorded += 1) {
    view.record(endpointOf(Math.floor(random() * daemons)), 'a', 0);
  }
  view.recordDirectMessage(endpointOf(1), 'a', 0);
  return view;
}

test('a small fleet is counted exactly', (t) => {
  const view = createView(0);
  for (let index = 0; index < 30; index += 1) view.recordDirectMessage(endpointOf(index), 'a', 0);
  t.is(view.fleetSize, 30);
  t.is(view.reachableDaemons(0), 30);
});

for (const daemons of [200, 1_000, 2_400]) {
  test(`the size of a fleet of ${daemons} is estimated although only ${MAX_PEERS} peers are remembered`, (t) => {
    const view = createViewOfFleet(daemons);
    t.is(view.size, MAX_PEERS);
    t.true(view.fleetSize > daemons * 0.6 && view.fleetSize < daemons * 1.6, String(view.fleetSize));
  });

  test(`${daemons} daemons without a confirmation together keep to the rate limit of reads`, (t) => {
    const view = createViewOfFleet(daemons);
    const readsPerSecond = (daemons * MS_PER_SECOND) / readBackoffMs(view.reachableDaemons(0));
    t.true(readsPerSecond < READS_PER_SECOND * 1.7, String(readsPerSecond));
  });
}

/** Number of seeds, which all daemons know from the start, and the share of exchanges with a seed. */
const SEEDS = 3;
const SEED_MESSAGE_SHARE = 0.1;

/** Runs rounds, 500 ms apart, in which every daemon exchanges messages with a random peer or a seed. */
function runGossipRounds(views: readonly PeerView[], rounds: number): void {
  const random = seededRandom(7);
  for (let round = 0; round < rounds; round += 1) {
    const nowMs = round * 500;
    views.forEach((view, index) => {
      view.prune(nowMs);
      const [target] = random() < SEED_MESSAGE_SHARE ? [] : view.randomPeers(1);
      const targetIndex = target ? indexOfEndpoint(target.endpoint) : Math.floor(random() * SEEDS);
      deliverMessage(view, index, views[targetIndex], nowMs);
      deliverMessage(views[targetIndex], targetIndex, view, nowMs);
    });
  }
}

/** Delivers a message of the daemon `senderIndex`, whose view is `from`, to the daemon with the view `to`. */
function deliverMessage(
  from: PeerView | undefined,
  senderIndex: number,
  to: PeerView | undefined,
  nowMs: number,
): void {
  to?.recordDirectMessage(endpointOf(senderIndex), 'a', nowMs);
  for (const peer of from?.peersToAdvertise(PEERS_PER_MESSAGE) ?? [])
    to?.record(peer.endpoint, 'a', peer.heardAtMs);
}

function indexOfEndpoint({ host }: Endpoint): number {
  const [, high, middle, low] = host.split('.').map(Number);
  return (((high ?? 1) - 1) << 16) | ((middle ?? 0) << 8) | (low ?? 0);
}

test('600 daemons that gossip agree on the fleet size', (t) => {
  const views = Array.from({ length: 600 }, (_, index) => createView(index));
  runGossipRounds(views, 40);
  const estimates = views.map((view) => view.fleetSize).sort((left, right) => left - right);
  t.true((estimates[30] ?? 0) > 360, `low ${estimates[30]}`);
  t.true((estimates[570] ?? 0) < 960, `high ${estimates[570]}`);
});

test('a daemon that no message mentions for the TTL no longer counts', (t) => {
  const view = createViewOfFleet(1_000);
  view.prune(PEER_TTL_MS);
  t.is(view.size, 0);
  view.prune(SKETCH_ENTRY_TTL_MS);
  t.is(view.fleetSize, 1);
});

test('a daemon that announces its stop no longer counts', (t) => {
  const view = createView(0);
  for (const index of [1, 2]) view.recordDirectMessage(endpointOf(index), 'a', 0);
  view.remove(endpointOf(1));
  t.is(view.fleetSize, 2);
});
