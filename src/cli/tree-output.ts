/** Output of `sailquay tree`, as text or JSON. */
import { stringify } from 'yaml';
import {
  diffTrees,
  effectiveNode,
  isWithin,
  nestTree,
  TreeError,
  type EditOutcome,
  type TreeDocument,
  type VersionedTree,
} from '../settings/index.js';
import { reportError, showChange, showPath, showValue, type CommandOutput } from './settings-output.js';

/** Options that bear on the output. */
export interface OutputOptions {
  /** Write JSON in place of text. */
  readonly json?: boolean;
}

function writeJson(value: unknown, output: CommandOutput): void {
  output.write(JSON.stringify(value, undefined, 2));
}

/** How an edit came out. */
export function printOutcome(
  outcome: EditOutcome,
  token: string,
  options: OutputOptions,
  output: CommandOutput,
): void {
  if (options.json) {
    writeJson({ ...outcome, token }, output);
    return;
  }
  outcome.changes.forEach((change) => output.write(showChange(change)));
  output.write(`${outcome.outcome} at version ${outcome.version} (token ${token})`);
}

function reportMissing(path: string, options: OutputOptions, output: CommandOutput): void {
  const message = `There is no node ${showPath(path)} in the tree`;
  const error = new TreeError('settings.node-not-found', message, 'List the nodes with sailquay tree get');
  reportError(error, options.json ?? false, output);
}

/** The tree, or a node and what is below it. */
export function printTree(
  stored: VersionedTree,
  path: string,
  options: OutputOptions,
  output: CommandOutput,
): void {
  const { version, document } = stored;
  const nodes = document.nodes.filter((node) => isWithin(node.path, path));
  if (nodes.length === 0) {
    reportMissing(path, options, output);
  } else if (options.json) {
    writeJson({ version, nodes }, output);
  } else if (path === '') {
    output.write(`# version ${version}\n${stringify(nestTree(document)).trimEnd()}`);
  } else {
    output.write(`# version ${version}`);
    for (const node of nodes) output.write(stringify({ [node.path]: node.fields }).trimEnd());
  }
}

/** The fields in force at a node, each with its origin. */
export function printEffective(
  stored: VersionedTree,
  path: string,
  options: OutputOptions,
  output: CommandOutput,
): void {
  const node = effectiveNode(stored.document, path);
  if (!node) {
    reportMissing(path, options, output);
    return;
  }
  if (options.json) {
    writeJson({ version: stored.version, ...node }, output);
    return;
  }
  for (const { field, value, unit, origin } of node.fields) {
    const measure = unit === '' || value === null || value === undefined ? '' : ` ${unit}`;
    output.write(`${field}: ${showValue(value)}${measure}  (from ${showPath(origin)})`);
  }
}

/** The last edits, oldest first. */
export function printHistory(stored: VersionedTree, options: OutputOptions, output: CommandOutput): void {
  const { version, document } = stored;
  if (options.json) {
    writeJson({ version, edits: document.edits }, output);
    return;
  }
  for (const edit of document.edits) {
    const at = new Date(edit.atWallMs).toISOString();
    output.write(`version ${edit.version}  ${at}  ${edit.author}  ${edit.summary}  (token ${edit.token})`);
  }
}

/** What applying `wanted` would change. */
export function printDiff(
  stored: VersionedTree,
  wanted: TreeDocument,
  options: OutputOptions,
  output: CommandOutput,
): void {
  const changes = diffTrees(stored.document, wanted);
  if (options.json) writeJson({ version: stored.version, changes }, output);
  else changes.forEach((change) => output.write(showChange(change)));
}
