/** `sailquay standin caller`. */
import type { Command } from 'commander';
import { z } from 'zod';
import type { Endpoint } from '../../common/types.js';
import {
  parseEndpoint,
  endpointSchema,
  jsonParser,
  parseNumber,
  runUntilSignal,
  standinGroup,
} from '../common/command-line.js';
import { startCallerStandin } from './caller-standin.js';
import { DEFAULT_LOAD, type CalledService, type CallerLoad } from './types.js';

const servicesSchema = z
  .array(
    z.object({ name: z.string().min(1), address: endpointSchema, weight: z.number().positive().optional() }),
  )
  .min(1);

interface CallerFlags extends CallerLoad {
  readonly fabric: Endpoint;
  readonly services: CalledService[];
  readonly local: Endpoint;
  readonly control: Endpoint;
  readonly seed: number;
}

/** Option name, its placeholder and what it says. */
type NumericOption = readonly [flag: string, description: string, fallback: number | undefined];

const NUMERIC_OPTIONS: readonly NumericOption[] = [
  ['--long-flows <number>', 'flows kept open until the stop', DEFAULT_LOAD.longFlows],
  ['--long-flows-per-second <number>', 'pace of opening them', DEFAULT_LOAD.longFlowsPerSecond],
  ['--openings-per-second <number>', 'short flows opened a second', DEFAULT_LOAD.openingsPerSecond],
  ['--flow-lifetime-ms <ms>', 'mean life of a short flow', DEFAULT_LOAD.flowLifetimeMs],
  ['--request-interval-ms <ms>', 'mean time between requests of a flow', DEFAULT_LOAD.requestIntervalMs],
  [
    '--unrepeatable-share <share>',
    'share of requests that must not run twice',
    DEFAULT_LOAD.unrepeatableShare,
  ],
  ['--cancel-share <share>', 'share of requests cancelled after sending', DEFAULT_LOAD.cancelShare],
  ['--deadline-ms <ms>', 'deadline sent with each request', undefined],
  ['--request-padding-bytes <bytes>', 'padding of a request', DEFAULT_LOAD.requestPaddingBytes],
  ['--request-timeout-ms <ms>', 'an answer this late breaks the flow', DEFAULT_LOAD.requestTimeoutMs],
  ['--give-up-ms <ms>', 'no acknowledgement for this long breaks the flow', DEFAULT_LOAD.giveUpMs],
  ['--max-retries <number>', 'most repeats of a request not run', DEFAULT_LOAD.maxRetries],
  ['--stop-timeout-ms <ms>', 'longest wait for answers at the stop', DEFAULT_LOAD.stopTimeoutMs],
  ['--client-addresses <number>', 'distinct client addresses', DEFAULT_LOAD.clientAddresses],
  ['--seed <number>', 'seed of every random choice', 1],
];

const EXAMPLE = `
Example:
  $ sailquay standin caller --fabric 127.0.0.1:7000 --long-flows 500 \\
      --services '[{"name":"isartal/pickguide","address":{"host":"10.1.0.1","port":443}}]'`;

/** Adds the command to `program`. */
export function registerCallerStandin(program: Command): void {
  const anyPort = { host: '127.0.0.1', port: 0 };
  const command = standinGroup(program)
    .command('caller')
    .description('Open flows through the fabric, send requests and check the answers')
    .requiredOption('--fabric <address:port>', 'caller side of the fabric', parseEndpoint)
    .requiredOption('--services <json|@file>', 'list of {name, address, weight}', jsonParser(servicesSchema))
    .option('--local <address:port>', 'local data address', parseEndpoint, anyPort)
    .option('--control <address:port>', 'HTTP control address', parseEndpoint, anyPort)
    .option('--first-client-address <address>', 'first inner client address', DEFAULT_LOAD.firstClientAddress)
    .addHelpText('after', EXAMPLE);
  for (const [flag, description, fallback] of NUMERIC_OPTIONS) {
    command.option(flag, description, parseNumber, fallback);
  }
  command.action(async (flags: CallerFlags) => {
    const callers = await startCallerStandin(flags);
    await runUntilSignal({ local: callers.local, control: callers.control }, () => callers.close());
  });
}
