/** `sailquay experiment`: list, validate, run and compare experiments, and draw reports of saved runs. */
import { readFileSync, writeFileSync } from 'node:fs';
import { InvalidArgumentError, Option, type Command } from 'commander';
import type { PlacementMode } from '../gue-edge/placement/types.js';
import { compare, comparisonText, type ComparisonSide } from './compare.js';
import type { ExperimentDocument, ExperimentResult } from './document.js';
import { ExperimentError } from './errors.js';
import { runScenario } from './experiment-run.js';
import { loadScenario, scenarioNames } from './scenario-files.js';
import type { Scenario } from './scenario.js';
import { registerSpecialRuns } from './special-runs.js';
import { textReport } from './text-report.js';

const MODES: readonly PlacementMode[] = [
  'bounded-load',
  'rendezvous',
  'local-table',
  'random',
  'least-reported-load',
];
const BASELINES = MODES.filter((mode) => mode !== 'bounded-load');
const DEFAULT_SEED = 1;

interface RunFlags {
  readonly seed: number;
  readonly json?: boolean;
  readonly out?: string;
  readonly mode: PlacementMode;
  readonly tree?: Scenario['tree'];
  readonly baseline?: PlacementMode[];
  readonly withBaselines?: boolean;
  readonly logDir?: string;
}

interface CompareFlags {
  readonly scenario?: string;
  readonly seeds: number[];
  readonly json?: boolean;
  readonly out?: string;
  readonly tree?: Scenario['tree'];
}

const RUN_EXAMPLES = `
Exit code: 0 when every goal is met, 1 when one is missed or the run failed.

Examples:
  $ sailquay experiment run demo
  $ sailquay experiment run backend-drain --seed 7 --json --out drain.json
  $ sailquay experiment run steady-balance --with-baselines --tree enchufe
`;

const COMPARE_EXAMPLES = `
A and B are two placement modes (with --scenario), or two files saved with --out.

Examples:
  $ sailquay experiment compare bounded-load random --scenario steady-balance --seeds 1,2,3
  $ sailquay experiment compare before.json after.json
`;

/** Adds `experiment` to the program. */
export function registerExperimentCommand(program: Command): void {
  const experiment = program.command('experiment').description('run load and fault experiments');
  experiment
    .command('list')
    .description('name the shipped scenarios')
    .option('--json', 'print JSON')
    .addHelpText('after', '\nExample:\n  $ sailquay experiment list')
    .action(list);
  experiment
    .command('validate')
    .description('check a scenario file and list its faults')
    .argument('<file>', 'scenario name or YAML file')
    .addHelpText('after', '\nExample:\n  $ sailquay experiment validate my-scenario.yaml')
    .action(validate);
  registerRun(experiment);
  registerCompare(experiment);
  experiment
    .command('report')
    .description('write a self-contained HTML page with plots of saved runs, or Markdown tables')
    .argument('<files...>', 'JSON documents written by `run --out`')
    .requiredOption('-o, --output <file>', 'page to write; .md for Markdown tables, else HTML')
    .addHelpText('after', '\nExample:\n  $ sailquay experiment report run-1.json run-2.json -o report.html')
    .action(report);
}

function registerRun(experiment: Command): void {
  const command = experiment
    .command('run')
    .description('run a scenario with real processes and print what was measured')
    .argument('<scenario>', 'scenario name or YAML file')
    .option('--seed <number>', 'seed of every random choice', parseSeed, DEFAULT_SEED)
    .option('--json', 'print the JSON document')
    .option('--out <file>', 'save the JSON document')
    .option('--log-dir <directory>', 'keep the standard error of each process there')
    .addOption(new Option('--mode <mode>', 'placement mode').choices(MODES).default('bounded-load'))
    .addOption(treeOption())
    .addOption(new Option('--baseline <mode...>', 'run it in this mode too, side by side').choices(BASELINES))
    .option('--with-baselines', 'run it in every baseline mode too')
    .addHelpText('after', RUN_EXAMPLES)
    .action(run);
  registerSpecialRuns(command);
}

function registerCompare(experiment: Command): void {
  experiment
    .command('compare')
    .description('put two placement modes, or two saved runs, side by side')
    .argument('<a>', 'placement mode or JSON file')
    .argument('<b>', 'placement mode or JSON file')
    .option('--scenario <name>', 'scenario to run when A and B are modes')
    .option('--seeds <list>', 'seeds, separated by commas', parseSeeds, [1, 2, 3])
    .option('--json', 'print JSON')
    .option('--out <file>', 'save every run, as a JSON list')
    .addOption(treeOption())
    .addHelpText('after', COMPARE_EXAMPLES)
    .action(compareSides);
}

function treeOption(): Option {
  return new Option('--tree <name>', "example tree instead of the scenario's").choices([
    'isartal',
    'enchufe',
  ]);
}

function list(flags: { readonly json?: boolean }): void {
  const entries = scenarioNames().map((name) => ({ name, description: scenarioOf(name).description }));
  if (flags.json) {
    write(JSON.stringify(entries, null, 2));
    return;
  }
  const width = Math.max(...entries.map((entry) => entry.name.length));
  write(entries.map((entry) => `${entry.name.padEnd(width)}  ${entry.description}`).join('\n'));
}

function validate(nameOrFile: string): void {
  const scenario = scenarioOf(nameOrFile);
  write(`${scenario.name}: valid, ${scenario.durationSeconds} s, ${scenario.actions.length} actions`);
}

async function run(nameOrFile: string, flags: RunFlags): Promise<void> {
  const scenario = withTree(scenarioOf(nameOrFile), flags.tree);
  const result: ExperimentDocument = await runOnce(scenario, flags.seed, flags.mode, flags.logDir);
  const baselineModes = flags.withBaselines ? BASELINES : (flags.baseline ?? []);
  const baselines: ExperimentDocument[] = [];
  for (const mode of baselineModes) baselines.push(await runOnce(scenario, flags.seed, mode));
  const whole: ExperimentResult = baselines.length > 0 ? { ...result, baselines } : result;
  if (flags.out) writeFileSync(flags.out, `${JSON.stringify(whole)}\n`);
  write(flags.json ? JSON.stringify(whole, null, 2) : textReport(whole));
  const missed = result.goals.some((goal) => goal.verdict === 'fail') || result.problems.length > 0;
  process.exitCode = missed ? 1 : 0;
}

async function compareSides(left: string, right: string, flags: CompareFlags): Promise<void> {
  const comparison = compare(await side(left, flags), await side(right, flags));
  write(flags.json ? JSON.stringify(comparison, null, 2) : comparisonText(comparison));
}

async function side(label: string, flags: CompareFlags): Promise<ComparisonSide> {
  const mode = MODES.find((candidate) => candidate === label);
  if (!mode) return { label, documents: readDocuments(label) };
  if (!flags.scenario) throw new InvalidArgumentError('--scenario is needed to compare two placement modes');
  const scenario = withTree(scenarioOf(flags.scenario), flags.tree);
  const documents: ExperimentDocument[] = [];
  for (const seed of flags.seeds) documents.push(await runOnce(scenario, seed, mode));
  if (flags.out) writeFileSync(`${flags.out}.${mode}.json`, `${JSON.stringify(documents)}\n`);
  return { label, documents };
}

async function report(files: readonly string[], flags: { readonly output: string }): Promise<void> {
  const documents = files.flatMap(readDocuments);
  writeFileSync(flags.output, await pageOf(documents, flags.output));
  write(`wrote ${flags.output}`);
}

async function pageOf(documents: readonly ExperimentDocument[], file: string): Promise<string> {
  if (file.endsWith('.md')) return (await import('./markdown-report.js')).markdownReport(documents);
  return (await import('./html-report.js')).htmlReport(documents);
}

async function runOnce(
  scenario: Scenario,
  seed: number,
  mode: PlacementMode,
  logDirectory?: string,
): Promise<ExperimentDocument> {
  const interrupt = new AbortController();
  const abort = (): void => interrupt.abort();
  process.on('SIGINT', abort);
  process.on('SIGTERM', abort);
  try {
    const progress = (text: string): void =>
      void process.stderr.write(`${scenario.name} (${mode}): ${text}\n`);
    return await runScenario({ scenario, seed, mode, signal: interrupt.signal, progress, logDirectory });
  } finally {
    process.off('SIGINT', abort);
    process.off('SIGTERM', abort);
  }
}

function scenarioOf(nameOrFile: string): Scenario {
  return loadScenario(nameOrFile).unwrapOrElse((error) => {
    throw error;
  });
}

function withTree(scenario: Scenario, tree: Scenario['tree'] | undefined): Scenario {
  return tree ? { ...scenario, tree } : scenario;
}

/** Documents of a saved file: one result, a result with baselines, or a list. */
function readDocuments(file: string): ExperimentDocument[] {
  let saved: unknown;
  try {
    saved = JSON.parse(readFileSync(file, 'utf8'));
  } catch (error) {
    throw invalidDocument(file, error);
  }
  const entries = (Array.isArray(saved) ? saved : [saved]) as ExperimentResult[];
  const documents = entries.flatMap(({ baselines, ...document }) => [document, ...(baselines ?? [])]);
  if (documents.some((document) => typeof document.scenario !== 'string' || !document.series)) {
    throw invalidDocument(file);
  }
  return documents;
}

function invalidDocument(file: string, cause?: unknown): ExperimentError {
  return new ExperimentError(
    'experiment.invalid-document',
    `${file} is not a saved experiment`,
    'Give a file written by `sailquay experiment run --out`',
    { cause },
  );
}

function parseSeed(text: string): number {
  const seed = Number(text);
  if (!Number.isInteger(seed) || seed < 0) throw new InvalidArgumentError('Give a whole number from 0.');
  return seed;
}

function parseSeeds(text: string): number[] {
  return text.split(',').map(parseSeed);
}

function write(text: string): void {
  process.stdout.write(text.endsWith('\n') ? text : `${text}\n`);
}
