import { createServer, type AddressInfo } from 'node:net';
import test from 'ava';
import { probeConnect } from './connect-probe.js';

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
