/**
 * Installs the locked packages when the checkout has none, so that `npm start` and `npm test` work on a fresh
 * clone.
 */
import { existsSync } from 'node:fs';
import { spawnSync } from 'node:child_process';

if (!existsSync(new URL('../node_modules/.package-lock.json', import.meta.url))) {
  const result = spawnSync('npm', ['ci'], { stdio: 'inherit', cwd: new URL('..', import.meta.url) });
  process.exit(result.status ?? 1);
}
