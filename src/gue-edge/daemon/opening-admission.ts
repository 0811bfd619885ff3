/**
 * Decides whether the daemon admits an opening: memory first, then the limits of the service and of its client.
 *
 * What the rule prevents: that the process runs out of memory, which would cost all its flows. Memory comes first,
 * because the limiter counts an opening that it admits against the client. Openings are refused only; open flows go
 * on.
 *
 * Owns nothing; relies on the memory guard (`limit-guard.ts`), which may be a second old, and on the limiter of the
 * flow table.
 */
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
