/** Guards against a failed control call that does not tell which call it was. */
import { createServer, type Server } from 'node:http';
import test, { type ExecutionContext } from 'ava';
import type { Endpoint } from '../common/types.js';
import { ExperimentError } from './errors.js';
import { ControlClient } from './http-control.js';

async function listen(t: ExecutionContext, server: Server): Promise<Endpoint> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const address = server.address();
  return { host: '127.0.0.1', port: typeof address === 'object' && address ? address.port : 0 };
}

test('a call without an answer names its method, address, path and limit', async (t) => {
  const address = await listen(
    t,
    createServer(() => undefined),
  );
  const client = new ControlClient();
  t.teardown(() => client.close());
  const error = await t.throwsAsync(client.put(address, '/faults', { kind: 'kill' }, 20), {
    instanceOf: ExperimentError,
  });
  t.is(error?.kind, 'experiment.no-answer');
  const call = `PUT ${address.host}:${address.port}/faults`;
  t.regex(String(error?.problem), new RegExp(`^${call} had no answer after \\d+ ms of 20 ms: TimeoutError`));
});

test('a call that cannot connect names its method, address and path', async (t) => {
  const client = new ControlClient();
  t.teardown(() => client.close());
  const error = await t.throwsAsync(client.get({ host: '127.0.0.1', port: 1 }, '/status'), {
    instanceOf: ExperimentError,
  });
  t.is(error?.kind, 'experiment.no-answer');
  t.regex(String(error?.problem), /^GET 127\.0\.0\.1:1\/status had no answer after \d+ ms/);
});

test('a refused call names its method, address, path and status', async (t) => {
  const server = createServer((_request, response) => response.writeHead(404).end('no such path'));
  const address = await listen(t, server);
  const client = new ControlClient();
  t.teardown(() => client.close());
  const error = await t.throwsAsync(client.post(address, '/x', {}), { instanceOf: ExperimentError });
  t.is(error?.problem, `POST ${address.host}:${address.port}/x answered 404: no such path`);
});
