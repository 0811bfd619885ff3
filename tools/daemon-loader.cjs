/**
 * Starts the bundled daemon with V8's code cache, so that a start does not compile it anew. V8 refuses a cache of another
 * version, of other flags or of another bundle; then, and without a cache, the bundle is compiled as usual.
 */
'use strict';
const { existsSync, readFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

const BUNDLE = join(__dirname, 'sailquay-daemon.bundle.cjs');
const CACHE = join(__dirname, 'sailquay-daemon.cache');

/** Compiles the bundle as node compiles a CommonJS module. Its text is ASCII, which latin1 decodes fastest. */
function compile() {
  const text = readFileSync(BUNDLE, 'latin1');
  const wrapped = `(function(exports,require,module,__filename,__dirname){${text}\n})`;
  const cachedData = existsSync(CACHE) ? readFileSync(CACHE) : undefined;
  return new Script(wrapped, { filename: BUNDLE, cachedData });
}

const script = compile();
if (script.cachedDataRejected) {
  process.stderr.write(
    'sailquay: V8 refused the code cache; start it with the flags and the version of the build\n',
  );
}
script.runInThisContext()({}, require, module, BUNDLE, __dirname);
module.exports = script;
