/** `sailquay experiment run forwarding`. */
import { writeFileSync } from 'node:fs';
import { InvalidArgumentError, type Command } from 'commander';
import { DEFAULT_PACKET_BYTES, DEFAULT_ROUNDS, DEFAULT_SECONDS, MIN_PACKET_BYTES } from './constants.js';

interface ForwardingFlags {
  readonly json?: boolean;
  readonly out?: string;
  readonly seconds: number;
  readonly rounds: number;
  readonly packetBytes: number;
  readonly daemons: readonly number[];
}

const EXAMPLES = `
Packets/s and latency of a balancer beside a bare dgram relay with the same sockets, in alternating rounds.

Examples:
  $ sailquay experiment run forwarding
  $ sailquay experiment run forwarding --seconds 3 --rounds 7 --json
`;

function positiveNumber(text: string): number {
  const value = Number(text);
  if (!Number.isFinite(value) || value <= 0) throw new InvalidArgumentError('Give a number above 0.');
  return value;
}

function packetSize(text: string): number {
  const value = positiveNumber(text);
  if (value < MIN_PACKET_BYTES) throw new InvalidArgumentError(`Give at least ${MIN_PACKET_BYTES} bytes.`);
  return value;
}

function counts(text: string): number[] {
  return text.split(',').map(positiveNumber);
}

/** Adds the experiment below `run`. */
export function registerForwardingRun(run: Command): void {
  run
    .command('forwarding')
    .description('forwarding rate beside a bare relay: as keeper, over two balancers, several daemons')
    .option('--seconds <seconds>', 'time measured for each path in a round', positiveNumber, DEFAULT_SECONDS)
    .option('--rounds <count>', 'rounds; the report gives medians', positiveNumber, DEFAULT_ROUNDS)
    .option('--packet-bytes <bytes>', 'size of the inner packets', packetSize, DEFAULT_PACKET_BYTES)
    .option('--daemons <counts>', 'numbers of daemons to measure at once', counts, [1, 2, 4])
    .addHelpText('after', EXAMPLES)
    .action(async (_own: unknown, command: Command) =>
      runCommand(command.optsWithGlobals<ForwardingFlags>()),
    );
}

async function runCommand(flags: ForwardingFlags): Promise<void> {
  const { runForwarding } = await import('./forwarding-run.js');
  const { forwardingText } = await import('./forwarding-text.js');
  const { seconds, rounds, packetBytes, daemons: daemonCounts } = flags;
  const progress = (line: string): void => void process.stderr.write(`forwarding: ${line}\n`);
  const report = await runForwarding({ seconds, rounds, packetBytes, daemonCounts, progress });
  if (flags.out) writeFileSync(flags.out, `${JSON.stringify(report, null, 1)}\n`);
  process.stdout.write(flags.json ? `${JSON.stringify(report, null, 2)}\n` : forwardingText(report));
}
