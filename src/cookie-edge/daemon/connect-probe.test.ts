import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { Worker } from 'node:worker_threads';
import test from 'ava';
import { outcomeOfError, probeConnect } from './connect-probe.js';

const LOOPBACK = '127.0.0.1';
/** Far longer than an answer on loopback takes, so that no test depends on the timeout. */
const AMPLE_TIMEOUT_MS = 60_000;

test('a probe of a listening process is answered even if the process never sends data', async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  t.is(await probeConnect({ host: LOOPBACK, port }, AMPLE_TIMEOUT_MS), 'answered');
});

test('a probe of an address where no process listens is refused', async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise<void>((resolve) => server.close(() => resolve()));
  t.is(await probeConnect({ host: LOOPBACK, port }, AMPLE_TIMEOUT_MS), 'refused');
});

/** Accepts one connection, resets it, and then sets the shared flag. Runs in a thread of its own. */
const RESETTING_SERVER = `
  const { createServer } = require('node:net');
  const { parentPort, workerData } = require('node:worker_threads');
  const server = createServer((socket) => {
    socket.resetAndDestroy();
    setImmediate(() => {
      Atomics.store(workerData.isReset, 0, 1);
      Atomics.notify(workerData.isReset, 0);
      server.close();
    });
  });
  server.listen(0, '${LOOPBACK}', () => parentPort.postMessage(server.address().port));
`;

// Guards against a live back end at its connection limit that counts as dead: it accepts connections and resets them.
test('a connection that is accepted and reset before this process sees it accepted is not refused', async (t) => {
  const isReset = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
  const server = new Worker(RESETTING_SERVER, { eval: true, workerData: { isReset } });
  t.teardown(() => server.terminate());
  const [port] = (await once(server, 'message')) as [number];
  const probe = probeConnect({ host: LOOPBACK, port }, AMPLE_TIMEOUT_MS);
  // The connection begins in the next tick. The event loop then stands still until the reset has arrived.
  await new Promise((resolve) => process.nextTick(resolve));
  Atomics.wait(isReset, 0, 0);
  t.is(await probe, 'reset');
});

test('only a reset in answer to the first packet shows that no process listens', (t) => {
  t.is(outcomeOfError('ECONNREFUSED'), 'refused');
  t.is(outcomeOfError('ECONNRESET'), 'reset');
  for (const code of ['EHOSTUNREACH', 'ETIMEDOUT', undefined]) t.is(outcomeOfError(code), 'silent');
});
