/** `sailquay standin platform`: the stand-in as a process. */
import { readFileSync } from 'node:fs';
import type { Command } from 'commander';
import { formatFault, parseTreeText, TREE_OBJECT_KEY, type TreeDocument } from '../../settings/index.js';
import { SeedTreeError } from './errors.js';
import { startPlatformStandin } from './server.js';

interface PlatformStandinFlags {
  readonly port: string;
  readonly host: string;
  readonly seedTree?: string;
  readonly treeKey: string;
  readonly machineLagMs: string;
}

/** Adds the command to `program` (the `standin` command); it runs until SIGTERM or SIGINT. */
export function registerPlatformStandin(program: Command): void {
  program
    .command('platform')
    .description('object API with versions, watches, leases, a lagging machine list and faults on demand')
    .option('--port <number>', 'TCP port; 0 lets the kernel choose', '0')
    .option('--host <address>', 'address to listen on', '127.0.0.1')
    .option('--seed-tree <file>', 'settings tree (YAML or JSON) stored at the start')
    .option('--tree-key <key>', 'object key of the tree document', TREE_OBJECT_KEY)
    .option(
      '--machine-lag-ms <milliseconds>',
      'how long a change of the machine list stays invisible',
      '2000',
    )
    .addHelpText('after', '\nExample:\n  $ sailquay standin platform --port 9000 --seed-tree tree.yaml')
    .action(run);
}

async function run(flags: PlatformStandinFlags): Promise<void> {
  const objects = flags.seedTree ? { [flags.treeKey]: readTree(flags.seedTree) } : {};
  const standin = await startPlatformStandin({
    port: Number(flags.port),
    host: flags.host,
    machineLagMs: Number(flags.machineLagMs),
    objects,
  });
  process.stdout.write(`${JSON.stringify({ ready: true, url: standin.url })}\n`);
  const stop = (): void => void standin.close();
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

function readTree(file: string): TreeDocument {
  const tree = parseTreeText(readFileSync(file, 'utf8'));
  if (tree.isOk) return tree.value;
  throw new SeedTreeError(file, tree.error.map(formatFault));
}
