/**
 * Maps connection cookies to back ends. A cookie is a hash of the back end's id, so that all balancers compute the same
 * cookie without coordination. Where two ids collide, the back end that was recorded later gets a second hash; packets
 * with either are accepted. Owns both maps; relies on `CookieForwarder` to add and remove back ends.
 */
import { hashString } from '../../common/hash.js';
import type { KnownBackend } from '../routing/index.js';

/** Prefix of the id for the second hash. As a suffix it would give ids with equal hashes equal second hashes. */
const SECOND_PREFIX = '2:';

/** A cookie is never 0, which means "none yet". */
function cookieFrom(text: string): number {
  return hashString(text) || 1;
}

/** The cookies of all known back ends. */
export class CookieRegistry {
  private readonly primary = new Map<number, KnownBackend>();
  private readonly secondary = new Map<number, KnownBackend>();
  private collisionCount = 0;

  /** Collisions met since start. */
  get collisions(): number {
    return this.collisionCount;
  }

  /** Registers a back end's cookies. */
  add(backend: KnownBackend): void {
    const [first, second] = cookiesOf(backend.id);
    const holder = this.primary.get(first);
    if (!holder) this.primary.set(first, backend);
    else {
      this.collisionCount += 1;
      this.primary.set(first, earlier(holder, backend));
    }
    if (!this.secondary.has(second)) this.secondary.set(second, backend);
  }

  /** Forgets a back end's cookies. */
  remove(backend: KnownBackend): void {
    const [first, second] = cookiesOf(backend.id);
    if (this.primary.get(first) === backend) this.primary.delete(first);
    if (this.secondary.get(second) === backend) this.secondary.delete(second);
  }

  /** The cookie for flows of a back end; 0 when both of its hashes belong to other back ends. */
  cookieOf(backend: KnownBackend): number {
    const [first, second] = cookiesOf(backend.id);
    if (this.primary.get(first) === backend) return first;
    return !this.primary.has(second) && this.secondary.get(second) === backend ? second : 0;
  }

  /** The back end that a cookie names; undefined when it is not known. */
  backendOf(cookie: number): KnownBackend | undefined {
    return this.primary.get(cookie) ?? this.secondary.get(cookie);
  }
}

function cookiesOf(id: string): readonly [number, number] {
  return [cookieFrom(id), cookieFrom(SECOND_PREFIX + id)];
}

/** The back end that was recorded first keeps the cookie; equal revisions are ordered by id. */
function earlier(left: KnownBackend, right: KnownBackend): KnownBackend {
  const difference = left.record.createdRevision - right.record.createdRevision;
  if (difference !== 0) return difference < 0 ? left : right;
  return left.id < right.id ? left : right;
}
