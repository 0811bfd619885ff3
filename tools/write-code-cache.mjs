/**
 * Writes the code cache of a bundled daemon: starts it on loopback with no source in reach, so that what a start runs is
 * compiled, and keeps what V8 compiled. The argument is the folder of the bundle. To be run with the V8 flags with which the
 * daemon is run: V8 refuses a cache made with others.
 */
import { createRequire } from 'node:module';
import { renameSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';

/** A start is over after this long. */
const WARM_UP_MS = 500;
const LOOPBACK = '127.0.0.1:0';
const UNREACHABLE = '127.0.0.1:9';

const directory = resolve(process.argv[2] ?? 'target');
const configPath = join(directory, 'warm-up.json');
const cachePath = join(directory, 'sailquay-daemon.cache');

writeFileSync(
  configPath,
  JSON.stringify({
    ...{ id: 'warm-up', region: 'none', zone: 'none', source: UNREACHABLE },
    ...{ data: LOOPBACK, admin: LOOPBACK, control: LOOPBACK },
    log: { level: 'error' },
  }),
);
process.env.SAILQUAY_CONFIG = configPath;
const script = createRequire(import.meta.url)(join(directory, 'sailquay-daemon.cjs'));
setTimeout(() => {
  writeFileSync(`${cachePath}.new`, script.createCachedData());
  renameSync(`${cachePath}.new`, cachePath);
  process.exit(0);
}, WARM_UP_MS);
