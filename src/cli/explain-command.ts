/** `sailquay explain`: what the balancers' logs say about one flow. */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Command } from 'commander';
import { explainFlow, formatRelatedLine, parseLogLine, type LogLine } from '../observability/explain-flow.js';
import { ExitCode } from './exit-codes.js';
import { PROCESS_OUTPUT, type CommandOutput } from './settings-output.js';

const HELP = `
The flow is written as in the logs: caller:port>service:port, or only caller:port. Lines of all balancers may be mixed.
docs/OPERATIONS.md tells how to come from a request to its flow.

Examples:
  $ sailquay explain '100.64.0.7:40001>198.18.0.1:8443' balancer-*.log
  $ journalctl -o cat | sailquay explain 100.64.0.7:40001
`;

/** Adds `explain` to the program. */
export function registerExplainCommand(program: Command, output: CommandOutput = PROCESS_OUTPUT): void {
  program
    .command('explain')
    .argument('<flow>', 'caller:port>service:port, or caller:port')
    .argument('[files...]', 'log files of the balancers; standard input when there are none')
    .description("print what the balancers' logs say about one flow")
    .addHelpText('after', HELP)
    .action((flow: string, files: string[]) => explain(flow, files, output));
}

async function explain(flow: string, files: readonly string[], output: CommandOutput): Promise<void> {
  const lines: LogLine[] = [];
  try {
    if (files.length === 0) await readLines(process.stdin, lines);
    for (const file of files) await readLines(createReadStream(file), lines);
  } catch (error) {
    output.writeError(`sailquay: a log cannot be read: ${(error as Error).message}. Give readable files`);
    return output.exit(ExitCode.Failure);
  }
  const related = explainFlow(lines, flow);
  if (related.length > 0) return output.write(related.map(formatRelatedLine).join('\n'));
  output.writeError(
    `sailquay: none of ${lines.length} log lines speaks of the flow ${flow}. ` +
      'Give the logs of all balancers of that time; no line at all means that no packet of it arrived',
  );
  output.exit(ExitCode.NotFound);
}

async function readLines(input: NodeJS.ReadableStream, lines: LogLine[]): Promise<void> {
  for await (const text of createInterface({ input })) {
    const line = parseLogLine(text);
    if (line) lines.push(line);
  }
}
