/**
 * The platform's lease `quorum/<region>`: the witness that lets a sole survivor be quorate.
 *
 * In a quorate region of several members the lowest-id one holds it, so that a member cut off from the others
 * cannot get it. A sole survivor tries only after witnessWaitMs, which is longer than the lease: a majority
 * elsewhere comes first.
 *
 * Owns the lease and what is known of it. Relies on `quorum-decision.ts` for whether it is wanted, and on the
 * store's client for how long it is trusted.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import type { Lease, StoreClient } from '../../store/types.js';

/** The part of the platform client that is used. */
export type LeasePlatform = Pick<StoreClient, 'acquireLease' | 'releaseLease'>;

/** `unknown`: not asked yet or trust has run out. `unavailable`: the platform did not answer. */
export type LeaseStanding = 'unknown' | 'held' | 'held-by-other' | 'unavailable';

/** Renewals in the duration of a lease, so that one renewal may be lost. */
const RENEWALS_PER_LEASE = 3;

/** What the lease is kept with. */
interface QuorumLeaseOptions {
  readonly clock: Clock;
  /** Undefined: there is no platform, and the lease is unavailable for good. */
  readonly platform: LeasePlatform | undefined;
  readonly leaseName: string;
  /** Id of this member. */
  readonly holder: string;
  readonly durationMs: number;
  /** Asked before each acquisition and renewal, and after each answer. */
  readonly wanted: () => boolean;
  /** Called when an answer of the platform changed the standing. */
  readonly onChange: () => void;
}

/** Keeps, or keeps trying for, the lease while `wanted` says so. */
export class QuorumLease {
  private lease: Lease | undefined;
  private lastStanding: LeaseStanding = 'unknown';
  private timer: TimerHandle | undefined;
  private isRequesting = false;
  private stopped = false;

  constructor(private readonly options: QuorumLeaseOptions) {
    if (!options.platform) this.lastStanding = 'unavailable';
  }

  /** What is known about the lease now. */
  standing(): LeaseStanding {
    if (this.lastStanding !== 'held') return this.lastStanding;
    const trusted = this.lease !== undefined && this.options.clock.now() < this.lease.trustedUntilMs;
    return trusted ? 'held' : 'unknown';
  }

  start(): void {
    if (!this.options.platform || this.stopped) return;
    this.timer = this.options.clock.schedule(this.options.durationMs / RENEWALS_PER_LEASE, () => {
      void this.refresh();
      this.start();
    });
  }

  /** Gives the lease up and forgets what was known. */
  drop(): void {
    const { lease } = this;
    this.lease = undefined;
    this.lastStanding = this.options.platform ? 'unknown' : 'unavailable';
    // A lease that could not be released runs out by itself.
    if (lease) void this.options.platform?.releaseLease(lease).catch(() => undefined);
  }

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
    this.drop();
  }

  /** Acquires or renews when wanted, gives up when not. One request at a time. */
  async refresh(): Promise<void> {
    if (!this.options.platform || this.isRequesting || this.stopped) return;
    if (!this.options.wanted()) {
      if (this.lastStanding !== 'unknown') this.drop();
      return;
    }
    this.isRequesting = true;
    const standing = await this.requestLease(this.options.platform);
    this.isRequesting = false;
    const changed = standing !== this.lastStanding;
    this.lastStanding = standing;
    if (this.stopped || !this.options.wanted()) this.drop();
    if (changed) this.options.onChange();
  }

  private async requestLease(platform: LeasePlatform): Promise<LeaseStanding> {
    const acquired = await platform.acquireLease(
      this.options.leaseName,
      this.options.holder,
      this.options.durationMs,
    );
    if (acquired.isOk) {
      this.lease = acquired.value;
      return 'held';
    }
    if (acquired.error.kind === 'platform.lease-held') return 'held-by-other';
    return this.lease && this.options.clock.now() < this.lease.trustedUntilMs ? 'held' : 'unavailable';
  }
}
