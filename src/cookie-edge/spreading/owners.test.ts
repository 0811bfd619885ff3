/** Which daemons own a key: those that know the same peers agree. */
import test from 'ava';
import { seededRandom } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { PeerView } from './peer-view.js';

const OWNERS = 2;
const KEYS = Array.from({ length: 200 }, (_unused, index) => `i-${(index * 7919).toString(16)}`);

function addressOf(index: number): Endpoint {
  return { host: `10.${index >> 14}.${(index >> 6) & 0xff}.${(index & 0x3f) + 1}`, port: 7_720 };
}

/** The views of `size` daemons that have all heard of each other. */
function viewsOf(size: number): PeerView[] {
  const addresses = Array.from({ length: size }, (_unused, index) => addressOf(index));
  return addresses.map((self, index) => {
    const random = seededRandom(index + 1);
    const view = new PeerView({ self, zone: 'z', random, events: SILENT_EVENT_LOG });
    for (const peer of addresses) view.record(peer, 'z', 0);
    return view;
  });
}

for (const size of [1, 2, 7, 74, 300, 600]) {
  test(`${size} daemons: each key has ${Math.min(size, OWNERS)} owners, and keys are spread`, (t) => {
    const views = viewsOf(size);
    const owned = views.map((view) => KEYS.filter((key) => view.isOwner(key, OWNERS)).length);
    const perKey = KEYS.map((key) => views.filter((view) => view.isOwner(key, OWNERS)).length);
    t.deepEqual(new Set(perKey), new Set([Math.min(size, OWNERS)]));
    const holders = Math.min(size, size <= 128 ? size : 32);
    t.true(Math.max(...owned) <= (4 * OWNERS * KEYS.length) / holders + 4, `${Math.max(...owned)}`);
  });
}
