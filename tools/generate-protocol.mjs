/**
 * Generates protobuf codecs: for each `src/<slice>/pb/<name>.proto` a `<name>.js` and a `<name>.d.ts` beside it.
 * With `--check` nothing is written; the exit code is 1 when a committed file differs from its source.
 */
import { readFileSync, writeFileSync, readdirSync, existsSync, mkdtempSync, rmSync } from 'node:fs';
import { join, dirname, basename } from 'node:path';
import { tmpdir } from 'node:os';
import { promisify } from 'node:util';
import pbjs from 'protobufjs-cli/pbjs.js';
import pbts from 'protobufjs-cli/pbts.js';

const compile = promisify(pbjs.main);
const declare = promisify(pbts.main);
const check = process.argv.includes('--check');

function protoFiles() {
  return readdirSync('src', { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.proto'))
    .sort()
    .map((name) => join('src', name));
}

async function generate(protoFile) {
  const name = basename(protoFile, '.proto');
  const code = await compile([
    '-t',
    'static-module',
    '-w',
    'es6',
    '-r',
    name,
    '--no-create',
    '--no-verify',
    '--no-convert',
    '--no-delimited',
    '--no-service',
    '--force-long=false',
    protoFile,
  ]);
  const module = String(code).replace(
    /import (\* as )?\$protobuf from "protobufjs\/minimal(\.js)?";?/,
    'import $protobuf from "protobufjs/minimal.js";',
  );
  const directory = mkdtempSync(join(tmpdir(), 'sailquay-protocol-'));
  const scratch = join(directory, `${name}.js`);
  writeFileSync(scratch, module);
  const declarations = String(await declare([scratch]));
  rmSync(directory, { recursive: true });
  return { module, declarations };
}

let stale = 0;
for (const protoFile of protoFiles()) {
  const { module, declarations } = await generate(protoFile);
  const base = join(dirname(protoFile), basename(protoFile, '.proto'));
  for (const [path, text] of [
    [`${base}.js`, module],
    [`${base}.d.ts`, declarations],
  ]) {
    const current = existsSync(path) ? readFileSync(path, 'utf8') : undefined;
    if (current === text) continue;
    stale += 1;
    if (check) console.error(`${path} is out of date: run npm run generate`);
    else writeFileSync(path, text);
  }
}
process.exit(check && stale > 0 ? 1 : 0);
