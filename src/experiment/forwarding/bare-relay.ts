/** The yardstick: receives datagrams on one socket and sends each on from a connected socket, nothing else. */
import { createSocket, type Socket } from 'node:dgram';
import { once } from 'node:events';
import type { Endpoint } from '../../common/types.js';
import { SOCKET_BUFFER_BYTES } from '../../fabric/constants.js';

/** Lowest byte of the caller's port: which sink gets a packet. */
const CHOICE_OFFSET = 21;

async function openSocket(): Promise<Socket> {
  const socket = createSocket('udp4');
  socket.bind(0, '127.0.0.1');
  await once(socket, 'listening');
  socket.setRecvBufferSize(SOCKET_BUFFER_BYTES);
  socket.setSendBufferSize(SOCKET_BUFFER_BYTES);
  return socket;
}

async function connectSocket(to: Endpoint): Promise<Socket> {
  const socket = await openSocket();
  socket.connect(to.port, to.host);
  await once(socket, 'connect');
  return socket;
}

/** A running relay. */
interface BareRelay {
  /** Where it receives. */
  readonly data: Endpoint;
  close(): void;
}

/** Starts the relay in this process. */
export async function startBareRelay(sinks: readonly Endpoint[]): Promise<BareRelay> {
  const outgoing: Socket[] = [];
  for (const sink of sinks) outgoing.push(await connectSocket(sink));
  const incoming = await openSocket();
  incoming.on('message', (datagram) => outgoing[datagram[CHOICE_OFFSET]! % outgoing.length]!.send(datagram));
  return {
    data: { host: '127.0.0.1', port: incoming.address().port },
    close: () => [incoming, ...outgoing].forEach((socket) => socket.close()),
  };
}
