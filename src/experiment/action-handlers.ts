/** What carries out one kind of planned action, and the processes and clients that actions act on. */
import type { BackendProcesses } from './backend-processes.js';
import type { BalancerFleet } from './balancer-fleet.js';
import type { Operators } from './operator.js';
import type { PlatformControl } from './platform-control.js';
import type { PlainAction } from './run-plan.js';
import type { SiteTemplate } from './site-template.js';

/** Everything of a run that actions change. */
export interface ActionTargets {
  readonly balancers: BalancerFleet;
  readonly backends: BackendProcesses;
  readonly platform: PlatformControl;
  readonly operators: Operators;
  readonly site: SiteTemplate;
}

type ActionName = PlainAction['do'];

/** The planned action of one name. */
export type ActionOf<Name extends ActionName> = Extract<PlainAction, { do: Name }>;

/**
 * By the action's name. A handler resolves when the action has ended, also the end of a fault that lasts; `signal`
 * cuts it short. It rejects when the action could not be carried out.
 */
export type ActionHandlers = {
  readonly [Name in ActionName]: (action: ActionOf<Name>, signal: AbortSignal) => Promise<void>;
};
