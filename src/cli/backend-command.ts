/** `sailquay backend drain|undrain`: an edit of the settings tree that stops or allows new flows to a back end. */
import { randomInt, randomUUID } from 'node:crypto';
import { userInfo } from 'node:os';
import { InvalidArgumentError, type Command } from 'commander';
import { SystemClock } from '../common/clock.js';
import { seededRandom } from '../common/random.js';
import { SailquayError, type Endpoint } from '../common/types.js';
import { drainNode, TreeEditor, type EditOutcome } from '../settings/index.js';
import { MAX_SEED, MS_PER_SECOND } from './constants.js';
import { collectAdmin, connectPlatform, findAdmins, type FleetOptions } from './fleet-options.js';
import { readFleet, type BalancerReport } from './fleet-status.js';

/** How long a drain is watched, s. Edits were in force everywhere within 0.3 s in recorded runs. */
const DEFAULT_WAIT_SECONDS = 10;
/** Time between two looks at the fleet while a drain is watched, ms. Short for a person who waits. */
const WAIT_POLL_MS = 100;

interface BackendFlags extends FleetOptions {
  readonly wait?: number | true;
  readonly author?: string;
  readonly json?: boolean;
}

/** The edit was accepted, but some balancer does not have it in force yet. */
class NotInForceError extends SailquayError {
  readonly kind = 'cli.not-in-force';

  constructor(version: number, waitSeconds: number, behind: readonly string[]) {
    super(
      `version ${version} was accepted, but after ${waitSeconds} s it is not in force on ${behind.join(', ')}`,
      'Look at these balancers with sailquay status; the edit stays accepted and need not be repeated',
    );
  }
}

const HELP = `
NAME is the full path of a back end. A draining back end gets no new flow; its open flows stay. With --wait the
command returns once the edit is in force on every balancer that answers.
Exit codes: 0 done, 1 not in force in time, 2 wrong usage, 4 conflict with another edit, 5 platform unreachable,
  6 no such back end

Examples:
  $ sailquay backend drain isartal/pickguide/pick-01 --platform http://127.0.0.1:9000
  $ sailquay backend drain isartal/pickguide/pick-01 --wait 5 --admin 127.0.0.1:7300
  $ sailquay backend undrain isartal/pickguide/pick-01
`;

/** Adds `backend` to the program. */
export function registerBackendCommand(program: Command): void {
  const backend = program.command('backend').description('drain a back end, or take it back into service');
  backend.addHelpText('after', HELP);
  addSubcommand(backend, 'drain', 'give a back end no new flow; open flows stay', true);
  addSubcommand(backend, 'undrain', 'give a drained back end new flows again', false);
}

function addSubcommand(parent: Command, name: string, description: string, draining: boolean): void {
  parent
    .command(name)
    .description(description)
    .argument('<name>', 'full path, e.g. isartal/pickguide/pick-01')
    .option('--platform <url>', 'base URL of the platform (or SAILQUAY_PLATFORM)')
    .option('--admin <ip:port>', 'admin address of any daemon, for --wait; may be repeated', collectAdmin)
    .option(
      '--wait [seconds]',
      `wait until in force everywhere (default ${DEFAULT_WAIT_SECONDS} s)`,
      parseSeconds,
    )
    .option('--author <name>', 'author named in the history of the tree')
    .option('--json', 'print JSON')
    .addHelpText('after', HELP)
    .action((path: string, flags: BackendFlags) => edit(path, draining, flags));
}

async function edit(path: string, draining: boolean, flags: BackendFlags): Promise<void> {
  const startedMs = Date.now();
  const outcome = await writeEdit(path, draining, flags);
  const waitSeconds = flags.wait === true ? DEFAULT_WAIT_SECONDS : flags.wait;
  const balancers =
    waitSeconds === undefined
      ? undefined
      : await waitUntilInForce(await findAdmins(flags), outcome.version, waitSeconds);
  const seconds = balancers === undefined ? undefined : (Date.now() - startedMs) / MS_PER_SECOND;
  if (flags.json) {
    process.stdout.write(
      `${JSON.stringify({ path, draining, ...outcome, inForceOn: balancers, seconds })}\n`,
    );
    return;
  }
  const force =
    balancers === undefined ? '' : `; in force on ${balancers} balancers after ${seconds?.toFixed(1)} s`;
  const change = outcome.outcome === 'unchanged' ? 'was already so' : `version ${outcome.version}`;
  process.stdout.write(`${path}: draining ${draining} (${change})${force}\n`);
}

async function writeEdit(path: string, draining: boolean, flags: BackendFlags): Promise<EditOutcome> {
  const platform = connectPlatform(flags);
  try {
    const clock = new SystemClock();
    const editor = new TreeEditor({ platform, clock, random: seededRandom(randomInt(MAX_SEED)) });
    const summary = `${draining ? 'drain' : 'undrain'} ${path}`;
    const author = flags.author ?? userInfo().username;
    const result = await editor.edit(drainNode(path, draining), { author, token: randomUUID(), summary });
    if (result.isErr) throw result.error;
    return result.value;
  } finally {
    await platform.close();
  }
}

/** Resolves to the number of balancers that have `version` in force, once all that answer do. */
async function waitUntilInForce(
  admins: readonly Endpoint[],
  version: number,
  waitSeconds: number,
): Promise<number> {
  const deadlineMs = Date.now() + waitSeconds * MS_PER_SECOND;
  for (;;) {
    const { balancers } = await readFleet(admins);
    const answering = balancers.filter(({ status }) => status !== undefined);
    const behind = answering.filter((balancer) => versionOf(balancer) < version);
    if (behind.length === 0) return answering.length;
    if (Date.now() > deadlineMs)
      throw new NotInForceError(
        version,
        waitSeconds,
        behind.map(({ id }) => id),
      );
    await new Promise((resolve) => setTimeout(resolve, WAIT_POLL_MS));
  }
}

function versionOf({ status }: BalancerReport): number {
  return status?.settings.version ?? 0;
}

function parseSeconds(text: string): number {
  const seconds = Number(text);
  if (Number.isFinite(seconds) && seconds > 0) return seconds;
  throw new InvalidArgumentError('write a number of seconds above 0');
}
