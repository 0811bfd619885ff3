/** `sailquay experiment capacity`: regenerates the tables of the capacity page from recorded data. */
import { readFileSync, writeFileSync } from 'node:fs';
import type { Command } from 'commander';
import { capacitySections } from './capacity-tables.js';
import { replaceSections } from './capacity-page.js';
import { readRecordedData } from './recorded-data.js';

const EXAMPLES = `
Examples:
  $ sailquay experiment capacity
  $ sailquay experiment capacity --check
`;

interface CapacityFlags {
  readonly data: string;
  readonly page: string;
  readonly check?: boolean;
}

/** Adds the command below `experiment`. */
export function registerCapacityCommand(experiment: Command): void {
  experiment
    .command('capacity')
    .description('write the tables of the capacity page from recorded scale runs')
    .option('--data <directory>', 'directory with scale*.json', 'docs/measurements')
    .option('--page <file>', 'page with the marked sections', 'docs/CAPACITY.md')
    .option('--check', 'write nothing; exit code 1 when the page is not up to date')
    .addHelpText('after', EXAMPLES)
    .action((_own: unknown, command: Command) => runCapacity(command.optsWithGlobals<CapacityFlags>()));
}

function runCapacity({ data, page, check }: CapacityFlags): void {
  const before = readFileSync(page, 'utf8');
  const after = replaceSections(before, capacitySections(readRecordedData(data)));
  if (!check) return writeFileSync(page, after);
  if (after === before) return;
  process.stderr.write(`${page} is not up to date with ${data}: run "sailquay experiment capacity"\n`);
  process.exitCode = 1;
}
