/** `sailquay tree`: reads and edits the settings tree that is stored in the platform. */
import { randomInt, randomUUID } from 'node:crypto';
import { userInfo } from 'node:os';
import { InvalidArgumentError, type Command } from 'commander';
import { SystemClock } from '../common/clock.js';
import { seededRandom } from '../common/random.js';
import { SILENT_EVENT_LOG } from '../observability/event.js';
import { createStoreClient } from '../store/index.js';
import type { StoreClient } from '../store/types.js';
import {
  fieldNamed,
  moveNode,
  parseTreeText,
  removeNode,
  replaceNodes,
  setFields,
  TreeEditor,
  unsetFields,
  type FieldValue,
  type TreeDocument,
  type TreeEdit,
  type VersionedTree,
} from '../settings/index.js';
import { readText, reportFaults } from './config-command.js';
import { KEEP_ALIVE_MS, MAX_SEED, MS_PER_SECOND } from './constants.js';
import { ExitCode } from './exit-codes.js';
import { PLATFORM_VARIABLE } from './fleet-options.js';
import { PROCESS_OUTPUT, reportError, showValue, type CommandOutput } from './settings-output.js';
import {
  printDiff,
  printEffective,
  printHistory,
  printOutcome,
  printTree,
  type OutputOptions,
} from './tree-output.js';

/** What the commands use of their surroundings; tests pass their own. */
interface TreeCommandEnvironment {
  readonly output: CommandOutput;
  connect(baseUrl: string): StoreClient & { close?(): Promise<void> };
}

const PROCESS_ENVIRONMENT: TreeCommandEnvironment = {
  output: PROCESS_OUTPUT,
  connect: (baseUrl) =>
    createStoreClient({
      baseUrl,
      clock: new SystemClock(),
      random: seededRandom(randomInt(MAX_SEED)),
      events: SILENT_EVENT_LOG,
      caller: 'sailquay-tree',
    }),
};

/** Options of every subcommand. */
interface TreeOptions extends OutputOptions {
  readonly platform?: string;
}

/** Options of the subcommands that edit. */
interface EditOptions extends TreeOptions {
  readonly author: string;
  readonly token?: string;
  /** Seconds. */
  readonly timeout?: number;
}

const TREE_HELP = `
A node is named by its path: defaults, SITE, SITE/SERVICE or SITE/SERVICE/BACKEND. The platform's URL comes from
--platform or from ${PLATFORM_VARIABLE}. After a lost answer, repeat an edit with the same --token: it is applied once.
Exit codes: 0 done, 1 failed, 2 wrong usage, 3 the tree would be invalid (nothing applied),
  4 conflict with another edit (nothing applied), 5 platform unreachable, 6 no such node

Examples:
  $ sailquay tree apply examples/isartal.yaml --platform http://127.0.0.1:9000
  $ sailquay tree set isartal/pickguide idleTimeoutMs=36000000
  $ sailquay tree set isartal/pickguide/pick-11 zone=halle-nord endpoint=127.0.0.1:21011
  $ sailquay tree unset isartal/pickguide idleTimeoutMs
  $ sailquay tree effective isartal/pickguide/pick-01
`;

/** Adds `tree` to the program. */
export function registerTreeCommand(
  program: Command,
  environment: TreeCommandEnvironment = PROCESS_ENVIRONMENT,
): void {
  const tree = program.command('tree').description('read and edit the settings tree');
  tree.addHelpText('after', TREE_HELP);
  registerReading(tree, environment);
  registerEditing(tree, environment);
}

function subcommand(tree: Command, name: string, description: string, example: string): Command {
  return tree
    .command(name)
    .description(description)
    .option('--platform <url>', `base URL of the platform (${PLATFORM_VARIABLE})`)
    .option('--json', 'write the result as JSON')
    .addHelpText('after', `\nExample:\n  $ sailquay tree ${example}\n`);
}

function registerReading(tree: Command, environment: TreeCommandEnvironment): void {
  subcommand(tree, 'get', 'print the tree, or a node and what is below it', 'get isartal/pickguide')
    .argument('[node]', 'path of a node')
    .action((node: string | undefined, options: TreeOptions) =>
      withTree(environment, options, (stored, output) =>
        printTree(stored, parsePath(node ?? ''), options, output),
      ),
    );
  subcommand(
    tree,
    'effective',
    "print a node's fields with the node each comes from",
    'effective isartal/pickguide',
  )
    .argument('<node>', 'path of a node')
    .action((node: string, options: TreeOptions) =>
      withTree(environment, options, (stored, output) =>
        printEffective(stored, parsePath(node), options, output),
      ),
    );
  subcommand(tree, 'history', 'print the last edits', 'history --json').action((options: TreeOptions) =>
    withTree(environment, options, (stored, output) => printHistory(stored, options, output)),
  );
  subcommand(tree, 'diff', 'print what applying a file would change', 'diff examples/isartal.yaml')
    .argument('<file>', 'settings tree in YAML or JSON')
    .action(async (file: string, options: TreeOptions) => {
      const wanted = await readTreeFile(file, options, environment.output);
      if (!wanted) return;
      await withTree(environment, options, (stored, output) => printDiff(stored, wanted, options, output));
    });
}

function editCommand(tree: Command, name: string, description: string, example: string): Command {
  return subcommand(tree, name, description, example)
    .option('--author <name>', 'who makes the edit', userInfo().username)
    .option('--token <token>', 'idempotency token; a new one when absent')
    .option('--timeout <seconds>', 'give up after this long, retries included (default: 15)', parseSeconds);
}

function registerEditing(tree: Command, environment: TreeCommandEnvironment): void {
  registerFieldEdits(tree, environment);
  registerNodeEdits(tree, environment);
}

/** `set` and `unset`: edits of a node's own fields. */
function registerFieldEdits(tree: Command, environment: TreeCommandEnvironment): void {
  editCommand(
    tree,
    'set',
    'set fields of a node; adds the node if it is new',
    'set isartal/pickguide/pick-01 weight=2',
  )
    .argument('<node>', 'path of a node')
    .argument('<field=value...>', 'fields and their new values', collectAssignment)
    .action((node: string, fields: Record<string, FieldValue>, options: EditOptions) => {
      const shown = Object.entries(fields).map(([name, value]) => `${name}=${showValue(value)}`);
      return runEdit(
        environment,
        options,
        `set ${node} ${shown.join(' ')}`,
        setFields(parsePath(node), fields),
      );
    });
  editCommand(
    tree,
    'unset',
    'remove fields of a node, so that they are inherited',
    'unset isartal/pickguide idleTimeoutMs',
  )
    .argument('<node>', 'path of a node')
    .argument('<field...>', 'names of fields')
    .action((node: string, names: string[], options: EditOptions) =>
      runEdit(environment, options, `unset ${node} ${names.join(' ')}`, unsetFields(parsePath(node), names)),
    );
}

/** `move`, `remove` and `apply`: edits of whole nodes and what is below them. */
function registerNodeEdits(tree: Command, environment: TreeCommandEnvironment): void {
  editCommand(tree, 'move', 'move a node and what is below it', 'move isartal/pickguide isartal/picking')
    .argument('<from>', 'path of a node')
    .argument('<to>', 'its new path')
    .action((from: string, to: string, options: EditOptions) =>
      runEdit(environment, options, `move ${from} ${to}`, moveNode(parsePath(from), parsePath(to))),
    );
  editCommand(tree, 'remove', 'remove a node and what is below it', 'remove isartal/pickguide/pick-10')
    .argument('<node>', 'path of a node')
    .action((node: string, options: EditOptions) =>
      runEdit(environment, options, `remove ${node}`, removeNode(parsePath(node))),
    );
  editCommand(tree, 'apply', 'replace the whole tree by a file', 'apply examples/isartal.yaml')
    .argument('<file>', 'settings tree in YAML or JSON')
    .action(async (file: string, options: EditOptions) => {
      const wanted = await readTreeFile(file, options, environment.output);
      if (wanted) await runEdit(environment, options, `apply ${file}`, replaceNodes(wanted));
    });
}

function parseSeconds(text: string): number {
  const seconds = Number(text);
  if (!Number.isFinite(seconds) || seconds <= 0)
    throw new InvalidArgumentError('Give a number of seconds above 0.');
  return seconds;
}

/** `defaults` names the top node; slashes around a path are ignored. */
function parsePath(text: string): string {
  const path = text.replace(/^\/+|\/+$/g, '');
  return path === 'defaults' ? '' : path;
}

/** Reads a value: numbers, true, false and null as such, everything else as text. */
function parseValue(name: string, text: string): FieldValue {
  if (text === 'null' || text === 'unlimited') return null;
  if (text === 'true' || text === 'false') return text === 'true';
  const isNumeric = fieldNamed(name)?.numeric ?? true;
  return isNumeric && text.trim() !== '' && Number.isFinite(Number(text)) ? Number(text) : text;
}

function collectAssignment(text: string, previous: unknown): Record<string, FieldValue> {
  const equals = text.indexOf('=');
  if (equals < 1) throw new InvalidArgumentError('Write each field as name=value.');
  const name = text.slice(0, equals);
  const collected = typeof previous === 'object' && previous !== null ? previous : {};
  return { ...collected, [name]: parseValue(name, text.slice(equals + 1)) };
}

async function readTreeFile(
  file: string,
  options: TreeOptions,
  output: CommandOutput,
): Promise<TreeDocument | undefined> {
  const text = await readText(file, output);
  if (text === undefined) return undefined;
  const tree = parseTreeText(text);
  if (tree.isOk) return tree.value;
  reportFaults(file, tree.error, options.json ?? false, output);
  return undefined;
}

/** Runs `task` with an editor connected to the platform that the options name. */
async function withEditor(
  environment: TreeCommandEnvironment,
  options: TreeOptions,
  task: (editor: TreeEditor) => Promise<void>,
): Promise<void> {
  const baseUrl = options.platform ?? process.env[PLATFORM_VARIABLE];
  if (baseUrl === undefined) {
    environment.output.writeError(
      `sailquay: no platform is named. Give --platform URL or set ${PLATFORM_VARIABLE}`,
    );
    environment.output.exit(ExitCode.Usage);
    return;
  }
  const platform = environment.connect(baseUrl);
  const keepAlive = setInterval(() => undefined, KEEP_ALIVE_MS);
  try {
    const random = seededRandom(randomInt(MAX_SEED));
    await task(new TreeEditor({ platform, clock: new SystemClock(), random }));
  } finally {
    clearInterval(keepAlive);
    await platform.close?.();
  }
}

async function withTree(
  environment: TreeCommandEnvironment,
  options: TreeOptions,
  show: (stored: VersionedTree, output: CommandOutput) => void,
): Promise<void> {
  await withEditor(environment, options, async (editor) => {
    const stored = await editor.read();
    if (stored.isOk) show(stored.value, environment.output);
    else reportError(stored.error, options.json ?? false, environment.output);
  });
}

async function runEdit(
  environment: TreeCommandEnvironment,
  options: EditOptions,
  summary: string,
  edit: TreeEdit,
): Promise<void> {
  const token = options.token ?? randomUUID();
  const deadlineMs = options.timeout === undefined ? undefined : options.timeout * MS_PER_SECOND;
  await withEditor(environment, options, async (editor) => {
    const result = await editor.edit(edit, { author: options.author, token, summary, deadlineMs });
    if (result.isOk) printOutcome(result.value, token, options, environment.output);
    else reportError(result.error, options.json ?? false, environment.output);
  });
}
