/**
 * Starts the bundled daemon with V8's code cache, so that a start does not compile it anew. V8 refuses a cache of
 * another version, of other flags or of another bundle; then, and without a cache, the bundle is compiled as usual.
 *
 * Before that it binds the data socket: what callers send while the daemon starts then waits in the socket, where
 * it would be lost otherwise. From here to the daemon's own binding takes a seventh of a start, 0.1 s on a machine
 * with 0.07 of a core.
 */
'use strict';
const { createSocket } = require('node:dgram');
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

/**
 * Binds the data socket for `platform/early-socket.ts`. Whatever is wrong is reported by the daemon when it binds
 * itself.
 */
function bindEarly() {
  try {
    const [, host, port] = /^(.+):(\d+)$/.exec(
      JSON.parse(readFileSync(process.env.SAILQUAY_CONFIG, 'utf8')).data,
    );
    const lookup = (name, _options, answer) => answer(null, name, 4);
    const socket = createSocket({ type: 'udp4', lookup });
    const early = { socket, host, port: Number(port), boundAtMs: performance.now(), error: undefined };
    socket.on('error', (error) => (early.error = error));
    socket.bind(early.port, host);
    return early;
  } catch {
    // A configuration that cannot be read here, or is YAML: the daemon reads it again and says what is wrong.
    return undefined;
  }
}

globalThis.sailquayEarlySocket = bindEarly();
const script = compile();
if (script.cachedDataRejected) {
  process.stderr.write(
    'sailquay: V8 refused the code cache; start it with the flags and the version of the build\n',
  );
}
script.runInThisContext()({}, require, module, BUNDLE, __dirname);
module.exports = script;
