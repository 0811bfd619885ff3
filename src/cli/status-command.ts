/** `sailquay status`: all balancers with settings in force, members, flows, and back ends with reasons. */
import type { Command } from 'commander';
import { describeFleet } from './fleet-output.js';
import { collectAdmin, findAdmins, type FleetOptions } from './fleet-options.js';
import { readFleet } from './fleet-status.js';

interface StatusFlags extends FleetOptions {
  readonly json?: boolean;
}

const HELP = `
One daemon is asked for its members, then each member for its own status; a member that does not answer is shown
as unreachable. SHARDS shows those kept + those backed up. What is believed of back ends comes from up to five balancers
(SEEN BY: how many of them agree), their flows from all. Instead of flags, SAILQUAY_ADMIN and SAILQUAY_PLATFORM
may name where to ask.
Exit codes: 0 shown (also when single balancers are unreachable), 2 wrong usage, 5 no daemon answered

Examples:
  $ sailquay status --admin 127.0.0.1:7300
  $ sailquay status --platform http://127.0.0.1:9000 --json
`;

/** Adds `status` to the program. */
export function registerStatusCommand(program: Command): void {
  program
    .command('status')
    .description('show all balancers: settings in force, members, flows, back ends with reasons')
    .option('--admin <ip:port>', 'admin address of any daemon; may be repeated', collectAdmin)
    .option('--platform <url>', 'take admin addresses from the machine list of this platform')
    .option('--json', 'print JSON')
    .addHelpText('after', HELP)
    .action(async (flags: StatusFlags) => {
      const report = await readFleet(await findAdmins(flags));
      const text = flags.json ? JSON.stringify(report, undefined, 2) : describeFleet(report).join('\n');
      process.stdout.write(`${text}\n`);
    });
}
