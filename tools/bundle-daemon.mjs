/**
 * Bundles the daemon of the platform into one file. What a start does not need stays outside: the command line, experiments
 * and stand-ins are never reached, the YAML and metrics libraries are loaded from node_modules when they are used.
 */
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

/** Only the exact name: the replacement itself imports single files of the library. */
const lightStreams = {
  name: 'light-streams',
  setup(build) {
    const path = fileURLToPath(new URL('most-streams.mjs', import.meta.url));
    build.onResolve({ filter: /^most$/ }, () => ({ path }));
  },
};

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/sailquay-daemon.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  mainFields: ['module', 'main'],
  alias: { consola: 'consola/core' },
  plugins: [lightStreams],
  external: ['yaml', 'prom-client'],
  legalComments: 'none',
  logLevel: 'warning',
});
