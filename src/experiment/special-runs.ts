/** Experiments that are not scenarios: forwarding rates and the balance simulation. */
import type { Command } from 'commander';
import { registerBalanceSimulation } from './balance-command.js';
import { registerForwardingRun } from './forwarding/index.js';

/** Adds the experiments below `run`. */
export function registerSpecialRuns(run: Command): void {
  registerForwardingRun(run);
  registerBalanceSimulation(run);
}
