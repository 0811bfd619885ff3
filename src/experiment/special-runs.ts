/** Experiments that are not scenarios: the scale run, its host processes, forwarding rates, the balance simulation. */
import { writeFileSync } from 'node:fs';
import type { Command } from 'commander';
import { registerBalanceSimulation } from './balance-command.js';
import { registerCapacityCommand } from './capacity/capacity-command.js';
import { registerForwardingRun } from './forwarding/index.js';

const DEFAULT_SECONDS_PER_STEP = 15;
const DEFAULT_MAX_MEMBERS = 1_100;

const SCALE_EXAMPLES = `
Hollow daemons have the real control plane and flow keeper and a stub for the data path; many share a process.

Examples:
  $ sailquay experiment run scale --dimension members openings --max-members 100
  $ sailquay experiment run scale --out docs/measurements/scale.json
`;

interface ScaleFlags {
  readonly seed: number;
  readonly json?: boolean;
  readonly out?: string;
  readonly dimension?: string[];
  readonly minMembers: string;
  readonly maxMembers: string;
  readonly secondsPerStep: string;
  readonly faults: boolean;
  readonly faultMembers: string;
  readonly commit?: string;
}

/** Adds the experiments below `run` and the host process below `experiment`. */
export function registerSpecialRuns(run: Command, experiment: Command): void {
  run
    .command('scale')
    .description('slopes of the control plane against members, back ends, flows, openings and changes')
    .option('--dimension <names...>', 'steps to run (members, backends, openings, …); all when absent')
    .option('--min-members <count>', 'leave smaller fleets out', '1')
    .option('--max-members <count>', 'leave larger steps out', String(DEFAULT_MAX_MEMBERS))
    .option('--seconds-per-step <seconds>', 'time measured for each step', String(DEFAULT_SECONDS_PER_STEP))
    .option('--no-faults', 'leave the faults out')
    .option('--fault-members <count>', 'daemons of the fleet that faults are tried on', '200')
    .option('--commit <name>', 'name of the measured commit, noted in the report')
    .addHelpText('after', SCALE_EXAMPLES)
    .action(async (_own: unknown, command: Command) =>
      runScaleCommand(command.optsWithGlobals<ScaleFlags>()),
    );
  registerForwardingRun(run);
  registerBalanceSimulation(run);
  registerCapacityCommand(experiment);
  experiment
    .command('hollow-host', { hidden: true })
    .argument('<file>', 'configuration written by the scale run')
    .action(async (file: string) => (await import('./scale/hollow-host.js')).runHollowHost(file));
}

async function runScaleCommand(flags: ScaleFlags): Promise<void> {
  const { runScale } = await import('./scale/scale-run.js');
  const { scaleText } = await import('./scale/scale-text.js');
  const report = await runScale({
    seed: flags.seed,
    secondsPerStep: Number(flags.secondsPerStep),
    dimensions: flags.dimension ?? [],
    minMembers: Number(flags.minMembers),
    maxMembers: Number(flags.maxMembers),
    faults: flags.faults,
    faultMembers: Number(flags.faultMembers),
    commit: flags.commit,
    progress: (line) => void process.stderr.write(`scale: ${line}\n`),
  });
  if (flags.out) writeFileSync(flags.out, `${JSON.stringify(report, null, 1)}\n`);
  process.stdout.write(flags.json ? `${JSON.stringify(report, null, 2)}\n` : scaleText(report));
}
