/**
 * How the daemon of the platform is bundled into one file. What a start does not need stays outside: the command
 * line, experiments and stand-ins are never reached, the YAML and metrics libraries are loaded from node_modules
 * when they are used.
 */
import { fileURLToPath } from 'node:url';

const fromHere = (name) => fileURLToPath(new URL(name, import.meta.url));

/** Only the exact name: the replacement itself imports single files of the library. */
const lightStreams = {
  name: 'light-streams',
  setup(build) {
    build.onResolve({ filter: /^most$/ }, () => ({ path: fromHere('most-streams.mjs') }));
  },
};

/** Options of esbuild, `outfile` apart. */
export const bundleOptions = {
  entryPoints: [fromHere('../platform/main.ts')],
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
};
