import { createServer, type AddressInfo } from 'node:net';
import test from 'ava';
import { probeConnect } from './connect-probe.js';

const LOOPBACK = '127.0.0.1';
/** Far longer than an answer on loopback takes, so that no case depends on it. */
const AMPLE_MS = 60_000;

test('a probe of a process that listens is answered, though it never says anything', async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  t.is(await probeConnect({ host: LOOPBACK, port }, AMPLE_MS), 'answered');
});

test('a probe of an address where nothing listens is refused', async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise<void>((resolve) => server.close(() => resolve()));
  t.is(await probeConnect({ host: LOOPBACK, port }, AMPLE_MS), 'refused');
});
