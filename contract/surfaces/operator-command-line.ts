/** The command line: commands, arguments, options, defaults and exit codes; help texts are left out. */
import { userInfo } from 'node:os';
import { Command } from 'commander';
import { ExitCode, exitCodeOf } from '../../src/cli/exit-codes.js';
import { run } from '../../src/cli/program.js';
import { SailquayError } from '../../src/common/types.js';

/** The program that `run` builds when `name` is asked for; nothing is parsed and no action runs. */
async function programFor(name: string): Promise<Command> {
  const built: Command[] = [];
  const parse = Object.getOwnPropertyDescriptor(Command.prototype, 'parseAsync');
  Command.prototype.parseAsync = async function capture(this: Command) {
    built.push(this);
    return this;
  };
  try {
    await run([name], { writeOut: () => undefined, writeErr: () => undefined });
  } finally {
    if (parse) Object.defineProperty(Command.prototype, 'parseAsync', parse);
  }
  const [program] = built;
  if (program === undefined) throw new Error(`No program was built for ${name}`);
  return program;
}

/** A default; the name of whoever runs this is replaced, so that it is the same on every machine. */
function anywhere(value: unknown): unknown {
  return value === userInfo().username ? 'name of the user' : value;
}

/** Commands that only this repository's own pages used; nobody else relies on them. */
const OWN_COMMANDS: ReadonlySet<string> = new Set(['capacity']);

function describe(command: Command): unknown {
  return {
    name: command.name(),
    aliases: command.aliases(),
    arguments: command.registeredArguments.map((argument) => ({
      name: argument.name(),
      required: argument.required,
      variadic: argument.variadic,
      default: argument.defaultValue as unknown,
      choices: argument.argChoices,
    })),
    options: command.options.map((option) => ({
      flags: option.flags,
      mandatory: option.mandatory,
      default: anywhere(option.defaultValue),
      choices: option.argChoices,
      environment: option.envVar,
    })),
    commands: command.commands.filter((child) => !OWN_COMMANDS.has(child.name())).map(describe),
  };
}

/** What goes wrong, by the kind of the error that tells of it. */
const SITUATIONS = {
  'configuration invalid': 'daemon.config-invalid',
  'configuration unreadable': 'daemon.config-unreadable',
  'tree invalid': 'settings.invalid',
  'another edit came first': 'settings.conflict',
  'no such node': 'settings.node-not-found',
  'no platform for the tree': 'settings.platform-unavailable',
  'platform unreachable': 'platform.unreachable',
  'platform too slow': 'platform.deadline',
  'another version is stored': 'platform.version-conflict',
  'no daemon answers': 'cli.fleet-unreachable',
  'no daemon is named': 'cli.no-fleet',
  'anything else': 'contract.unlisted',
};

class FailureOfKind extends SailquayError {
  constructor(readonly kind: string) {
    super('Problem', 'Remedy');
  }
}

function exitCodesBySituation(): Record<string, number> {
  const codes = Object.entries(SITUATIONS).map(([situation, kind]) => [
    situation,
    exitCodeOf(new FailureOfKind(kind)),
  ]);
  return { ...Object.fromEntries(codes), 'foreign error': exitCodeOf(new Error('foreign')) };
}

/** Every command with what it takes, and the exit codes. */
export async function commandLine(): Promise<unknown> {
  const names = (await programFor('none')).commands.map((command) => command.name());
  const commands: unknown[] = [];
  for (const name of names) {
    const found = (await programFor(name)).commands.find((command) => command.name() === name);
    if (found) commands.push(describe(found));
  }
  const codes = Object.values(ExitCode).filter((code) => typeof code === 'number');
  return { commands, exitCodes: codes.sort(), exitCodesBySituation: exitCodesBySituation() };
}
