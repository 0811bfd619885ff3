/** HTTP control address of a stand-in. */
import { fastify, type FastifyInstance } from 'fastify';
import type { Endpoint } from '../../common/types.js';

/** Largest request, bytes. Lists of request ids of a whole run fit. */
const BODY_LIMIT_BYTES = 64 * 1024 * 1024;

/** Starts a JSON server with `routes` on `address` (port 0: the kernel chooses). */
export async function startControlServer(
  address: Endpoint,
  routes: (server: FastifyInstance) => void,
): Promise<{ endpoint: Endpoint; close(): Promise<void> }> {
  const server = fastify({ forceCloseConnections: true, bodyLimit: BODY_LIMIT_BYTES });
  routes(server);
  await server.listen({ host: address.host, port: address.port });
  const bound = server.server.address();
  const port = typeof bound === 'object' && bound ? bound.port : address.port;
  return { endpoint: { host: address.host, port }, close: () => server.close() };
}
