import { createSocket } from 'node:dgram';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { formatEndpoint } from '../../common/types.js';
import { MAX_CLOCK_SKEW_MS } from './constants.js';
import { sealEnvelope, type ControlEnvelope } from './envelope.js';
import { KeyRing } from './key-ring.js';
import type { EventFields, EventLog } from '../../observability/event.js';
import { CONTROL_EVENTS } from './events.js';
import { UdpControlChannel, type ControlDropReason, type UdpControlChannelOptions } from './udp-channel.js';
import { MAX_CONTROL_PAYLOAD_BYTES, type InboundControlMessage } from './types.js';

const MAX_TURNS = 60_000;

function keyText(active: number, ids: readonly number[]): string {
  const keys = ids.map((id) => ({ id, secret: Buffer.alloc(32, id).toString('base64') }));
  return JSON.stringify({ active, keys });
}

function keyFile(t: ExecutionContext, text: string): string {
  const directory = mkdtempSync(join(tmpdir(), 'sailquay-keys-'));
  t.teardown(() => rmSync(directory, { recursive: true }));
  writeFileSync(join(directory, 'keys.json'), text);
  return join(directory, 'keys.json');
}

const clock = new VirtualClock();

async function open(
  t: ExecutionContext,
  memberId: string,
  path: string,
  more: Partial<UdpControlChannelOptions> = {},
): Promise<UdpControlChannel> {
  const bind = { host: '127.0.0.1', port: 0 };
  const opened = await UdpControlChannel.open({
    bind,
    memberId,
    incarnation: 1,
    keyFile: path,
    clock,
    ...more,
  });
  if (opened.isErr) throw opened.error;
  t.teardown(() => opened.value.close());
  return opened.value;
}

/** Lets the event loop turn until `done`; a bounded number of times. */
async function turnUntil(t: ExecutionContext, done: () => boolean): Promise<void> {
  for (let turn = 0; turn < MAX_TURNS && !done(); turn += 1) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  t.true(done(), 'the expected datagrams did not arrive');
}

function received(channel: UdpControlChannel): InboundControlMessage[] {
  const messages: InboundControlMessage[] = [];
  channel.handle('status', (message) => messages.push(message));
  return messages;
}

test('a message arrives with its authenticated sender, and both ends meter the same bytes', async (t) => {
  const path = keyFile(t, keyText(1, [1]));
  const [left, right] = [await open(t, 'left', path), await open(t, 'right', path)];
  const messages = received(right);
  t.true(left.send(right.endpoint, 'status', Buffer.from('hello')));
  await turnUntil(t, () => messages.length === 1);
  t.like(messages[0], { senderId: 'left', senderIncarnation: 1, from: left.endpoint, protocolVersion: 1 });
  t.is(Buffer.from(messages[0]!.payload).toString(), 'hello');
  t.is(left.meter().byKind.status.bytesOut, right.meter().byKind.status.bytesIn);
  t.true(left.availableBytesPerSecond() < 28_000);
  t.throws(() => left.send(right.endpoint, 'status', Buffer.alloc(MAX_CONTROL_PAYLOAD_BYTES + 1)), {
    instanceOf: RangeError,
  });
});

test('each kind of bad datagram is dropped, counted by its reason, and nothing is handed on', async (t) => {
  const path = keyFile(t, keyText(1, [1]));
  const warned: EventFields[] = [];
  const events: EventLog = {
    emit: (event, fields = {}) => void (event === CONTROL_EVENTS.incompatiblePeer && warned.push(fields)),
  };
  const channel = await open(t, 'receiver', path, { versions: { min: 2, max: 3 }, events });
  const messages = received(channel);
  const keys = (text: string): KeyRing =>
    KeyRing.parse(text).unwrapOrElse((error) => {
      throw error;
    });
  const good = keys(keyText(1, [1]));
  const forger = keys(
    JSON.stringify({ active: 1, keys: [{ id: 1, secret: Buffer.alloc(32, 99).toString('base64') }] }),
  );
  const recipient = formatEndpoint(channel.endpoint);
  const wallSeconds = Math.floor(clock.wall() / 1_000);
  const envelope = (change: Partial<ControlEnvelope> = {}): ControlEnvelope => ({
    versionMin: 1,
    versionMax: 2,
    senderId: 'sender',
    senderIncarnation: 5,
    sequence: 1,
    wallSeconds,
    kind: 'status',
    payload: Buffer.from('x'),
    ...change,
  });
  const first = sealEnvelope(envelope(), recipient, good);
  const cases: [reason: ControlDropReason, datagram: Buffer][] = [
    ['malformed', Buffer.alloc(3)],
    ['malformed', Buffer.alloc(100, 0xff)],
    ['malformed', Buffer.alloc(1_473)],
    ['forged', sealEnvelope(envelope(), recipient, forger)],
    ['forged', sealEnvelope(envelope(), '127.0.0.1:1', good)],
    ['malformed', first.subarray(0, first.length - 1)],
    ['unknown-key', sealEnvelope(envelope(), recipient, keys(keyText(9, [9])))],
    ['replayed', first],
    ['stale', sealEnvelope(envelope({ senderIncarnation: 4, sequence: 9 }), recipient, good)],
    [
      'stale',
      sealEnvelope(
        envelope({ senderId: 'other', wallSeconds: wallSeconds - MAX_CLOCK_SKEW_MS / 1_000 - 1 }),
        recipient,
        good,
      ),
    ],
    ['version', sealEnvelope(envelope({ sequence: 2, versionMax: 1 }), recipient, good)],
    ['version', sealEnvelope(envelope({ sequence: 3, versionMin: 4, versionMax: 9 }), recipient, good)],
    ['self', sealEnvelope(envelope({ senderId: 'receiver', senderIncarnation: 1 }), recipient, good)],
    ['unhandled', sealEnvelope(envelope({ sequence: 4, kind: 'health' }), recipient, good)],
  ];
  const socket = createSocket('udp4');
  t.teardown(() => socket.close());
  const sendRaw = (datagram: Buffer): void =>
    socket.send(datagram, channel.endpoint.port, channel.endpoint.host);
  sendRaw(first);
  await turnUntil(t, () => messages.length === 1);
  t.is(messages[0]!.protocolVersion, 2, 'the highest common version');
  const expected = new Map<ControlDropReason, number>();
  for (const [reason, datagram] of cases) {
    expected.set(reason, (expected.get(reason) ?? 0) + 1);
    sendRaw(datagram);
    await turnUntil(t, () => channel.drops().get(reason) === expected.get(reason));
  }
  t.deepEqual(new Map(channel.drops()), expected);
  t.is(messages.length, 1);
  t.deepEqual(
    warned.map(({ member, versionMin, versionMax }) => [member, versionMin, versionMax]),
    [['sender', 1, 1]],
    'both incompatible datagrams are counted above, and one warning a minute is written',
  );
});

test('an old and a new peer agree on the highest common version', async (t) => {
  const path = keyFile(t, keyText(1, [1]));
  const older = await open(t, 'older', path, { versions: { min: 1, max: 2 } });
  const newer = await open(t, 'newer', path, { versions: { min: 2, max: 5 } });
  const [atOlder, atNewer] = [received(older), received(newer)];
  older.send(newer.endpoint, 'status', Buffer.alloc(1));
  newer.send(older.endpoint, 'status', Buffer.alloc(1));
  await turnUntil(t, () => atOlder.length === 1 && atNewer.length === 1);
  t.is(atOlder[0]!.protocolVersion, 2);
  t.is(atNewer[0]!.protocolVersion, 2);
});

test('keys are rotated without losing a message; a bad file leaves the old keys in force', async (t) => {
  const paths = [keyFile(t, keyText(1, [1])), keyFile(t, keyText(1, [1]))] as const;
  const channels = [await open(t, 'left', paths[0]), await open(t, 'right', paths[1])] as const;
  const inboxes = [received(channels[0]), received(channels[1])] as const;
  let sent = 0;
  const exchange = async (): Promise<void> => {
    sent += 1;
    t.true(channels[0].send(channels[1].endpoint, 'status', Buffer.alloc(1)));
    t.true(channels[1].send(channels[0].endpoint, 'status', Buffer.alloc(1)));
    await turnUntil(t, () => inboxes[0].length === sent && inboxes[1].length === sent);
  };
  await exchange();
  const steps: [text: string, loads: boolean][] = [
    [keyText(1, [1, 2]), true],
    ['{', false],
    [keyText(2, [1, 2]), true],
    [keyText(2, [2]), true],
  ];
  for (const [text, loads] of steps) {
    for (const index of [0, 1] as const) {
      writeFileSync(paths[index], text);
      t.is(channels[index].reloadKeys().isOk, loads, text);
      await exchange();
    }
  }
  t.deepEqual([channels[0].drops().size, channels[1].drops().size], [0, 0]);
});

test('a bad key file or address is a typed error', async (t) => {
  const options = { memberId: 'x', incarnation: 1, clock };
  const bind = { host: '127.0.0.1', port: 0 };
  const noKeys = await UdpControlChannel.open({ ...options, bind, keyFile: '/nonexistent/keys.json' });
  t.is(noKeys.isErr && noKeys.error.kind, 'control.key-file');
  const path = keyFile(t, keyText(1, [1]));
  const taken = await open(t, 'first', path);
  const second = await UdpControlChannel.open({ ...options, bind: taken.endpoint, keyFile: path });
  t.is(second.isErr && second.error.kind, 'control.bind');
});
