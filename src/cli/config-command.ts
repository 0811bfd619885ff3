/** `sailquay config`: checks settings files and prints their schema. Nothing is sent to the platform. */
import { readFile } from 'node:fs/promises';
import type { Command } from 'commander';
import { loadCookieDaemonConfig } from '../cookie-edge/daemon/config.js';
import { CookieDaemonError } from '../cookie-edge/daemon/errors.js';
import {
  fileJsonSchema,
  formatFault,
  parseTreeText,
  resolveSettings,
  type EffectiveSettings,
  type SettingsFault,
  type TreeDocument,
} from '../settings/index.js';
import { ExitCode } from './exit-codes.js';
import { PROCESS_OUTPUT, type CommandOutput } from './settings-output.js';

/** Version shown for a tree that is not stored yet. */
const FILE_VERSION = 0;

const CHECK_HELP = `
Every fault is listed at once, with its node, field, value and remedy.
Exit codes: 0 valid, 1 the file cannot be read, 2 wrong usage, 3 the settings are invalid.

Examples:
  $ sailquay config check examples/isartal.yaml
  $ sailquay config check examples/isartal.yaml --json
`;

const SCHEMA_HELP = `
Examples:
  $ sailquay config schema > settings.schema.json
  and in the first line of a settings file: # yaml-language-server: $schema=settings.schema.json
`;

/** Adds `config` to the program. */
export function registerConfigCommand(program: Command, output: CommandOutput = PROCESS_OUTPUT): void {
  const config = program.command('config').description('check settings files, print their schema');
  config.addHelpText('after', '\nExample:\n  $ sailquay config check examples/isartal.yaml\n');
  config
    .command('check')
    .argument('<file>', 'settings tree in YAML or JSON')
    .description('check a settings file and report every fault')
    .option('--json', 'write the result as JSON')
    .addHelpText('after', CHECK_HELP)
    .action((file: string, options: { json?: boolean }) => check(file, options.json ?? false, output));
  config
    .command('check-daemon')
    .argument('<file>', 'configuration of a daemon on a cookie edge, in JSON or YAML')
    .description('check the configuration of a daemon on a cookie edge and report every fault')
    .addHelpText('after', '\nExample:\n  $ sailquay config check-daemon /etc/sailquay/daemon.json\n')
    .action((file: string) => checkDaemon(file, output));
  config
    .command('schema')
    .description('print the JSON Schema of settings files')
    .addHelpText('after', SCHEMA_HELP)
    .action(() => output.write(JSON.stringify(fileJsonSchema(), undefined, 2)));
}

async function check(file: string, json: boolean, output: CommandOutput): Promise<void> {
  const text = await readText(file, output);
  if (text === undefined) return;
  const tree = parseTreeText(text);
  const settings = tree.andThen((document) => resolveSettings(document, FILE_VERSION));
  if (settings.isErr) {
    reportFaults(file, settings.error, json, output);
  } else if (tree.isOk) {
    const summary = summaryOf(file, tree.value, settings.value);
    output.write(json ? JSON.stringify(summary, undefined, 2) : summaryText(summary));
  }
}

async function checkDaemon(file: string, output: CommandOutput): Promise<void> {
  try {
    const { id, zone, seeds } = await loadCookieDaemonConfig(file);
    output.write(`${file}: valid, daemon ${id} in zone ${zone} with ${seeds.length} seed(s)`);
  } catch (error) {
    if (!(error instanceof CookieDaemonError)) throw error;
    output.writeError(`sailquay: ${error.message}`);
    output.exit(ExitCode.InvalidSettings);
  }
}

/** Reads a file; reports why not and gives undefined when it cannot be read. */
export async function readText(file: string, output: CommandOutput): Promise<string | undefined> {
  try {
    return await readFile(file, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    output.writeError(`sailquay: ${file} cannot be read: ${reason}. Give the path of a readable file`);
    output.exit(ExitCode.Failure);
    return undefined;
  }
}

/** Writes every fault of a file and sets the exit code. */
export function reportFaults(
  file: string,
  faults: readonly SettingsFault[],
  json: boolean,
  output: CommandOutput,
): void {
  if (json) output.write(JSON.stringify({ file, valid: false, faults }, undefined, 2));
  else {
    for (const fault of faults) output.writeError(formatFault(fault));
    output.writeError(`${file}: ${faults.length} fault(s); nothing was applied`);
  }
  output.exit(ExitCode.InvalidSettings);
}

/** What `config check` says of a valid file; the fields of its JSON output. */
interface FileSummary {
  readonly file: string;
  readonly valid: true;
  readonly nodes: number;
  readonly services: number;
  readonly backends: number;
}

function summaryOf(file: string, document: TreeDocument, settings: EffectiveSettings): FileSummary {
  const services = settings.services.length;
  const backends = settings.services.reduce((sum, service) => sum + service.backends.length, 0);
  return { file, valid: true, nodes: document.nodes.length, services, backends };
}

function summaryText({ file, nodes, services, backends }: FileSummary): string {
  return `${file}: valid, ${nodes} nodes, ${services} services, ${backends} back ends`;
}
