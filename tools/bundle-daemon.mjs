/** Bundles the daemon of the platform for the deploy file. */
import { build } from 'esbuild';
import { bundleOptions } from './bundle-options.mjs';

await build({ ...bundleOptions, outfile: 'target/sailquay-daemon.cjs' });
