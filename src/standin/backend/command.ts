/** `sailquay standin backend`. */
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
import { startBackendStandin } from './backend-standin.js';
import type { BackendDefinition } from './types.js';

const count = z.number().nonnegative().optional();

const backendsSchema = z
  .array(
    z.strictObject({
      name: z.string().min(1),
      service: z.string().min(1),
      addresses: z.array(endpointSchema).min(1),
      endpoint: endpointSchema,
      health: endpointSchema,
      slots: count,
      maxConnections: count,
      maxQueued: count,
      serviceTimeMs: count,
      serviceTimeDistribution: z.enum(['fixed', 'exponential', 'lognormal']).optional(),
      coldStartMs: count,
      coldFactor: count,
      retryAfterMs: count,
      answerPaddingBytes: count,
    }),
  )
  .min(1);

interface BackendFlags {
  readonly backends: BackendDefinition[];
  readonly control: Endpoint;
  readonly seed: number;
}

const EXAMPLE = `
Example:
  $ sailquay standin backend --backends @backends.json

Each entry: {"name", "service", "addresses": [{"host", "port"}], "endpoint", "health"} and, if they differ from
the defaults, slots, maxConnections, maxQueued, serviceTimeMs, serviceTimeDistribution, coldStartMs, coldFactor,
retryAfterMs, answerPaddingBytes.`;

/** Adds the command to `program`. */
export function registerBackendStandin(program: Command): void {
  standinGroup(program)
    .command('backend')
    .description('Run one or many back ends')
    .requiredOption('--backends <json|@file>', 'list of back ends', jsonParser(backendsSchema))
    .option('--control <address:port>', 'HTTP control address', parseEndpoint, { host: '127.0.0.1', port: 0 })
    .option('--seed <number>', 'seed of the service times', parseNumber, 1)
    .addHelpText('after', EXAMPLE)
    .action(async (flags: BackendFlags) => {
      const standin = await startBackendStandin(flags);
      await runUntilSignal({ control: standin.control, backends: standin.backends }, () => standin.close());
    });
}
