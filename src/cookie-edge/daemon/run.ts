/**
 * Runs a daemon on a cookie edge as a process. Handles the configuration file, the log, signals, uncaught errors and
 * the exit code; `CookieDaemon` does the rest.
 */
import { statSync } from 'node:fs';
import { SystemClock, type Clock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import { SailquayError } from '../../common/types.js';
import { ConsolaEventLog } from '../../observability/event-log.js';
import type { EventLog } from '../../observability/event.js';
import { LineWriter } from '../../observability/line-writer.js';
import type { DeploymentAdapters } from './adapters.js';
import { loadCookieDaemonConfig } from './config.js';
import { CONFIG_POLL_MS } from './constants.js';
import { CookieDaemon } from './cookie-daemon.js';
import { COOKIE_DAEMON_EVENTS } from './events.js';

/** Largest seed of the random source: 31 bits. */
const MAX_SEED = 0x7fff_ffff;
const EXIT_SUCCESS = 0;
const EXIT_FAILURE = 1;

/** Runs until the daemon has stopped after SIGTERM or SIGINT. Resolves to the exit code; rejects if it cannot start. */
export async function runCookieDaemon(configPath: string, adapters: DeploymentAdapters): Promise<number> {
  const config = await loadCookieDaemonConfig(configPath);
  const clock = new SystemClock();
  const writer = new LineWriter(clock, process.stdout, config.log.gatherMs);
  const events = new ConsolaEventLog({
    format: 'json',
    level: config.log.level,
    burst: config.log.burst,
    memberId: config.id,
    clock,
    write: writer.write,
  });
  exitOnUncaughtError(events, writer);
  const random = seededRandom(Math.floor(Math.random() * MAX_SEED));
  const daemon = await CookieDaemon.start(config, { clock, random, events, adapters });
  reloadOnChange({ configPath, clock, events, daemon });
  await waitForStop(daemon);
  writer.flush();
  return EXIT_SUCCESS;
}

/** Arguments for reloading the configuration. */
interface ReloadContext {
  readonly configPath: string;
  readonly clock: Clock;
  readonly events: ConsolaEventLog;
  readonly daemon: CookieDaemon;
}

/** Reloads the configuration on SIGHUP and when the modification time of its file changes. */
function reloadOnChange(context: ReloadContext): void {
  const { configPath, clock } = context;
  let lastModifiedMs = modificationTimeMs(configPath);
  process.on('SIGHUP', () => {
    lastModifiedMs = modificationTimeMs(configPath);
    void reloadConfig(context);
  });
  const scheduleNextPoll = (): void => {
    clock.schedule(CONFIG_POLL_MS, () => {
      const modifiedMs = modificationTimeMs(configPath);
      if (modifiedMs !== lastModifiedMs) void reloadConfig(context);
      lastModifiedMs = modifiedMs;
      scheduleNextPoll();
    });
  };
  scheduleNextPoll();
}

function modificationTimeMs(path: string): number | undefined {
  return statSync(path, { throwIfNoEntry: false })?.mtimeMs;
}

/** Applies the new configuration; logs the error and keeps the previous one if it is unreadable or invalid. */
async function reloadConfig({ configPath, events, daemon }: ReloadContext): Promise<void> {
  try {
    const config = await loadCookieDaemonConfig(configPath);
    daemon.reload(config);
    events.setLevel(config.log.level);
  } catch (error) {
    if (!(error instanceof SailquayError)) throw error;
    events.emit(COOKIE_DAEMON_EVENTS.configRejected, { error: error.message });
  }
}

/** Stops the daemon on SIGTERM or SIGINT; resolves when it has stopped. */
function waitForStop(daemon: CookieDaemon): Promise<void> {
  return new Promise((resolve, reject) => {
    const onSignal = (): void => {
      daemon.stop().then(resolve, reject);
    };
    process.on('SIGTERM', onSignal);
    process.on('SIGINT', onSignal);
  });
}

function exitOnUncaughtError(events: EventLog, writer: LineWriter): void {
  const reportAndExit = (error: unknown): void => {
    const { message, stack } = error instanceof Error ? error : new Error(String(error));
    process.stderr.write(`sailquay: uncaught error: ${message}\n`);
    events.emit(COOKIE_DAEMON_EVENTS.uncaughtError, { error: message, stack });
    writer.flush();
    process.exit(EXIT_FAILURE);
  };
  process.on('uncaughtException', reportAndExit);
  process.on('unhandledRejection', reportAndExit);
}
