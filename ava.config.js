/** Test runner settings: tests stand beside the code they test and run from TypeScript through tsx. */
export default {
  files: ['src', 'platform', 'contract', 'docs', 'tools'].map((root) => `${root}/**/*.test.ts`),
  extensions: { ts: 'module' },
  nodeArguments: ['--import=tsx'],
  timeout: '4m',
  concurrency: 6,
  workerThreads: false,
};
