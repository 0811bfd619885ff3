/** Everything that a daemon on a cookie edge is made of, and how it is wired. */
import type { Clock } from '../common/clock.js';
import type { RandomSource } from '../common/random.js';
import { CookieForwarder } from '../flow/cookie/cookie-forwarder.js';
import type { EventLog } from '../observability/event.js';
import { RoutingKnowledge, SourceCircuit, SourceFollower } from '../routing/index.js';
import type { BoundCookieEdge, DeploymentAdapters } from './adapters.js';
import type { CookieDaemonConfig } from './config.js';
import { EdgeGate } from './edge-gate.js';

/** What a daemon needs from its surroundings. */
export interface CookieDaemonEnvironment {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly adapters: DeploymentAdapters;
}

/** The wired parts. */
export interface CookieDaemonComponents extends CookieDaemonEnvironment {
  readonly edge: BoundCookieEdge;
  readonly knowledge: RoutingKnowledge;
  readonly circuit: SourceCircuit;
  readonly followers: readonly SourceFollower[];
  readonly forwarder: CookieForwarder;
}

/** Binds the edge and wires everything; nothing runs yet. `config` is asked anew where a reread may change it. */
export async function wireCookieDaemon(
  config: () => CookieDaemonConfig,
  environment: CookieDaemonEnvironment,
): Promise<CookieDaemonComponents> {
  const { clock, random, events, adapters } = environment;
  const { data, source: address, zone, zoneMargin, maxFlowAgeMs } = config();
  const gate = new EdgeGate();
  const edge = await adapters.openEdge({ data, handler: gate, events, clock });
  const knowledge = new RoutingKnowledge({ clock, events, retentionMs: maxFlowAgeMs });
  const circuit = new SourceCircuit(clock, random, events);
  const source = adapters.createSource(address, clock);
  const following = { clock, source, knowledge, circuit };
  const followers = [new SourceFollower('routes', following), new SourceFollower('backends', following)];
  const forwarder = new CookieForwarder({
    ...{ clock, random, events, knowledge, edge, zone, zoneMargin, maxFlowAgeMs },
    maxFlows: () => config().limits.maxFlows,
  });
  gate.open(forwarder);
  return { ...environment, edge, knowledge, circuit, followers, forwarder };
}
