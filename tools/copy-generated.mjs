/** Copies the committed generated codecs into the build, beside the modules that import them. */
import { cpSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

for (const name of readdirSync('src', { recursive: true, encoding: 'utf8' })) {
  if (/[/\\]pb[/\\][^/\\]+\.js$/.test(name)) cpSync(join('src', name), join('dist', name));
}
