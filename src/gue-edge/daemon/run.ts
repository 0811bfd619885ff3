/**
 * Runs a daemon as the process: configuration, log, ready line, signals, uncaught errors and exit code.
 *
 * Owns the process: its signal handlers, its exit code and the ready line on standard output. Relies on `daemon.ts`
 * for everything else.
 */
import { randomInt } from 'node:crypto';
import { SystemClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import { SailquayError } from '../../common/types.js';
import { ConsolaEventLog } from '../../observability/index.js';
import { loadDaemonConfig, type ConfigOverrides, type DaemonConfig } from './config.js';
import { Daemon } from './daemon.js';
import { DAEMON_EVENTS } from './events.js';
import { FaultInjection } from './fault-injection.js';

/** Largest seed drawn. Any 31-bit number is a valid seed. */
const MAX_SEED = 0x7fff_ffff;
const EXIT_DONE = 0;
const EXIT_FAILED = 1;

/** Runs until SIGTERM or SIGINT has been carried out; resolves to the exit code. Throws when it cannot start. */
export async function runDaemon(
  configPath: string | undefined,
  overrides: ConfigOverrides,
  options: { readonly faultInjection: boolean },
): Promise<number> {
  const config = loadDaemonConfig(configPath, overrides);
  const clock = new SystemClock();
  const events = new ConsolaEventLog({ ...config.log, memberId: config.id, clock });
  const random = seededRandom(randomInt(MAX_SEED));
  reportUncaught(events);
  const faults = options.faultInjection ? new FaultInjection() : undefined;
  const daemon = await Daemon.start(config, { clock, random, events, faults });
  process.on('SIGHUP', () => reread(daemon, events, () => loadDaemonConfig(configPath, overrides)));
  process.stdout.write(`${JSON.stringify(daemon.readyLine())}\n`);
  return untilStopped(daemon, events);
}

function reread(daemon: Daemon, events: ConsolaEventLog, load: () => DaemonConfig): void {
  try {
    const config = load();
    daemon.reload(config);
    events.setLevel(config.log.level);
  } catch (error) {
    if (!(error instanceof SailquayError)) throw error;
    events.emit(DAEMON_EVENTS.configRejected, { error: error.message });
  }
}

async function untilStopped(daemon: Daemon, events: ConsolaEventLog): Promise<number> {
  return new Promise((resolve, reject) => {
    let stopping = false;
    const onSignal = (): void => {
      if (stopping) {
        events.emit(DAEMON_EVENTS.stopForced);
        process.exit(EXIT_FAILED);
      }
      stopping = true;
      daemon.stop().then(() => resolve(EXIT_DONE), reject);
    };
    process.on('SIGTERM', onSignal);
    process.on('SIGINT', onSignal);
  });
}

function reportUncaught(events: ConsolaEventLog): void {
  const end = (error: unknown): void => {
    const { message, stack } = error instanceof Error ? error : new Error(String(error));
    events.emit(DAEMON_EVENTS.uncaughtError, { error: message, stack });
    process.exit(EXIT_FAILED);
  };
  process.on('uncaughtException', end);
  process.on('unhandledRejection', end);
}
