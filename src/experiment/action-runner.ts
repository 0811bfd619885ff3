/** Carries out the planned actions of a run at their times and notes what became of each. */
import type { ActionHandlers, ActionOf, ActionTargets } from './action-handlers.js';
import { ActionRecord } from './action-record.js';
import { BackendActions } from './backend-actions.js';
import { BalancerActions } from './balancer-actions.js';
import { MS_PER_SECOND } from './constants.js';
import type { PlainAction } from './run-plan.js';
import { isUnplanned } from './scenario-actions.js';
import { sleepUntil } from './sleep-until.js';
import { TreeEdits } from './tree-edits.js';

/** Runs each action at its time, beside the others. */
export class ActionRunner {
  readonly record: ActionRecord;
  private readonly handlers: ActionHandlers;

  constructor(
    private readonly targets: ActionTargets,
    /** Wall ms of the start of the load. */
    startedAtMs: number,
  ) {
    this.record = new ActionRecord(startedAtMs);
    const edits = new TreeEdits(targets, this.record);
    this.handlers = {
      ...edits.handlers,
      ...new BalancerActions(targets, this.record).handlers,
      ...new BackendActions(targets, this.record, edits).handlers,
      'platform-faults': (action, signal) => this.disturbPlatform(action, signal),
    };
  }

  /** Runs the plan; ends when every action has ended or `signal` aborts. Failures are noted, not thrown. */
  async run(plan: readonly PlainAction[], signal: AbortSignal): Promise<void> {
    await Promise.all(plan.map((action) => this.runAt(action, signal)));
  }

  private async runAt(action: PlainAction, signal: AbortSignal): Promise<void> {
    await sleepUntil(this.record.startedAtMs + action.at * MS_PER_SECOND, signal);
    if (signal.aborted) return;
    const period = isUnplanned(action.do) ? this.record.openFault() : undefined;
    try {
      await this.carryOut(action, signal);
    } catch (error) {
      this.record.note(`${action.do}: ${error instanceof Error ? error.message : String(error)}`, true);
    }
    if (period) period.untilMs = Date.now();
  }

  private carryOut(action: PlainAction, signal: AbortSignal): Promise<void> {
    // The compiler does not see that a handler looked up by an action's name takes that action.
    const handler = this.handlers[action.do] as (action: PlainAction, signal: AbortSignal) => Promise<void>;
    return handler(action, signal);
  }

  private async disturbPlatform(action: ActionOf<'platform-faults'>, signal: AbortSignal): Promise<void> {
    await this.targets.platform.setFaults(action.faults);
    this.record.note(`platform: ${JSON.stringify(action.faults)}`);
    if (action.forSeconds === undefined) return;
    await sleepUntil(Date.now() + action.forSeconds * MS_PER_SECOND, signal);
    await this.targets.platform.clearFaults();
    this.record.note('platform: faults off');
  }
}
