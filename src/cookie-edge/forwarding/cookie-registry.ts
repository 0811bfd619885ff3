/**
 * Maps connection cookies to back ends. A cookie is a hash of the back end's id, so that all balancers compute the same
 * cookie without coordination. Where two ids collide, the back end that was recorded later gets a second hash; packets
 * with either are accepted. Owns both maps; relies on `CookieForwarder` to add and remove back ends.
 */
import { hashString } from '../../common/hash.js';
import type { KnownBackend } from '../routing/index.js';

/** Prefix of the id for the second hash. As a suffix it would give ids with equal hashes equal second hashes. */
const SECOND_HASH_PREFIX = '2:';

/** A cookie is never 0, which means "none yet". */
function hashToCookie(text: string): number {
  return hashString(text) || 1;
}

/** The cookies of all known back ends. */
export class CookieRegistry {
  private readonly byPrimaryCookie = new Map<number, KnownBackend>();
  private readonly bySecondaryCookie = new Map<number, KnownBackend>();
  private collisionCount = 0;

  /** Collisions met since start. */
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
      this.byPrimaryCookie.set(first, earlierRecorded(holder, backend));
    }
    if (!this.bySecondaryCookie.has(second)) this.bySecondaryCookie.set(second, backend);
  }

  /** Forgets a back end's cookies. */
  remove(backend: KnownBackend): void {
    const [first, second] = cookiesOf(backend.id);
    if (this.byPrimaryCookie.get(first) === backend) this.byPrimaryCookie.delete(first);
    if (this.bySecondaryCookie.get(second) === backend) this.bySecondaryCookie.delete(second);
  }

  /** The cookie for flows of a back end; 0 when both of its hashes belong to other back ends. */
  cookieOf(backend: KnownBackend): number {
    const [first, second] = cookiesOf(backend.id);
    if (this.byPrimaryCookie.get(first) === backend) return first;
    return !this.byPrimaryCookie.has(second) && this.bySecondaryCookie.get(second) === backend ? second : 0;
  }

  /** The back end that a cookie names; undefined when it is not known. */
  backendOf(cookie: number): KnownBackend | undefined {
    return this.byPrimaryCookie.get(cookie) ?? this.bySecondaryCookie.get(cookie);
  }
}

function cookiesOf(id: string): readonly [number, number] {
  return [hashToCookie(id), hashToCookie(SECOND_HASH_PREFIX + id)];
}

/** The back end that was recorded first keeps the cookie; equal revisions are ordered by id. */
function earlierRecorded(left: KnownBackend, right: KnownBackend): KnownBackend {
  const difference = left.record.createdRevision - right.record.createdRevision;
  if (difference !== 0) return difference < 0 ? left : right;
  return left.id < right.id ? left : right;
}
