/**
 * Resets the open flows of a dead back end, so that their callers need not wait for their timeouts, and logs the
 * reason. Owns no state; uses the flow cache to find the flows and the edge to send the resets.
 */
import type { Clock } from '../../common/clock.js';
import type { CookieEdgePort } from '../../fabric/cookie-edge.js';
import type { EventFields, EventLog } from '../../observability/event.js';
import { COOKIE_FLOW_EVENTS } from '../forwarding/events.js';
import { formatFlowId } from '../forwarding/flow-id.js';
import type { CookieStatistics, FlowCache } from '../forwarding/index.js';
import { resetTargetOf } from '../forwarding/reset-target.js';
import type { DeathProof } from './dead-verdict.js';
import type { LocalBackendState } from './local-backend-state.js';

/** Dependencies of `FlowResetter`. */
interface FlowResetterOptions {
  readonly clock: Clock;
  readonly cache: FlowCache;
  readonly edge: Pick<CookieEdgePort, 'sendResetTo'>;
  readonly statistics: CookieStatistics;
  readonly events: EventLog;
}

/** Resets the open flows at dead back ends. */
export class FlowResetter {
  constructor(private readonly options: FlowResetterOptions) {}

  /**
   * Resets the flows at a back end that was just declared dead.
   *
   * @param evidence additional fields of the log line
   */
  reset(state: LocalBackendState, proof: DeathProof, evidence: EventFields = {}): void {
    const nowMs = this.options.clock.now();
    // Does not reset openings: another daemon may have received a retransmission of the SYN and opened the flow at
    // another back end, and a reset would end that flow. The next retransmission that arrives here is placed anew.
    const flows = this.options.cache.openFlowsAt(state).filter(({ phase }) => phase !== 'opening');
    const { backend, lastSignOfLifeMs } = state;
    this.options.events.emit(COOKIE_FLOW_EVENTS.backendDead, {
      backend: backend.id,
      service: backend.record.service,
      zone: backend.record.zone,
      proof,
      flows: flows.length,
      lastSignOfLifeMs: Number.isFinite(lastSignOfLifeMs) ? Math.round(nowMs - lastSignOfLifeMs) : undefined,
      ...evidence,
    });
    for (const flow of flows) {
      const target = resetTargetOf(flow);
      this.options.edge.sendResetTo(target);
      this.options.cache.remove(flow);
      this.options.statistics.resets += 1;
      this.options.events.emit(COOKIE_FLOW_EVENTS.flowReset, {
        flow: formatFlowId(target),
        backend: backend.id,
        proof,
        silentMs: Math.round(nowMs - flow.lastPacketAtMs),
      });
    }
  }
}
