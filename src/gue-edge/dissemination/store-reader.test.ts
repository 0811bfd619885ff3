/** The reader's leases: one process for each, and none beyond the time that can be trusted. */
import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import { PausableClock } from '../testing/pausable-clock.js';
import type { Member } from '../membership/types.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { InMemoryPlatform } from '../../standin/platform/in-memory-platform.js';
import { newCounters } from './statistics.js';
import { StoreReader } from './store-reader.js';

const NAME = 'balancer-0';
const ENDPOINT = { host: '127.0.0.1', port: 1 };
const MEMBER: Member = {
  id: NAME,
  region: 'r',
  zone: 'a',
  control: ENDPOINT,
  admin: ENDPOINT,
  data: ENDPOINT,
  incarnation: 1,
  state: 'active',
  settingsVersion: 0,
};

function startReader(platform: InMemoryPlatform, clock: PausableClock, seed: number, signal: AbortSignal) {
  const view = { sequence: 1, members: [MEMBER], digest: 0, quorate: true };
  const reader = new StoreReader({
    platform: platform.client(NAME, clock),
    membership: { selfId: NAME, view: () => view, subscribe: () => () => undefined },
    region: 'r',
    treeKey: 'settings/tree',
    clock,
    random: seededRandom(seed),
    events: SILENT_EVENT_LOG,
    counters: newCounters(),
    versionInForce: () => 0,
    onDocument: () => undefined,
  });
  return { reader, ended: reader.run(signal) };
}

test('a paused process and its replacement of the same name never trust one lease at once', async (t) => {
  const clock = new VirtualClock();
  const platform = new InMemoryPlatform(clock);
  const ending = new AbortController();
  const oldClock = new PausableClock(clock);
  const old = startReader(platform, oldClock, 1, ending.signal);
  await clock.advanceAsync(100);
  t.is(old.reader.leaseName(), 'readers/r/0');
  oldClock.pause();
  const replacement = startReader(platform, new PausableClock(clock), 2, ending.signal);
  for (let step = 0; step < 600; step += 1) {
    if (step === 300) oldClock.resume();
    await clock.advanceAsync(50);
    const [left, right] = [old.reader.leaseName(), replacement.reader.leaseName()];
    t.true(left === undefined || left !== right, `both hold ${left} at ${clock.now()} ms`);
  }
  t.truthy(replacement.reader.leaseName());
  ending.abort();
  await clock.advanceAsync(50);
  await Promise.all([old.ended, replacement.ended]);
  t.deepEqual(platform.counters().leases, {}, 'a planned stop gives the leases back');
});
