/** Platform, fabric, back ends and callers as stand-ins around three daemons, over UDP and TCP on loopback. */
import test, { type ExecutionContext } from 'ava';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SystemClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import { formatEndpoint } from '../../common/types.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { createStoreClient } from '../../store/index.js';
import { parseTree, setFields, TREE_OBJECT_KEY, TreeEditor } from '../../settings/index.js';
import { startBackendStandin, type BackendStandin } from '../../standin/backend/index.js';
import { startCallerStandin } from '../../standin/caller/index.js';
import { startFabricStandin, type FabricStandin } from '../../standin/fabric/index.js';
import { startPlatformStandin } from '../../standin/platform/index.js';
import { parseDaemonConfig } from './config.js';
import { Daemon } from './daemon.js';

const ANY_PORT = { host: '127.0.0.1', port: 0 };
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const SERVICES = [
  { name: 'site/push', address: { host: '10.1.0.1', port: 443 } },
  { name: 'site/label', address: { host: '10.1.0.2', port: 443 } },
];
const BACKENDS_PER_SERVICE = 3;
const LONG_FLOWS = 40;
const POLL_MS = 20;
const MAX_POLLS = 6_000;
/** Far beyond any stall of the machine: a late answer is no fault, so that only what is really lost counts. */
const PATIENCE_MS = 600_000;
/** Longest wait for the answers at the stop; below the timeout of the test runner. */
const STOP_PATIENCE_MS = 60_000;

async function until(t: ExecutionContext, what: string, condition: () => boolean): Promise<void> {
  for (let poll = 0; poll < MAX_POLLS; poll += 1) {
    if (condition()) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  t.fail(`never came: ${what}`);
}

function startBackends(): Promise<BackendStandin> {
  const names = ZONES.slice(0, BACKENDS_PER_SERVICE).map((_, index) => `b${index}`);
  return startBackendStandin({
    control: ANY_PORT,
    backends: SERVICES.flatMap(({ name, address }) =>
      names.map((backend) => ({
        name: `${name}/${backend}`,
        service: name,
        addresses: [address],
        endpoint: ANY_PORT,
        health: ANY_PORT,
        giveUpMs: PATIENCE_MS,
      })),
    ),
  });
}

function treeOf({ backends }: BackendStandin): unknown {
  const nodes = backends.map(({ name, endpoint, health }, index) => [
    name.split('/'),
    {
      zone: ZONES[index % ZONES.length],
      endpoint: formatEndpoint(endpoint),
      healthEndpoint: formatEndpoint(health),
    },
  ]);
  const services = SERVICES.map(({ name, address }) => {
    const service = name.split('/')[1];
    const own = nodes.filter(([path]) => (path as string[])[1] === service);
    const children = own.map(([path, fields]) => [(path as string[])[2], fields]);
    return [service, { address: formatEndpoint(address), backends: Object.fromEntries(children) }];
  });
  return { sites: { site: { services: Object.fromEntries(services) } } };
}

function keyFile(): string {
  const path = join(mkdtempSync(join(tmpdir(), 'sailquay-path-')), 'cluster.json');
  const secret = Buffer.alloc(32, 7).toString('base64');
  writeFileSync(path, JSON.stringify({ active: 1, keys: [{ id: 1, secret }] }));
  return path;
}

interface Surroundings {
  readonly platformUrl: string;
  readonly fabric: FabricStandin;
  readonly keys: string;
}

async function startDaemon(
  { platformUrl, fabric, keys }: Surroundings,
  zone: string,
  seeds: readonly Daemon[],
): Promise<Daemon> {
  const config = parseDaemonConfig({
    id: `balancer-${zone}`,
    region: 'region',
    zone,
    control: '127.0.0.1:0',
    data: '127.0.0.1:0',
    admin: '127.0.0.1:0',
    fabricReturn: formatEndpoint(fabric.balancerSide),
    platform: platformUrl,
    seeds: seeds.map((seed) => seed.readyLine().control),
    clusterKeyFile: keys,
    drain: { quietMs: 500, maxMs: 60_000 },
  });
  const random = seededRandom(ZONES.indexOf(zone) + 1);
  return Daemon.start(config, { clock: new SystemClock(), random, events: SILENT_EVENT_LOG });
}

function balancerOf(daemon: Daemon) {
  const { id, data, admin } = daemon.readyLine();
  const endpoint = (text: string) => ({ host: text.split(':')[0]!, port: Number(text.split(':')[1]) });
  return { name: id, data: endpoint(data), admin: endpoint(admin) };
}

test('flows through three daemons survive an edit of the tree and a planned stop', async (t) => {
  const backends = await startBackends();
  const tree = parseTree(treeOf(backends));
  if (tree.isErr) return t.fail(JSON.stringify(tree.error));
  const platform = await startPlatformStandin({ port: 0, objects: { [TREE_OBJECT_KEY]: tree.value } });
  const fabric = await startFabricStandin({
    callerSide: ANY_PORT,
    balancerSide: ANY_PORT,
    control: ANY_PORT,
    seed: 3,
    duplicateShare: 0.02,
    reorderShare: 0.05,
    reorderDelayMs: 3,
  });
  const surroundings = { platformUrl: platform.url, fabric, keys: keyFile() };
  const daemons: Daemon[] = [];
  for (const zone of ZONES) daemons.push(await startDaemon(surroundings, zone, daemons));
  fabric.setBalancers(daemons.map(balancerOf));
  await until(t, 'all balancers in rotation', () => fabric.counters().inRotation.length === ZONES.length);
  const callers = await startCallerStandin({
    fabric: fabric.callerSide,
    services: SERVICES,
    local: ANY_PORT,
    control: ANY_PORT,
    seed: 5,
    longFlows: LONG_FLOWS,
    requestIntervalMs: 200,
    openingsPerSecond: 10,
    flowLifetimeMs: 500,
    requestTimeoutMs: PATIENCE_MS,
    giveUpMs: PATIENCE_MS,
    stopTimeoutMs: STOP_PATIENCE_MS,
  });
  const client = createStoreClient({
    baseUrl: platform.url,
    clock: new SystemClock(),
    random: seededRandom(9),
    events: SILENT_EVENT_LOG,
    callDeadlineMs: PATIENCE_MS,
    attemptDeadlineMs: PATIENCE_MS,
  });
  t.teardown(async () => {
    await callers.close();
    await Promise.all(daemons.map((daemon) => daemon.abort()));
    await client.close();
    await Promise.all([fabric.close(), backends.close(), platform.close()]);
  });
  await until(t, 'all long flows open', () => callers.report().flows.open >= LONG_FLOWS);

  const editor = new TreeEditor({ platform: client, clock: new SystemClock(), random: seededRandom(10) });
  const drained = 'site/push/b0';
  const edit = await editor.edit(setFields(drained, { draining: true }), {
    author: 'test',
    token: 'drain-1',
    summary: 'drain one back end',
    deadlineMs: PATIENCE_MS,
  });
  if (edit.isErr) return t.fail(edit.error.message);
  const { version } = edit.value;
  await until(t, 'the edit is in force everywhere', () =>
    daemons.every((daemon) => daemon.status().settings.version >= version),
  );
  const openedBefore = backends.report().backends.find(({ name }) => name === drained)?.opened;
  const answeredBefore = callers.report().requests.answered;
  await until(t, 'more answers', () => callers.report().requests.answered >= answeredBefore + 200);

  const [leaving, ...staying] = daemons;
  if (!leaving) return t.fail('no daemon');
  const readinessWhileLeaving: boolean[] = [];
  const stop = leaving.stop();
  readinessWhileLeaving.push(leaving.readiness().ready);
  await stop;
  t.deepEqual(readinessWhileLeaving, [false]);
  t.deepEqual(
    fabric.counters().inRotation,
    staying.map((daemon) => daemon.readyLine().id),
  );
  const answeredAtStop = callers.report().requests.answered;
  await until(t, 'answers after the stop', () => callers.report().requests.answered >= answeredAtStop + 200);
  const kept = staying.map((daemon) => daemon.status().flow.open).reduce((sum, open) => sum + open, 0);
  t.true(kept >= LONG_FLOWS, `${kept} flows are kept by the staying daemons`);

  const report = await callers.stop();
  t.deepEqual(report.brokenFlows, []);
  t.is(report.requests.foreignOrPartial, 0);
  t.is(report.flows.refused, 0);
  t.is(report.requests.answered + report.requests.notRun, report.requests.sent);
  const totals = backends.report();
  t.is(totals.misdelivered, 0);
  t.deepEqual(totals.unrepeatableRunTwice, []);
  t.deepEqual(backends.executedOf(report.notRunIds), []);
  t.is(totals.backends.find(({ name }) => name === drained)?.opened, openedBefore);
  return undefined;
});
