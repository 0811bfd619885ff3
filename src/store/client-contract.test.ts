/** Contract of the platform client, against the HTTP stand-in and the in-memory one. */
import test, { type ExecutionContext } from 'ava';
import { VirtualClock } from '../common/clock.js';
import { InMemoryPlatform } from '../standin/platform/index.js';
import { eventually, kindOf, withStandin } from './client-test-support.js';
import type { StoreClient, StoredObject } from './types.js';

const KEY = 'settings/tree';
const LEASE = 'readers/region-1/0';

interface Contract {
  readonly name: string;
  readonly run: (
    t: ExecutionContext,
    first: StoreClient,
    second: StoreClient,
    clock: VirtualClock,
  ) => Promise<void>;
}

const CONTRACT: readonly Contract[] = [
  {
    name: 'an absent object reads as undefined',
    run: async (t, first) => {
      t.is((await first.get(KEY)).unwrapOr({} as never), undefined);
    },
  },
  {
    name: 'a write needs the version in the store, and versions rise across objects',
    run: async (t, first, second) => {
      const created = (await first.putIfVersion(KEY, { weight: 1 }, 0)).unwrapOr(undefined);
      t.is(kindOf(await second.putIfVersion(KEY, { weight: 2 }, 0)), 'platform.version-conflict');
      const other = (await second.putIfVersion('other', 1, 0)).unwrapOr(undefined);
      const changed = (await second.putIfVersion(KEY, { weight: 3 }, created?.version ?? 0)).unwrapOr(
        undefined,
      );
      t.true((created?.version ?? 0) < (other?.version ?? 0));
      t.true((other?.version ?? 0) < (changed?.version ?? 0));
      t.deepEqual((await first.get(KEY)).unwrapOr(undefined), changed);
    },
  },
  {
    name: 'a lease has one holder; renewal keeps the token, expiry and release give a higher one',
    run: async (t, first, second, clock) => {
      const granted = (await first.acquireLease(LEASE, 'first', 5_000)).unwrapOr(undefined);
      t.is(kindOf(await second.acquireLease(LEASE, 'second', 5_000)), 'platform.lease-held');
      clock.advance(1_000);
      const renewed = (await first.acquireLease(LEASE, 'first', 5_000)).unwrapOr(undefined);
      t.is(renewed?.fencingToken, granted?.fencingToken);
      clock.advance(4_999);
      t.is(kindOf(await second.acquireLease(LEASE, 'second', 5_000)), 'platform.lease-held');
      t.true((renewed?.trustedUntilMs ?? Infinity) < clock.now());
      clock.advance(1);
      const taken = (await second.acquireLease(LEASE, 'second', 5_000)).unwrapOr(undefined);
      t.true((taken?.fencingToken ?? 0) > (renewed?.fencingToken ?? 0));
      if (renewed) t.is(kindOf(await first.releaseLease(renewed)), 'ok');
      t.is(kindOf(await first.acquireLease(LEASE, 'first', 5_000)), 'platform.lease-held');
      if (taken) t.is(kindOf(await second.releaseLease(taken)), 'ok');
      const again = (await first.acquireLease(LEASE, 'first', 5_000)).unwrapOr(undefined);
      t.true((again?.fencingToken ?? 0) > (taken?.fencingToken ?? 0));
    },
  },
  {
    name: 'a watch yields what is newer than its start, in order',
    run: async (t, first, second) => {
      const before = (await first.putIfVersion(KEY, 'a', 0)).unwrapOr(undefined)?.version ?? 0;
      const ending = new AbortController();
      const seen: StoredObject<string>[] = [];
      const watching = (async () => {
        for await (const object of first.watch<string>(KEY, before, ending.signal)) seen.push(object);
      })();
      let version = before;
      for (const value of ['b', 'c']) {
        version = (await second.putIfVersion(KEY, value, version)).unwrapOr(undefined)?.version ?? 0;
        await eventually(t, () => seen.at(-1)?.value === value);
      }
      ending.abort();
      await watching;
      t.deepEqual(
        seen.map((object) => object.value),
        ['b', 'c'],
      );
    },
  },
];

for (const { name, run } of CONTRACT) {
  test(`HTTP: ${name}`, async (t) => {
    const clock = new VirtualClock();
    await withStandin((_standin, client) => run(t, client, client, clock), {}, clock);
  });

  test(`in memory: ${name}`, async (t) => {
    const clock = new VirtualClock();
    const platform = new InMemoryPlatform(clock);
    await run(t, platform.client('first'), platform.client('second'), clock);
  });
}
