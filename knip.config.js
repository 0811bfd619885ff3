/**
 * What `npm run check:lint` knows of dead code: files that no entry reaches, exports that no other file imports, and
 * dependencies that nothing imports. Each entry and each exception says why it stands here.
 */

/** Files that a program starts or loads by its path, so that no import names them. */
const ENTRIES = [
  // Bundled by `npm run bundle` and started by the users' platform.
  'platform/main.ts',
  // Run by hand when a surface of the contract is recorded.
  'contract/record.ts',
  // The public surface of each folder: engineers read it there, whether or not a neighbour imports every name.
  'src/**/index.ts',
  // Started as processes of their own by src/experiment.
  'src/experiment/parent-watch.ts',
  'src/experiment/forwarding/worker-main.ts',
  // Run by package.json or by hand, or named by path in tools/bundle-options.mjs and tools/bundle-daemon.mjs.
  'tools/*.mjs',
  'tools/bundle-options.d.mts',
  'tools/daemon-loader.cjs',
  // Named by path in tools/write-code-cache.mjs; package.json names the others in platform/tools itself.
  'platform/tools/warm-up/warm-up.ts',
];

/** Unused exports that are let through, by file. Delete a line when its cause is gone. */
const EXCEPTIONS = {
  // `aliasedType` finds these types by their names when the contract test runs.
  'contract/surfaces/operator-admin.ts': ['types'],
};

export default {
  entry: ENTRIES,
  project: [
    'src/**/*.ts',
    'platform/**/*.ts',
    'contract/**/*.ts',
    'tools/**/*.{mjs,cjs}',
    // Written by `npm run generate`, with a default export that nothing asked for.
    '!src/**/pb/*',
  ],
  // The generator names the types of a 64-bit library that no message needs.
  ignoreDependencies: ['long'],
  ignoreIssues: EXCEPTIONS,
  // A type that only its own file names documents a signature that other files use.
  ignoreExportsUsedInFile: { interface: true, type: true },
};
