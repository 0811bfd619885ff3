/** `experiment run balance-simulation`: placement policies beside each other in a deterministic simulation. */
import { writeFileSync } from 'node:fs';
import type { Command } from 'commander';
import type { BalanceTableRow } from '../gue-edge/placement/balance-table.js';

const DEFAULT_SEEDS = '1,2,3';

interface BalanceFlags {
  readonly seeds: string;
  readonly json?: boolean;
  readonly out?: string;
}

/** Adds the command below `run`. */
export function registerBalanceSimulation(run: Command): void {
  run
    .command('balance-simulation')
    .description('peak to mean and exceptions of every placement policy, simulated')
    .option('--seeds <list>', 'seeds, separated by commas', DEFAULT_SEEDS)
    .addHelpText('after', '\nExample:\n  $ sailquay experiment run balance-simulation --seeds 1,2,3')
    .action(async (_own: unknown, command: Command) => simulate(command.optsWithGlobals<BalanceFlags>()));
}

async function simulate(flags: BalanceFlags): Promise<void> {
  const { runBalanceTable } = await import('../gue-edge/placement/balance-table.js');
  const rows = runBalanceTable({ seeds: flags.seeds.split(',').map(Number) });
  const report = JSON.stringify({ scenario: 'balance-simulation', rows }, null, 1);
  if (flags.out) writeFileSync(flags.out, `${report}\n`);
  process.stdout.write(flags.json ? `${report}\n` : `${rows.map(rowText).join('\n')}\n`);
}

function rowText(row: BalanceTableRow): string {
  const { mode, keepers, flowsPerBackend, peakToMean, exceptionShare } = row;
  const range = `${peakToMean.least.toFixed(3)} to ${peakToMean.largest.toFixed(3)}`;
  return (
    `${mode.padEnd(20)} ${keepers} keepers, ${flowsPerBackend} flows a back end: ` +
    `${peakToMean.median.toFixed(3)} (${range}), ${(100 * exceptionShare.median).toFixed(1)}% exceptions`
  );
}
