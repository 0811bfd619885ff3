/** What the parts of a cookie forwarder share: the flows and back ends that this balancer has seen, and the way to a back end. */
import type { MechanismCheck } from '../../common/mechanisms.js';
import type { CookieEdgePort, ResetTarget } from '../../fabric/cookie-edge.js';
import type { EventLog } from '../../observability/event.js';
import type { AnswerTracker } from '../outliers/index.js';
import { splitAddressKey, type KnownBackend, type RoutingKnowledge } from '../routing/index.js';
import type { BackendStates } from '../backend-health/backend-states.js';
import type { CookieRegistry } from './cookie-registry.js';
import type { CookieStatistics } from './cookie-statistics.js';
import type { Flow, FlowCache } from './flow-cache.js';
import type { PendingOpenings } from './pending-openings.js';

/** One of each for a balancer. */
export interface ForwardingParts {
  readonly events: EventLog;
  readonly knowledge: RoutingKnowledge;
  readonly edge: CookieEdgePort;
  readonly isOn: MechanismCheck;
  readonly statistics: CookieStatistics;
  readonly cookies: CookieRegistry;
  readonly states: BackendStates;
  readonly cache: FlowCache;
  /** Openings without an answer yet, oldest first. */
  readonly pending: PendingOpenings;
  /** Requests on open flows. */
  readonly answers: AnswerTracker;
}

/** Sends the packet that is being handled to a back end, with the cookie that names it. */
export function forwardTo({ cookies, statistics, edge }: ForwardingParts, backend: KnownBackend): void {
  const cookie = cookies.cookieOf(backend);
  if (cookie === 0) return statistics.countDrop('no-cookie');
  statistics.forwarded += 1;
  edge.sendToBackend(backend.id, backend.record.endpoint, cookie);
}

/** The caller of a flow as a reset names it. */
export function resetTargetOf(flow: Flow): ResetTarget {
  const [sourceAddress, sourcePort] = splitAddressKey(flow.callerKey);
  const [destinationAddress, destinationPort] = splitAddressKey(flow.serviceKey);
  return {
    sourceAddress,
    sourcePort,
    destinationAddress,
    destinationPort,
    acknowledgement: flow.acknowledgement,
    retransmissionCount: flow.phase === 'opening' ? flow.retransmissionCount : 0,
  };
}

/** Counts once against the flow's back end in each phase of the flow; the failure began at `sinceMs`. */
export function noteFailure({ states }: ForwardingParts, flow: Flow, sinceMs: number, nowMs: number): void {
  if (flow.failureNoted) return;
  flow.failureNoted = true;
  states.noteFailure(flow.state, sinceMs, nowMs);
}
