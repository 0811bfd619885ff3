/** Bundles the daemon of the platform into one file, without the command line, experiments and stand-ins. */
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/sailquay-daemon.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: process.argv.includes('--minify'),
  metafile: process.argv.includes('--analyze'),
  banner: {
    js: "import { createRequire as __createRequire } from 'node:module'; const require = __createRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
