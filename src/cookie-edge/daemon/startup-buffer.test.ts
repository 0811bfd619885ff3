import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import type { CookieEdgeHandler, CookiePacket } from '../../fabric/cookie-edge.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { MAX_BUFFERED_PACKETS, MAX_BUFFERED_SYN_AFTER_READ_MS, MAX_BUFFERED_SYN_MS } from './constants.js';
import { StartupBuffer } from './startup-buffer.js';

const DATA_PACKET: CookiePacket = {
  sourceAddress: 1,
  sourcePort: 1,
  destinationAddress: 2,
  destinationPort: 2,
  syn: false,
  ack: true,
  fin: false,
  rst: false,
  sequence: 1,
  acknowledgement: 0,
  retransmissionCount: 0,
  payloadBytes: 0,
  cookie: 7,
};

/** A buffer on a virtual clock with an edge that, as the real one, delivers the packets that it kept. */
function createBuffer() {
  const clock = new VirtualClock();
  const buffer = new StartupBuffer({ clock, events: SILENT_EVENT_LOG });
  const handled: string[] = [];
  let currentPacket: CookiePacket = DATA_PACKET;
  const handler: CookieEdgeHandler = {
    onPacket: ({ syn, sourcePort }) => handled.push(`${syn ? 'syn' : 'data'} ${sourcePort}`),
    onDrop: (reason) => handled.push(reason),
  };
  buffer.attach({
    boundAtMs: clock.now(),
    keepPacket: () => {
      const kept = { ...currentPacket };
      return () => buffer.onPacket(kept);
    },
  });
  const receive = (change: Partial<CookiePacket>): void => {
    currentPacket = { ...DATA_PACKET, ...change };
    buffer.onPacket(currentPacket);
  };
  return { clock, buffer, handled, handler, receive };
}

const synFromPort = (sourcePort: number): Partial<CookiePacket> => ({
  syn: true,
  ack: false,
  cookie: 0,
  sourcePort,
});

test('buffered packets are delivered in order of arrival when the buffer is flushed', (t) => {
  const { clock, buffer, handled, handler, receive } = createBuffer();
  receive({ sourcePort: 1 });
  clock.advance(20);
  receive(synFromPort(2));
  clock.advance(20);
  t.deepEqual(handled, []);
  buffer.flushTo(handler);
  t.deepEqual(handled, ['data 1', 'syn 2']);
  receive({ sourcePort: 3 });
  t.deepEqual(handled, ['data 1', 'syn 2', 'data 3']);
});

test('a SYN whose caller may have retransmitted it is dropped; packets of open flows are delivered', (t) => {
  const { clock, buffer, handled, handler, receive } = createBuffer();
  receive(synFromPort(1));
  receive({ sourcePort: 2 });
  clock.advance(MAX_BUFFERED_SYN_MS + 1);
  buffer.flushTo(handler);
  t.deepEqual(handled, ['data 2']);
});

test('long after the binding only a SYN that was just read is delivered', (t) => {
  const { clock, buffer, handled, handler, receive } = createBuffer();
  clock.advance(1_000);
  receive(synFromPort(1));
  clock.advance(10);
  receive(synFromPort(2));
  clock.advance(MAX_BUFFERED_SYN_AFTER_READ_MS);
  buffer.flushTo(handler);
  t.deepEqual(handled, ['syn 2']);
});

test('the number of buffered packets is bounded', (t) => {
  const { buffer, handled, handler, receive } = createBuffer();
  for (let port = 1; port <= MAX_BUFFERED_PACKETS + 5; port += 1) receive({ sourcePort: port });
  buffer.flushTo(handler);
  t.is(handled.length, MAX_BUFFERED_PACKETS);
});

test('drops reported before the flush are ignored, and later ones reach the handler', (t) => {
  const { buffer, handled, handler } = createBuffer();
  buffer.onDrop('truncated');
  buffer.flushTo(handler);
  buffer.onDrop('oversized');
  t.deepEqual(handled, ['oversized']);
});
