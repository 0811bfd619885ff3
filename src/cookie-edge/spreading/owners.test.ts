/** Daemons that know the same peers agree on the owners of a key. */
import test from 'ava';
import { seededRandom } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { PeerView } from './peer-view.js';

const OWNERS = 2;
const KEYS = Array.from({ length: 200 }, (_unused, index) => `i-${(index * 7919).toString(16)}`);

function endpointOf(index: number): Endpoint {
  return { host: `10.${index >> 14}.${(index >> 6) & 0xff}.${(index & 0x3f) + 1}`, port: 7_720 };
}

/** Returns the views of `size` daemons, each of which has recorded all others. */
function createViews(size: number): PeerView[] {
  const endpoints = Array.from({ length: size }, (_unused, index) => endpointOf(index));
  return endpoints.map((self, index) => {
    const random = seededRandom(index + 1);
    const view = new PeerView({ self, zone: 'z', random, events: SILENT_EVENT_LOG });
    for (const peer of endpoints) view.record(peer, 'z', 0);
    return view;
  });
}

for (const size of [1, 2, 7, 74, 300, 600]) {
  test(`${size} daemons: each key has ${Math.min(size, OWNERS)} owners, and keys are distributed evenly`, (t) => {
    const views = createViews(size);
    const keysPerDaemon = views.map((view) => KEYS.filter((key) => view.isOwner(key, OWNERS)).length);
    const ownersPerKey = KEYS.map((key) => views.filter((view) => view.isOwner(key, OWNERS)).length);
    t.deepEqual(new Set(ownersPerKey), new Set([Math.min(size, OWNERS)]));
    const ownerCandidates = Math.min(size, size <= 128 ? size : 32);
    t.true(
      Math.max(...keysPerDaemon) <= (4 * OWNERS * KEYS.length) / ownerCandidates + 4,
      `${Math.max(...keysPerDaemon)}`,
    );
  });
}
