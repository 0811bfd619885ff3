/** Experiments that are not scenarios: forwarding rates, the balance simulation, the capacity page. */
import type { Command } from 'commander';
import { registerBalanceSimulation } from './balance-command.js';
import { registerCapacityCommand } from './capacity/capacity-command.js';
import { registerForwardingRun } from './forwarding/index.js';

/** Adds the experiments below `run` and the capacity page below `experiment`. */
export function registerSpecialRuns(run: Command, experiment: Command): void {
  registerForwardingRun(run);
  registerBalanceSimulation(run);
  registerCapacityCommand(experiment);
}
