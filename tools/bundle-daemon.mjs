/** Bundles the daemon of the platform for the deploy file; the argument is the folder to write to. */
import { copyFileSync, rmSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';
import { bundleOptions } from './bundle-options.mjs';

const directory = resolve(process.argv[2] ?? 'target');
await build({ ...bundleOptions, outfile: join(directory, 'sailquay-daemon.bundle.cjs') });
copyFileSync(
  fileURLToPath(new URL('daemon-loader.cjs', import.meta.url)),
  join(directory, 'sailquay-daemon.cjs'),
);
rmSync(join(directory, 'sailquay-daemon.cache'), { force: true });
