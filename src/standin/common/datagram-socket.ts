/** UDP sockets of the stand-ins: numeric addresses, no resolver, large buffers. */
import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import type { Endpoint } from '../../common/types.js';

/** Receive and send buffer asked for, bytes. A stalled process then loses little. */
const BUFFER_BYTES = 4 * 1024 * 1024;

type LookupCallback = (error: Error | null, address: string, family: number) => void;

function numericLookup(host: string, _options: unknown, callback: LookupCallback): void {
  callback(null, host, 4);
}

/** A bound socket with its address. */
export interface DatagramSocket {
  readonly endpoint: Endpoint;
  send(datagram: Buffer, to: Endpoint): void;
  close(): Promise<void>;
}

function adapt(socket: Socket, endpoint: Endpoint): DatagramSocket {
  let closed = false;
  const close = async (): Promise<void> => {
    if (closed) return;
    closed = true;
    await new Promise<void>((resolve) => socket.close(() => resolve()));
  };
  const send = (datagram: Buffer, to: Endpoint): void => {
    if (!closed) socket.send(datagram, to.port, to.host);
  };
  return { endpoint, send, close };
}

/** Binds a socket (port 0: the kernel chooses) and passes each datagram to `listener`. */
export async function bindDatagramSocket(
  address: Endpoint,
  listener: (datagram: Buffer, source: RemoteInfo) => void,
): Promise<DatagramSocket> {
  const socket = createSocket({ type: 'udp4', lookup: numericLookup as never });
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(address.port, address.host, resolve);
  });
  socket.removeAllListeners('error');
  socket.on('error', () => undefined);
  socket.on('message', listener);
  socket.setRecvBufferSize(BUFFER_BYTES);
  socket.setSendBufferSize(BUFFER_BYTES);
  return adapt(socket, { host: address.host, port: socket.address().port });
}
