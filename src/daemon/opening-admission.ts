/** Admits openings: memory first, then the service's and client's limits; counts refusals by reason. */
import type { OpeningAdmission } from '../flow/index.js';
import type { RefusalReason } from '../placement/types.js';
import type { EffectiveService } from '../settings/types.js';

/** The admission of one daemon. */
export class CountingAdmission implements OpeningAdmission {
  private readonly counts = new Map<RefusalReason, number>();

  constructor(
    private readonly memoryExceeded: () => boolean,
    private readonly limiter: OpeningAdmission,
  ) {}

  admit(
    service: EffectiveService,
    clientAddress: number,
    openFlowsOfService: number,
  ): RefusalReason | undefined {
    const reason = this.memoryExceeded()
      ? 'balancer-memory-limit'
      : this.limiter.admit(service, clientAddress, openFlowsOfService);
    if (reason) this.counts.set(reason, (this.counts.get(reason) ?? 0) + 1);
    return reason;
  }

  /** Refusals by reason since start. */
  refusals(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.counts);
  }
}
