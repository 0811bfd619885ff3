/** `sailquay standin fabric`. */
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
import { startFabricStandin } from './fabric-standin.js';
import type { FabricBalancer, FabricImpairments } from './types.js';

const balancersSchema = z.array(
  z.object({ name: z.string().min(1), data: endpointSchema, admin: endpointSchema }),
);

interface FabricFlags extends FabricImpairments {
  readonly callerSide: Endpoint;
  readonly balancerSide: Endpoint;
  readonly control: Endpoint;
  readonly balancers: FabricBalancer[];
  readonly seed: number;
}

/** Adds the command to `program`. */
export function registerFabricStandin(program: Command): void {
  const anyPort = { host: '127.0.0.1', port: 0 };
  standinGroup(program)
    .command('fabric')
    .description('Spray packets of callers over the balancers that are ready')
    .option('--caller-side <address:port>', 'where callers send packets', parseEndpoint, anyPort)
    .option('--balancer-side <address:port>', 'where balancers send packets back', parseEndpoint, anyPort)
    .option('--control <address:port>', 'HTTP control address', parseEndpoint, anyPort)
    .option('--balancers <json|@file>', 'list of {name, data, admin}', jsonParser(balancersSchema), [])
    .option('--seed <number>', 'seed of the random choices', parseNumber, 1)
    .option('--loss-share <share>', 'share of packets lost', parseNumber, 0)
    .option('--duplicate-share <share>', 'share of packets sent twice', parseNumber, 0)
    .option('--reorder-share <share>', 'share of packets delayed past others', parseNumber, 0)
    .option('--reorder-delay-ms <ms>', 'delay of those packets', parseNumber, 5)
    .option('--one-way-delay-ms <ms>', 'delay of every packet', parseNumber, 0)
    .addHelpText('after', '\nExample:\n  $ sailquay standin fabric --seed 7 --duplicate-share 0.01')
    .action(async (flags: FabricFlags) => {
      const fabric = await startFabricStandin(flags);
      const { callerSide, balancerSide, control } = fabric;
      await runUntilSignal({ callerSide, balancerSide, control }, () => fabric.close());
    });
}
