import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import { once } from 'node:events';
import test, { type ExecutionContext } from 'ava';
import { VirtualClock } from '../common/clock.js';
import type { Endpoint } from '../common/types.js';
import { SILENT_EVENT_LOG, type EventFields } from '../observability/event.js';
import { ERROR_REPORT_INTERVAL_MS, MAX_CONNECTED_SOCKETS } from './constants.js';
import { createEdgePort, decodeSegment, EdgeBindError, encodeSegment, RELAY_HOP_LIMIT } from './index.js';
import { SocketErrorReporter } from './socket-error-reporter.js';
import type { BoundEdgePort, EdgeDropReason, EdgeHandler, PacketView, Segment } from './index.js';

const LOOPBACK = '127.0.0.1';

const OPENING: Segment = {
  sourceAddress: 0x0a000001,
  destinationAddress: 0x0a640001,
  sourcePort: 40_000,
  destinationPort: 443,
  syn: true,
  ack: false,
  fin: false,
  rst: false,
  sequence: 1_000,
  acknowledgement: 0,
  payload: Buffer.alloc(0),
};

async function openSocket(): Promise<{ socket: Socket; endpoint: Endpoint }> {
  const socket = createSocket('udp4');
  socket.bind(0, LOOPBACK);
  await once(socket, 'listening');
  return { socket, endpoint: { host: LOOPBACK, port: socket.address().port } };
}

/** Sends a datagram and waits for the one that the edge answers it with somewhere. */
async function exchange(sender: Socket, datagram: Buffer, to: Endpoint, receiver: Socket): Promise<Buffer> {
  const received = once(receiver, 'message');
  sender.send(datagram, to.port, to.host);
  const [message] = (await received) as [Buffer];
  return message;
}

interface Bench {
  readonly edge: BoundEdgePort;
  readonly fabric: { socket: Socket; endpoint: Endpoint };
  readonly peer: { socket: Socket; endpoint: Endpoint };
  readonly backend: { socket: Socket; endpoint: Endpoint };
  readonly drops: EdgeDropReason[];
  readonly returns: Endpoint[];
}

type ForwardRule = (bench: Bench, packet: PacketView) => void;

async function openBench(t: ExecutionContext, forward: ForwardRule): Promise<Bench> {
  const [fabric, peer, backend] = await Promise.all([openSocket(), openSocket(), openSocket()]);
  const drops: EdgeDropReason[] = [];
  const returns: Endpoint[] = [];
  const handler: EdgeHandler = {
    onForward: (packet) => forward(bench, packet),
    onReturn: (_packet, from) => returns.push(from),
    onDrop: (reason) => drops.push(reason),
  };
  const edge = await createEdgePort({
    data: { host: LOOPBACK, port: 0 },
    fabricReturn: fabric.endpoint,
    isPeer: (endpoint) => endpoint.port === peer.endpoint.port,
    isBackend: (endpoint) => endpoint.port === backend.endpoint.port,
    handler,
    events: SILENT_EVENT_LOG,
  });
  const bench: Bench = { edge, fabric, peer, backend, drops, returns };
  t.teardown(async () => {
    [fabric, peer, backend].forEach(({ socket }) => socket.close());
    await edge.close();
  });
  return bench;
}

test('a packet from the fabric reaches the back end unchanged and its answer the fabric', async (t) => {
  const bench = await openBench(t, ({ edge, backend }, packet) =>
    edge.sendToBackend(packet, backend.endpoint),
  );
  const packet = encodeSegment(OPENING);
  for (let round = 0; round < 3; round += 1) {
    const atBackend = await exchange(bench.fabric.socket, packet, bench.edge.endpoint, bench.backend.socket);
    t.deepEqual(atBackend, packet);
    const atFabric = await exchange(bench.backend.socket, packet, bench.edge.endpoint, bench.fabric.socket);
    t.deepEqual(atFabric, packet);
  }
  t.deepEqual(bench.returns, Array(3).fill(bench.backend.endpoint));
});

test('a relayed packet carries its hop count from the data address and is taken from peers only', async (t) => {
  const hops: number[] = [];
  const bench = await openBench(t, ({ edge, peer }, packet) => {
    hops.push(packet.hops);
    edge.relay(packet, peer.endpoint);
  });
  const packet = encodeSegment(OPENING);
  let frame = await exchange(bench.fabric.socket, packet, bench.edge.endpoint, bench.peer.socket);
  for (let hop = 1; hop < RELAY_HOP_LIMIT; hop += 1) {
    t.is(frame[2], hop);
    t.deepEqual(frame.subarray(4), packet);
    frame = await exchange(bench.peer.socket, frame, bench.edge.endpoint, bench.peer.socket);
  }
  t.is(frame[2], RELAY_HOP_LIMIT);
  bench.peer.socket.send(frame, bench.edge.endpoint.port, LOOPBACK);
  bench.fabric.socket.send(frame, bench.edge.endpoint.port, LOOPBACK);
  await exchange(bench.fabric.socket, packet, bench.edge.endpoint, bench.peer.socket);
  t.deepEqual(new Set(bench.drops), new Set(['hop-limit', 'unknown-peer']));
  t.deepEqual(new Set(hops), new Set([0, 1, 2, 3]));
});

test('a reset goes to the fabric, answers the opening and has right checksums', async (t) => {
  const bench = await openBench(t, ({ edge }, packet) => edge.sendReset(packet));
  const answer = await exchange(
    bench.fabric.socket,
    encodeSegment(OPENING),
    bench.edge.endpoint,
    bench.fabric.socket,
  );
  t.like(decodeSegment(answer), {
    sourceAddress: OPENING.destinationAddress,
    destinationAddress: OPENING.sourceAddress,
    sourcePort: OPENING.destinationPort,
    destinationPort: OPENING.sourcePort,
    rst: true,
    ack: true,
    sequence: 0,
    acknowledgement: OPENING.sequence + 1,
  });
});

test('a destination that refuses datagrams does not stop the edge', async (t) => {
  const closed = await openSocket();
  closed.socket.close();
  const bench = await openBench(t, ({ edge, backend }, packet) => {
    edge.sendToBackend(packet, closed.endpoint);
    edge.sendToBackend(packet, backend.endpoint);
  });
  for (let round = 0; round < 5; round += 1) {
    const packet = encodeSegment({ ...OPENING, sequence: round });
    t.deepEqual(
      await exchange(bench.fabric.socket, packet, bench.edge.endpoint, bench.backend.socket),
      packet,
    );
  }
});

test('every destination sees the data address as the source, also past the limit of connected sockets', async (t) => {
  const destinations = await Promise.all(Array.from({ length: MAX_CONNECTED_SOCKETS + 3 }, openSocket));
  t.teardown(() => destinations.forEach(({ socket }) => socket.close()));
  const bench = await openBench(t, ({ edge }, packet) => {
    for (const { endpoint } of destinations) edge.sendToBackend(packet, endpoint);
  });
  const arrivals = destinations.map(({ socket }) => once(socket, 'message') as Promise<[Buffer, RemoteInfo]>);
  bench.fabric.socket.send(encodeSegment(OPENING), bench.edge.endpoint.port, LOOPBACK);
  for (const [datagram, source] of await Promise.all(arrivals)) {
    t.deepEqual(datagram, encodeSegment(OPENING));
    t.is(source.port, bench.edge.endpoint.port);
  }
});

test('errors of one destination are logged once in an interval', (t) => {
  const clock = new VirtualClock();
  const emitted: EventFields[] = [];
  const reporter = new SocketErrorReporter({ emit: (_event, fields = {}) => emitted.push(fields) }, clock);
  const destination = { host: LOOPBACK, port: 1 };
  for (let count = 0; count < 5; count += 1) reporter.report(new Error('refused'), destination);
  reporter.report(new Error('refused'), { ...destination, port: 2 });
  clock.advance(ERROR_REPORT_INTERVAL_MS);
  reporter.report(new Error('refused'), destination);
  t.deepEqual(
    emitted.map((fields) => [fields.destination, fields.suppressed]),
    [
      ['127.0.0.1:1', 0],
      ['127.0.0.1:2', 0],
      ['127.0.0.1:1', 4],
    ],
  );
});

test('a retained packet outlives the next one', async (t) => {
  const kept: PacketView[] = [];
  const bench = await openBench(t, ({ edge, backend }, packet) => {
    kept.push(edge.retain(packet));
    edge.sendToBackend(packet, backend.endpoint);
  });
  const packets = [1, 2].map((sourcePort) => encodeSegment({ ...OPENING, sourcePort }));
  for (const packet of packets) {
    await exchange(bench.fabric.socket, packet, bench.edge.endpoint, bench.backend.socket);
  }
  t.deepEqual(
    kept.map((view) => view.sourcePort),
    [1, 2],
  );
  t.deepEqual(
    kept.map((view) => view.bytes),
    packets,
  );
});

test('an address in use is reported by name', async (t) => {
  const { edge } = await openBench(t, () => undefined);
  const error = await t.throwsAsync(
    createEdgePort({
      data: edge.endpoint,
      fabricReturn: edge.endpoint,
      isPeer: () => false,
      isBackend: () => false,
      handler: { onForward: () => undefined, onReturn: () => undefined, onDrop: () => undefined },
      events: SILENT_EVENT_LOG,
    }),
    { instanceOf: EdgeBindError },
  );
  t.is(error.kind, 'fabric.bind');
});
