/** Guards against colliding cookies, and against cookies that still lead to a removed back end. */
import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { BackendRegistry, type KnownBackend } from '../routing/index.js';
import { backendAt } from '../routing/routing-test-support.js';
import { CookieRegistry } from './cookie-registry.js';

/** Registers back ends with these ids in this order and returns them. */
function registerBackends(...ids: string[]): KnownBackend[] {
  const clock = new VirtualClock();
  const registry = new BackendRegistry({ clock, events: SILENT_EVENT_LOG, retentionMs: 1_000 });
  ids.forEach((id, index) => registry.put(backendAt(id, index + 1), -1));
  return ids.map((id) => registry.get(id)!);
}

/** Finds two ids with equal first cookies by trying; about 100,000 ids contain one such pair. */
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

test('two back ends with colliding hashes have different cookies, whichever is added first', (t) => {
  const [first, second] = collidingIds();
  const [earlier, later] = registerBackends(first, second) as [KnownBackend, KnownBackend];
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
  t.is(
    alone.backendOf(cookies[0]![1]!),
    later,
    'a registry without the earlier back end also finds the later one by its second cookie',
  );
});

test('a SYN carries another cookie than an established flow, and both find the back end', (t) => {
  const registry = new CookieRegistry();
  const [backend] = registerBackends('a') as [KnownBackend];
  registry.add(backend);
  const [opening, established] = [registry.openingCookieOf(backend), registry.cookieOf(backend)];
  t.not(opening, established);
  t.is(registry.backendOf(opening), backend);
  t.true(registry.isOpeningCookie(opening, backend));
  t.false(registry.isOpeningCookie(established, backend));
});

test('a back end that lost its first cookie to another one uses its second cookie for both purposes', (t) => {
  const registry = new CookieRegistry();
  const [earlier, later] = registerBackends(...collidingIds()) as [KnownBackend, KnownBackend];
  registry.add(earlier);
  registry.add(later);
  t.is(registry.openingCookieOf(later), registry.cookieOf(later));
  t.false(registry.isOpeningCookie(registry.cookieOf(later), later));
});

test('a removed back end is no longer found by its cookie', (t) => {
  const [backend] = registerBackends('a') as [KnownBackend];
  const registry = new CookieRegistry();
  registry.add(backend);
  const cookie = registry.cookieOf(backend);
  t.not(cookie, 0);
  registry.remove(backend);
  t.is(registry.backendOf(cookie), undefined);
});
