/** A balancer without control plane for tests of the stand-ins: places by a hash of the client's address and port. */
import { combine32 } from '../../common/hash.js';
import type { Endpoint } from '../../common/types.js';
import { createEdgePort, type EdgeHandler } from '../../fabric/index.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { startControlServer } from './control-server.js';

const ANY_PORT = { host: '127.0.0.1', port: 0 };

/** Starts one; its `/readyz` always answers 200. */
export async function startTestBalancer(fabricReturn: Endpoint, backends: readonly Endpoint[]) {
  const handler: EdgeHandler = {
    onForward: (packet) => {
      const index = combine32(packet.sourceAddress, packet.sourcePort) % backends.length;
      edge.sendToBackend(packet, backends[index]!);
    },
    onReturn: () => undefined,
    onDrop: () => undefined,
  };
  const edge = await createEdgePort({
    data: ANY_PORT,
    fabricReturn,
    isPeer: () => false,
    isBackend: (endpoint) => backends.some((backend) => backend.port === endpoint.port),
    handler,
    events: SILENT_EVENT_LOG,
  });
  const admin = await startControlServer(ANY_PORT, (server) => server.get('/readyz', () => 'ready'));
  return {
    data: edge.endpoint,
    admin: admin.endpoint,
    close: async () => {
      await admin.close();
      await edge.close();
    },
  };
}
