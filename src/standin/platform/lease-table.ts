/** Leases with expiry and fencing tokens. */
import type { Clock } from '../../common/clock.js';

interface HeldLease {
  readonly holder: string;
  readonly caller: string;
  readonly fencingToken: number;
  readonly expiresAtMs: number;
}

type LeaseOutcome =
  | { readonly granted: true; readonly fencingToken: number }
  | { readonly granted: false; readonly holder: string; readonly remainingMs: number };

export class LeaseTable {
  private readonly leases = new Map<string, HeldLease>();

  constructor(
    private readonly clock: Clock,
    private readonly nextToken: () => number,
  ) {}

  /** Grants a free or expired lease with a new token; renews the holder's own with its old one. */
  acquire(name: string, holder: string, durationMs: number, caller = holder): LeaseOutcome {
    const nowMs = this.clock.now();
    const held = this.leases.get(name);
    const live = held !== undefined && held.expiresAtMs > nowMs;
    if (live && held.holder !== holder) {
      return { granted: false, holder: held.holder, remainingMs: held.expiresAtMs - nowMs };
    }
    const fencingToken = live ? held.fencingToken : this.nextToken();
    this.leases.set(name, { holder, caller, fencingToken, expiresAtMs: nowMs + durationMs });
    return { granted: true, fencingToken };
  }

  /** Frees a lease; false when the token is not the one in force. */
  release(name: string, fencingToken: number): boolean {
    if (this.leases.get(name)?.fencingToken !== fencingToken) return false;
    this.leases.delete(name);
    return true;
  }

  /** Callers that hold the leases that have not expired, by lease name. */
  holdingCallers(): Record<string, string> {
    const nowMs = this.clock.now();
    const live = [...this.leases].filter(([, lease]) => lease.expiresAtMs > nowMs);
    return Object.fromEntries(live.map(([name, lease]) => [name, lease.caller]));
  }
}
