import { createServer, type AddressInfo } from 'node:net';
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

// Guards against a live back end at its connection limit that counts as dead: it accepts connections and resets them.
test('a connection that is accepted and reset before this process sees it accepted is not refused', async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  const { port } = server.address() as AddressInfo;
  const probe = probeConnect({ host: LOOPBACK, port }, AMPLE_TIMEOUT_MS);
  // The connection begins in the next tick. The kernel completes its handshake, and resets it when the socket closes.
  await new Promise((resolve) => process.nextTick(resolve));
  server.close();
  t.is(await probe, 'reset');
});

test('only a reset in answer to the first packet shows that no process listens', (t) => {
  t.is(outcomeOfError('ECONNREFUSED'), 'refused');
  t.is(outcomeOfError('ECONNRESET'), 'reset');
  for (const code of ['EHOSTUNREACH', 'ETIMEDOUT', undefined]) t.is(outcomeOfError(code), 'silent');
});
