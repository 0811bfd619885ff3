/**
 * Rule: whether routers may send new flows to this daemon. Does no input or output.
 *
 * Prevents new flows at a daemon that would refuse them for lack of knowledge, or that is about to end. Reports every
 * reason and not only the first, the stop before missing topics. Knowledge of any age counts, so that a daemon that is
 * cut off from the source keeps serving.
 */
import type { Readiness } from '../../observability/admin-server.js';
import type { RoutingTopic } from '../routing/index.js';

/** Why the daemon is not ready, as the readiness page and event 2102 name it. */
type UnreadyReason = 'stopping' | `no ${RoutingTopic}`;

/** Inputs of the rule. */
interface ReadinessInputs {
  /** A stop was requested. */
  readonly isStopping: boolean;
  /** A table of routes is in force. */
  readonly hasRoutes: boolean;
  /** Topics that are followed besides routes and of which no revision was received, in their order. */
  readonly missingTopics: readonly RoutingTopic[];
}

/** Decides whether the daemon is ready, with every reason why not. */
export function decideReadiness({ isStopping, hasRoutes, missingTopics }: ReadinessInputs): Readiness {
  const reasons: UnreadyReason[] = [];
  if (isStopping) reasons.push('stopping');
  if (!hasRoutes) reasons.push('no routes');
  for (const topic of missingTopics) reasons.push(`no ${topic}`);
  return { ready: reasons.length === 0, reasons };
}
