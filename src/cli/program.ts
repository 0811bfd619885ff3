/**
 * The commands of sailquay. Each command's module is loaded only when that command is used, so that a daemon
 * loads no more than it needs.
 */
import { Command, CommanderError } from 'commander';
import { SailquayError } from '../common/types.js';
import { KEEP_ALIVE_MS } from './constants.js';
import { exitCodeOf, EXIT_CODES_HELP, ExitCode } from './exit-codes.js';

/** A command that is known by name before its module is loaded. */
interface LazyCommand {
  readonly name: string;
  readonly description: string;
  readonly register: (program: Command) => Promise<void>;
}

const COMMANDS: readonly LazyCommand[] = [
  {
    name: 'daemon',
    description: 'run a balancer',
    register: async (program) => (await import('./daemon-command.js')).registerDaemonCommand(program),
  },
  {
    name: 'config',
    description: 'check configuration and settings files, print their schema',
    register: async (program) => (await import('./config-command.js')).registerConfigCommand(program),
  },
  {
    name: 'tree',
    description: 'read and edit the settings tree',
    register: async (program) => (await import('./tree-command.js')).registerTreeCommand(program),
  },
  {
    name: 'status',
    description: 'show all balancers: settings in force, members, flows, back ends with reasons',
    register: async (program) => (await import('./status-command.js')).registerStatusCommand(program),
  },
  {
    name: 'explain',
    description: "print what the balancers' logs say about one flow",
    register: async (program) => (await import('./explain-command.js')).registerExplainCommand(program),
  },
  {
    name: 'backend',
    description: 'drain a back end, or take it back into service',
    register: async (program) => (await import('./backend-command.js')).registerBackendCommand(program),
  },
  {
    name: 'experiment',
    description: 'run load and fault experiments',
    register: async (program) => (await import('../experiment/index.js')).registerExperimentCommand(program),
  },
  {
    name: 'standin',
    description: 'run small stand-ins of the platform, the fabric, back ends and callers',
    register: async (program) => (await import('./standin-command.js')).registerStandinCommand(program),
  },
];

const EXAMPLES = `
Examples:
  $ sailquay config check examples/isartal.yaml
  $ sailquay daemon run --config balancer-1.yaml
  $ sailquay tree set isartal/pickguide idleTimeoutMs=36000000 --platform http://127.0.0.1:7000
  $ sailquay status --admin 127.0.0.1:7300
`;

/** Where help and errors go; tests pass their own. */
interface ProgramOutput {
  writeOut(text: string): void;
  writeErr(text: string): void;
}

const PROCESS_OUTPUT: ProgramOutput = {
  writeOut: (text) => void process.stdout.write(text),
  writeErr: (text) => void process.stderr.write(text),
};

/** Builds the program with the module of `requested` loaded and the other commands by name only. */
async function buildProgram(requested: string | undefined, output: ProgramOutput): Promise<Command> {
  const program = new Command('sailquay')
    .description('Layer-4 load balancer that keeps every established flow with its back end')
    .version('0.1.0')
    .showHelpAfterError('(add --help for usage)')
    .addHelpText('after', EXAMPLES)
    .addHelpText('after', EXIT_CODES_HELP)
    .configureOutput(output)
    .exitOverride();
  for (const command of COMMANDS) {
    if (command.name === requested) await command.register(program);
    else program.command(command.name).description(command.description);
  }
  overrideExits(program);
  return program;
}

/** Runs the command line; the result is the exit code. Errors are written without stack traces. */
export async function run(argv: readonly string[], output = PROCESS_OUTPUT): Promise<number> {
  const requested = argv[0] === 'help' ? argv[1] : argv.find((argument) => !argument.startsWith('-'));
  const keepAlive = setInterval(() => undefined, KEEP_ALIVE_MS);
  try {
    const program = await buildProgram(requested, output);
    await program.parseAsync([...argv], { from: 'user' });
    return Number(process.exitCode ?? ExitCode.Ok);
  } catch (error) {
    return report(error, output);
  } finally {
    clearInterval(keepAlive);
  }
}

function overrideExits(command: Command): void {
  command.exitOverride();
  command.commands.forEach((child) => overrideExits(child));
}

function report(error: unknown, output: ProgramOutput): number {
  if (error instanceof CommanderError) return error.exitCode === 0 ? ExitCode.Ok : ExitCode.Usage;
  const text = error instanceof Error ? error.message : String(error);
  output.writeErr(`sailquay: ${text}\n`);
  if (!(error instanceof SailquayError) && process.env['SAILQUAY_DEBUG'] && error instanceof Error) {
    output.writeErr(`${error.stack}\n`);
  }
  return exitCodeOf(error);
}
