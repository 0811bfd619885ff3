/** Retry budgets of the services whose flows are opened here; each follows the share that is configured now. */
import { RetryBudget } from '../placement/retry-budget.js';
import type { FlowContext } from './flow-context.js';

/** One retry budget a service, made when the service is first seen. */
export class RetryBudgets {
  private readonly budgets = new Map<number, RetryBudget>();

  constructor(private readonly context: FlowContext) {}

  /** The budget of a service by its id. */
  of(serviceId: number): RetryBudget {
    let budget = this.budgets.get(serviceId);
    if (!budget) {
      budget = new RetryBudget({
        clock: this.context.components.clock,
        share: () => this.configuredShare(serviceId),
      });
      this.budgets.set(serviceId, budget);
    }
    return budget;
  }

  /** Share (0–1) of openings that may be retried; 0 for a service that is gone. */
  private configuredShare(serviceId: number): number {
    const services = this.context.components.settings.current()?.services;
    return services?.find((service) => service.id === serviceId)?.limits.retryBudgetShare ?? 0;
  }
}
