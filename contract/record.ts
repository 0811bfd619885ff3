/**
 * Writes the recorded form of the surfaces named on the command line: `node --import tsx contract/record.ts
 * NAME...`. For a change of a contract that its users agreed to; the commit names who has to follow.
 */
import { writeFileSync } from 'node:fs';
import { SURFACES } from './surfaces/index.js';

for (const name of process.argv.slice(2)) {
  const compute = SURFACES[name];
  if (compute === undefined)
    throw new Error(`No surface is called ${name}. Choose of: ${Object.keys(SURFACES).join(', ')}`);
  const text = `${JSON.stringify(await compute(), undefined, 2)}\n`;
  writeFileSync(new URL(`recorded/${name}.json`, import.meta.url), text);
}
