/** A daemon that cannot start: typed errors with a remedy, and nothing left bound. */
import test from 'ava';
import { createSocket } from 'node:dgram';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { VirtualClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import { SailquayError } from '../../common/types.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { parseDaemonConfig, type DaemonConfigInput } from './config.js';
import { Daemon } from './daemon.js';

/** Loopback addresses that no other test process binds, one a test, so that a port that was free stays free. */
const HOSTS = `127.${64 + ((process.pid >>> 8) & 0x3f)}.${process.pid & 0xff}`;

function keyFile(text: string): string {
  const path = join(mkdtempSync(join(tmpdir(), 'sailquay-start-')), 'cluster.json');
  writeFileSync(path, text);
  return path;
}

const KEYS = keyFile(
  JSON.stringify({ active: 1, keys: [{ id: 1, secret: Buffer.alloc(32, 7).toString('base64') }] }),
);

/** A TCP port and a UDP port that are taken until the test ends, and two that are free. */
async function reservePorts(host: string) {
  const tcp = createServer();
  await new Promise<void>((resolve) => tcp.listen(0, host, resolve));
  const udp = createSocket('udp4');
  await new Promise<void>((resolve) => udp.bind(0, host, resolve));
  const tcpAddress = tcp.address();
  if (tcpAddress === null || typeof tcpAddress === 'string') throw new Error('no TCP port');
  const taken = { tcp: `${host}:${tcpAddress.port}`, udp: `${host}:${udp.address().port}` };
  return { taken, release: () => [tcp.close(), udp.close()] };
}

type Fields = Partial<DaemonConfigInput>;

interface StartCase {
  readonly name: string;
  readonly fields: (taken: { tcp: string; udp: string }) => Fields;
  readonly kind: string;
}

const CASES: readonly StartCase[] = [
  {
    name: 'the admin address is taken',
    fields: ({ tcp }) => ({ admin: tcp }),
    kind: 'observability.admin-bind',
  },
  { name: 'the control address is taken', fields: ({ udp }) => ({ control: udp }), kind: 'control.bind' },
  { name: 'the data address is taken', fields: ({ udp }) => ({ data: udp }), kind: 'fabric.bind' },
  {
    name: 'the key file is missing',
    fields: () => ({ clusterKeyFile: '/nonexistent/keys' }),
    kind: 'control.key-file',
  },
  {
    name: 'the key file is malformed',
    fields: () => ({ clusterKeyFile: keyFile('{"active":1}') }),
    kind: 'control.key-file',
  },
];

function start(host: string, fields: Fields): Promise<Daemon> {
  const address = `${host}:0`;
  const config = parseDaemonConfig({
    id: 'balancer-1',
    region: 'region',
    zone: 'zone-a',
    control: address,
    data: address,
    admin: address,
    fabricReturn: `${host}:9`,
    clusterKeyFile: KEYS,
    ...fields,
  });
  return Daemon.start(config, {
    clock: new VirtualClock(),
    random: seededRandom(1),
    events: SILENT_EVENT_LOG,
  });
}

for (const [index, { name, fields, kind }] of CASES.entries()) {
  const host = `${HOSTS}.${index + 1}`;
  test(`${name}: ${kind}, and every other address is free again`, async (t) => {
    const first = await start(host, {});
    const addresses = first.readyLine();
    await first.abort();
    const { taken, release } = await reservePorts(host);
    const { control, data, admin } = addresses;
    const error = await t.throwsAsync(start(host, { control, data, admin, ...fields(taken) }));
    if (!(error instanceof SailquayError)) return t.fail(String(error));
    t.is(error.kind, kind);
    t.true(error.remedy.length > 0);
    release();
    const second = await start(host, { control, data, admin });
    t.deepEqual(second.readyLine(), addresses);
    await second.abort();
    return undefined;
  });
}

test('a daemon that is stopped before it became active hands nothing over and ends', async (t) => {
  const daemon = await start(`${HOSTS}.100`, {});
  t.deepEqual(daemon.readiness().reasons.slice(0, 2), ['starting', 'no settings']);
  await daemon.stop();
  t.is(daemon.status().phase, 'stopped');
  await daemon.stop();
});
