/** Finds the admin addresses that the status and back-end commands start from. */
import { InvalidArgumentError } from 'commander';
import { isIPv4 } from 'node:net';
import { SystemClock } from '../common/clock.js';
import { seededRandom } from '../common/random.js';
import { SailquayError, type Endpoint } from '../common/types.js';
import { SILENT_EVENT_LOG } from '../observability/event.js';
import { createStoreClient, type ConnectedStoreClient } from '../store/index.js';

/** Environment variable with the platform's base URL, for when `--platform` is not given. */
export const PLATFORM_VARIABLE = 'SAILQUAY_PLATFORM';
/** Environment variable with admin addresses, separated by commas, for when `--admin` is not given. */
const ADMIN_VARIABLE = 'SAILQUAY_ADMIN';

const MAX_PORT = 65_535;

/** Options that name a fleet. */
export interface FleetOptions {
  readonly admin?: readonly Endpoint[];
  readonly platform?: string;
}

/** Neither a daemon nor a platform is named. */
class NoFleetError extends SailquayError {
  readonly kind = 'cli.no-fleet';
}

/** Collects `--admin IP:PORT`, which may be given several times. */
export function collectAdmin(text: string, previous: readonly Endpoint[] = []): readonly Endpoint[] {
  return [...previous, parseAdmin(text)];
}

/** The admin addresses to ask, in order: those given, else those of the platform's machine list. */
export async function findAdmins(options: FleetOptions): Promise<readonly Endpoint[]> {
  const fromEnvironment = process.env[ADMIN_VARIABLE];
  const named = options.admin ?? (fromEnvironment ? fromEnvironment.split(',').map(parseAdmin) : []);
  if (named.length > 0) return named;
  const platform = connectPlatform(options);
  try {
    const machines = await platform.listMachines();
    if (machines.isErr) throw machines.error;
    const admins = machines.value.flatMap((machine) => (machine.admin ? [machine.admin] : []));
    if (admins.length > 0) return admins;
  } finally {
    await platform.close();
  }
  throw new NoFleetError(
    'the machine list of the platform names no admin address',
    'Give one with --admin IP:PORT',
  );
}

/** A client of the platform that the options or the environment name. Throws `NoFleetError`. */
export function connectPlatform(options: FleetOptions): ConnectedStoreClient {
  const baseUrl = options.platform ?? process.env[PLATFORM_VARIABLE];
  if (baseUrl === undefined) {
    throw new NoFleetError(
      'no platform and no daemon is named',
      `Give --platform URL or --admin IP:PORT, or set ${PLATFORM_VARIABLE} or ${ADMIN_VARIABLE}`,
    );
  }
  const clock = new SystemClock();
  const random = seededRandom(clock.wall() % MAX_PORT);
  return createStoreClient({ baseUrl, clock, random, events: SILENT_EVENT_LOG, caller: 'sailquay-cli' });
}

function parseAdmin(text: string): Endpoint {
  const [host = '', port = ''] = text.split(':');
  const valid = isIPv4(host) && /^\d+$/.test(port) && Number(port) >= 1 && Number(port) <= MAX_PORT;
  if (!valid) throw new InvalidArgumentError(`"${text}" is not an address: write IPv4:port`);
  return { host, port: Number(port) };
}
