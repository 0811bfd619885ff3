/** `sailquay standin`: small substitutes for the platform, the fabric, back ends and callers. */
import type { Command } from 'commander';
import {
  registerBackendStandin,
  registerCallerStandin,
  registerFabricStandin,
  registerPlatformStandin,
} from '../standin/index.js';

const HELP = `
For tests and the demo only. Each prints one JSON line {"ready":true,...} with its bound addresses and runs until
SIGTERM or SIGINT.

Examples:
  $ sailquay standin platform --port 9000 --seed-tree examples/isartal.yaml
  $ sailquay standin fabric --balancers @balancers.json
`;

/** Adds `standin` to the program. */
export function registerStandinCommand(program: Command): void {
  const standin = program
    .command('standin')
    .description('run small stand-ins of the platform, the fabric, back ends and callers');
  standin.addHelpText('after', HELP);
  registerPlatformStandin(standin);
  registerFabricStandin(program);
  registerBackendStandin(program);
  registerCallerStandin(program);
}
