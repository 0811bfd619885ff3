/**
 * Maps connection cookies to back ends. Cookies are two hashes of the back end's id, so all daemons compute the same
 * cookies without coordination. Packets of an established flow carry the first hash. SYNs carry the second one, the
 * opening cookie, which tells daemons that the caller may have acknowledged another back end (`mid-flow-rule.ts`). If
 * the first hashes of two ids collide, the back end whose record was created later uses its second hash for both
 * purposes. `CookieForwarder` adds and removes the back ends.
 */
import { hashString } from '../../common/hash.js';
import type { KnownBackend } from '../routing/index.js';

/** Prefix of the id for the second hash. A suffix would give ids with equal first hashes equal second hashes too. */
const SECOND_HASH_PREFIX = '2:';

/** Returns a cookie other than 0, which means that a packet has no cookie yet. */
function hashToCookie(text: string): number {
  return hashString(text) || 1;
}

/** Cookies of all known back ends. */
export class CookieRegistry {
  private readonly byPrimaryCookie = new Map<number, KnownBackend>();
  private readonly bySecondaryCookie = new Map<number, KnownBackend>();
  private collisionCount = 0;

  /** Number of collisions since start. */
  get collisions(): number {
    return this.collisionCount;
  }

  /** Registers a back end's cookies. */
  add(backend: KnownBackend): void {
    const [first, second] = cookiesOf(backend.id);
    const holder = this.byPrimaryCookie.get(first);
    if (!holder) this.byPrimaryCookie.set(first, backend);
    else {
      this.collisionCount += 1;
      this.byPrimaryCookie.set(first, earlierCreated(holder, backend));
    }
    if (!this.bySecondaryCookie.has(second)) this.bySecondaryCookie.set(second, backend);
  }

  /** Removes a back end's cookies. */
  remove(backend: KnownBackend): void {
    const [first, second] = cookiesOf(backend.id);
    if (this.byPrimaryCookie.get(first) === backend) this.byPrimaryCookie.delete(first);
    if (this.bySecondaryCookie.get(second) === backend) this.bySecondaryCookie.delete(second);
  }

  /** Returns the cookie for a back end's established flows, or 0 if both of its hashes belong to other back ends. */
  cookieOf(backend: KnownBackend): number {
    const [first, second] = cookiesOf(backend.id);
    if (this.byPrimaryCookie.get(first) === backend) return first;
    return !this.byPrimaryCookie.has(second) && this.bySecondaryCookie.get(second) === backend ? second : 0;
  }

  /** Returns the cookie for SYNs to a back end; that of established flows if its second hash is not its own. */
  openingCookieOf(backend: KnownBackend): number {
    const [, second] = cookiesOf(backend.id);
    const isOwnCookie = !this.byPrimaryCookie.has(second) && this.bySecondaryCookie.get(second) === backend;
    return isOwnCookie ? second : this.cookieOf(backend);
  }

  /** Returns true if a cookie of `backend` was written into a SYN, not into a packet of an established flow. */
  isOpeningCookie(cookie: number, backend: KnownBackend): boolean {
    return cookie !== this.cookieOf(backend);
  }

  /** Returns the back end with this cookie, or undefined if there is none. */
  backendOf(cookie: number): KnownBackend | undefined {
    return this.byPrimaryCookie.get(cookie) ?? this.bySecondaryCookie.get(cookie);
  }
}

function cookiesOf(id: string): readonly [number, number] {
  return [hashToCookie(id), hashToCookie(SECOND_HASH_PREFIX + id)];
}

/**
 * Returns the back end that keeps the cookie: the one whose record was created first, or the one with the lower id if
 * the revisions are equal.
 */
function earlierCreated(left: KnownBackend, right: KnownBackend): KnownBackend {
  const difference = left.record.createdRevision - right.record.createdRevision;
  if (difference !== 0) return difference < 0 ? left : right;
  return left.id < right.id ? left : right;
}
