/**
 * Writes the code cache of a bundled daemon: runs it on loopback in surroundings that make it do what a daemon does
 * in its first seconds (platform/tools/warm-up), and keeps what V8 compiled. Functions that did not run are
 * compiled by each daemon anew, which costs a small machine tenths of a second. The argument is the folder of the
 * bundle. To be run with the V8 flags with which the daemon is run: V8 refuses a cache made with others.
 */
import { createRequire } from 'node:module';
import { renameSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';
import { build } from 'esbuild';

/**
 * The whole run takes about 1.5 s; on a busy machine more. After this many ms the build goes on without a code
 * cache.
 */
const GIVE_UP_MS = 20_000;
const EXIT_FAILED = 1;

const directory = resolve(process.argv[2] ?? 'target');
const configPath = join(directory, 'warm-up.json');
const warmUpPath = join(directory, 'warm-up.mjs');
const cachePath = join(directory, 'sailquay-daemon.cache');

await build({
  entryPoints: [fileURLToPath(new URL('../platform/tools/warm-up/warm-up.ts', import.meta.url))],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  logLevel: 'warning',
  outfile: warmUpPath,
});
setTimeout(() => {
  process.stderr.write(`sailquay: the daemon was not warmed up in ${GIVE_UP_MS} ms\n`);
  process.exit(EXIT_FAILED);
}, GIVE_UP_MS);
const { WarmUp } = await import(pathToFileURL(warmUpPath).href);
const warmUp = await WarmUp.open();
writeFileSync(configPath, JSON.stringify(warmUp.configuration));
process.env.SAILQUAY_CONFIG = configPath;

const writeLog = process.stdout.write.bind(process.stdout);
process.stdout.write = (text) => {
  warmUp.noteLog(String(text));
  return true;
};
const script = createRequire(import.meta.url)(join(directory, 'sailquay-daemon.cjs'));
await warmUp.exercise();
process.stdout.write = writeLog;
writeFileSync(`${cachePath}.new`, script.createCachedData());
renameSync(`${cachePath}.new`, cachePath);
process.exit(0);
