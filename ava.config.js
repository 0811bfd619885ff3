/** Test runner settings: tests stand beside the code they test and run from TypeScript through tsx. */
export default {
  files: ['src/**/*.test.ts', 'platform/**/*.test.ts', 'contract/**/*.test.ts', 'docs/**/*.test.ts'],
  extensions: { ts: 'module' },
  nodeArguments: ['--import=tsx'],
  timeout: '4m',
  concurrency: 6,
  workerThreads: false,
};
