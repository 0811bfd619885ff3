/** Admits openings: memory first, then the service's and client's limits. */
import type { OpeningAdmission } from '../flow/index.js';
import type { RefusalReason } from '../placement/types.js';
import type { EffectiveService } from '../../settings/types.js';

/** The admission of one daemon. */
export class LimitedAdmission implements OpeningAdmission {
  constructor(
    private readonly memoryExceeded: () => boolean,
    private readonly limiter: OpeningAdmission,
  ) {}

  admit(
    service: EffectiveService,
    clientAddress: number,
    openFlowsOfService: number,
  ): RefusalReason | undefined {
    if (this.memoryExceeded()) return 'balancer-memory-limit';
    return this.limiter.admit(service, clientAddress, openFlowsOfService);
  }
}
