/**
 * Decides whether routers may send new flows to this daemon. Does no input or output.
 *
 * Prevents new flows from reaching a daemon that would refuse them for lack of routes or back ends, or that is about to
 * stop. Reports all reasons, a requested stop before missing topics. Routes and back ends of any age count, so that a
 * daemon that is cut off from the source keeps serving.
 */
import type { Readiness } from '../../observability/admin-server.js';
import type { RoutingTopic } from '../routing/index.js';

/** Reason why the daemon is not ready, as shown on the readiness page and in event 2102. */
type UnreadyReason = 'stopping' | `no ${RoutingTopic}`;

/** Inputs of the rule. */
interface ReadinessInputs {
  /** A stop was requested. */
  readonly isStopping: boolean;
  /** A table of routes is in force. */
  readonly hasRoutes: boolean;
  /** Topics other than routes that the daemon follows but has received no revision of, in order. */
  readonly missingTopics: readonly RoutingTopic[];
}

/** Returns whether the daemon is ready, with every reason against it. */
export function decideReadiness({ isStopping, hasRoutes, missingTopics }: ReadinessInputs): Readiness {
  const reasons: UnreadyReason[] = [];
  if (isStopping) reasons.push('stopping');
  if (!hasRoutes) reasons.push('no routes');
  for (const topic of missingTopics) reasons.push(`no ${topic}`);
  return { ready: reasons.length === 0, reasons };
}
