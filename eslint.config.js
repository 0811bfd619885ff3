import js from '@eslint/js';
import tseslint from 'typescript-eslint';

/**
 * Folders of `src/`, from the bottom to the top. A folder imports from those before it; where `notFrom` names one of them,
 * it does without that one too.
 */
const ROOMS = [
  { name: 'common', notFrom: [] },
  { name: 'observability', notFrom: [] },
  { name: 'fabric', notFrom: [] },
  { name: 'store', notFrom: ['fabric'] },
  { name: 'settings', notFrom: ['fabric'] },
  { name: 'cookie-edge', notFrom: ['store', 'settings'] },
  { name: 'gue-edge', notFrom: ['cookie-edge'] },
  { name: 'standin', notFrom: ['cookie-edge', 'gue-edge'] },
  { name: 'experiment', notFrom: ['cookie-edge'] },
  { name: 'cli', notFrom: [] },
];

/** Tests and what only tests use may import from any folder of `src/`. */
const TEST_FILES = [
  'src/**/*.test.ts',
  'src/**/*test-support*.ts',
  'src/**/simulated-*.ts',
  'src/**/testing/**',
];

/** The imports that a folder must not have, with a message that names where the code belongs. */
function importRule({ name, notFrom }, index) {
  const above = ROOMS.slice(index + 1).map((room) => room.name);
  const patterns = [...notFrom, ...above].map((other) => ({
    group: [`**/${other}/**`],
    message: `src/${name} does not import from src/${other}: move what both use to a folder below both, such as src/common.`,
  }));
  const platform = {
    group: ['**/../platform/**', '!**/standin/platform/**'],
    message: 'Only platform/ knows the platform: define the interface in src/ and implement it in platform/.',
  };
  return {
    files: [`src/${name}/**/*.ts`],
    ignores: TEST_FILES,
    rules: { 'no-restricted-imports': ['error', { patterns: [platform, ...patterns] }] },
  };
}

export default tseslint.config(
  {
    ignores: [
      'dist/**',
      'build/**',
      'target/**',
      'journal/**',
      'node_modules/**',
      'src/**/pb/*.js',
      'src/**/pb/*.d.ts',
    ],
  },
  js.configs.recommended,
  ...tseslint.configs.recommended,
  {
    rules: {
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_', varsIgnorePattern: '^_' }],
      '@typescript-eslint/consistent-type-imports': 'error',
      eqeqeq: 'error',
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
    },
  },
  ...ROOMS.map(importRule),
  {
    files: ['**/*.cjs'],
    languageOptions: {
      sourceType: 'commonjs',
      globals: { __dirname: 'readonly', performance: 'readonly', process: 'readonly' },
    },
    rules: { '@typescript-eslint/no-require-imports': 'off' },
  },
  {
    files: ['**/*.js', '**/*.mjs'],
    languageOptions: {
      globals: {
        process: 'readonly',
        console: 'readonly',
        Buffer: 'readonly',
        URL: 'readonly',
        setTimeout: 'readonly',
      },
    },
  },
);
