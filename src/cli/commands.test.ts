/** The command line: help, exit codes, errors without stack traces; and a daemon as a process under signals. */
import test, { type ExecutionContext } from 'ava';
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { stringify } from 'yaml';
import { parseTree, TREE_OBJECT_KEY } from '../settings/index.js';
import { startPlatformStandin } from '../standin/platform/index.js';
import { run } from './program.js';

/** Far beyond any stall of the machine. */
const PATIENCE_MS = 200_000;

const MAIN = fileURLToPath(new URL('./main.ts', import.meta.url));
const TREE = {
  sites: {
    site: {
      services: {
        push: {
          address: '10.1.0.1:443',
          backends: { b0: { zone: 'zone-a', endpoint: '127.0.0.1:9', healthEndpoint: '127.0.0.1:9' } },
        },
      },
    },
  },
};

interface Outcome {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

async function runHere(...argumentList: readonly string[]): Promise<Outcome> {
  const written = { stdout: '', stderr: '' };
  const code = await run(argumentList, {
    writeOut: (text) => (written.stdout += text),
    writeErr: (text) => (written.stderr += text),
  });
  return { code, ...written };
}

function start(...argumentList: readonly string[]): ChildProcess {
  return spawn(process.execPath, ['--import', 'tsx', MAIN, ...argumentList]);
}

function ended(child: ChildProcess): Promise<number | null> {
  return new Promise((resolve) => child.once('close', (code) => resolve(code)));
}

test.before(() => {
  delete process.env['SAILQUAY_PLATFORM'];
  delete process.env['SAILQUAY_ADMIN'];
});

const HELP = [
  [],
  ['daemon'],
  ['daemon', 'run'],
  ['config'],
  ['tree'],
  ['tree', 'set'],
  ['status'],
  ['backend'],
  ['backend', 'drain'],
  ['standin'],
];

test('help has an example at each level', async (t) => {
  for (const path of HELP) {
    const { code, stdout } = await runHere(...path, '--help');
    t.is(code, 0, path.join(' '));
    t.regex(stdout, /Examples?:\n {2}\$ sailquay /, path.join(' '));
  }
});

interface FailureCase {
  readonly name: string;
  readonly argumentList: readonly string[];
  readonly code: number;
  readonly message: RegExp;
}

const NOBODY = 'http://127.0.0.1:1';
const FAILURES: readonly FailureCase[] = [
  { name: 'an unknown command', argumentList: ['sail'], code: 2, message: /unknown command 'sail'/ },
  { name: 'an unknown flag', argumentList: ['status', '--all'], code: 2, message: /unknown option '--all'/ },
  { name: 'no fleet named', argumentList: ['status'], code: 2, message: /--admin IP:PORT/ },
  { name: 'a bad address', argumentList: ['status', '--admin', 'x'], code: 2, message: /IPv4:port/ },
  {
    name: 'no daemon there',
    argumentList: ['status', '--admin', '127.0.0.1:1'],
    code: 5,
    message: /no daemon/,
  },
  {
    name: 'no platform there',
    argumentList: ['backend', 'drain', 'site/push/b0', '--platform', NOBODY],
    code: 5,
    message: /platform/,
  },
  {
    name: 'an empty configuration',
    argumentList: ['daemon', 'run'],
    code: 3,
    message: /clusterKeyFile: missing/,
  },
  {
    name: 'an unreadable configuration',
    argumentList: ['daemon', 'run', '--config', '/nonexistent'],
    code: 3,
    message: /cannot read/,
  },
];

for (const { name, argumentList, code, message } of FAILURES) {
  test(`${name}: exit code ${code}, a remedy and no stack trace`, async (t) => {
    const outcome = await runHere(...argumentList);
    t.is(outcome.code, code);
    t.regex(outcome.stderr, message);
    t.notRegex(outcome.stderr, /\n\s+at /);
    t.is(outcome.stdout, '');
  });
}

/** A started daemon with the lines of its log. */
interface RunningDaemon {
  readonly child: ChildProcess;
  readonly admin: string;
  readonly configFile: string;
  readonly config: Record<string, unknown>;
  /** Waits for the next event with this number, also one logged already. */
  event(number: number): Promise<Record<string, unknown>>;
}

async function startDaemon(t: ExecutionContext, fields: Record<string, unknown>): Promise<RunningDaemon> {
  const directory = mkdtempSync(join(tmpdir(), 'sailquay-cli-'));
  const clusterKeyFile = join(directory, 'cluster.json');
  const secret = Buffer.alloc(32, 7).toString('base64');
  writeFileSync(clusterKeyFile, JSON.stringify({ active: 1, keys: [{ id: 1, secret }] }));
  const address = '127.0.0.1:0';
  const config = {
    id: 'balancer-1',
    region: 'region',
    zone: 'zone-a',
    control: address,
    data: address,
    admin: address,
    fabricReturn: '127.0.0.1:9',
    clusterKeyFile,
    log: { format: 'json' },
    ...fields,
  };
  const configFile = join(directory, 'daemon.yaml');
  writeFileSync(configFile, stringify(config));
  const child = start('daemon', 'run', '--config', configFile);
  t.teardown(() => child.kill('SIGKILL'));
  const log: Record<string, unknown>[] = [];
  const waiting = new Map<number, (entry: Record<string, unknown>) => void>();
  createInterface({ input: child.stderr! }).on('line', (line) => {
    const entry = JSON.parse(line) as Record<string, unknown>;
    log.push(entry);
    waiting.get(entry['event'] as number)?.(entry);
  });
  const event = async (number: number): Promise<Record<string, unknown>> => {
    const index = log.findIndex((entry) => entry['event'] === number);
    if (index >= 0) return log.splice(index, 1)[0]!;
    const entry = await new Promise<Record<string, unknown>>((resolve) => waiting.set(number, resolve));
    waiting.delete(number);
    log.splice(log.indexOf(entry), 1);
    return entry;
  };
  const ready = await new Promise<string>((resolve) => {
    createInterface({ input: child.stdout! }).once('line', resolve);
  });
  const { admin } = JSON.parse(ready) as { admin: string };
  return { child, admin, configFile, config, event };
}

test('SIGHUP puts what it can in force, names what needs a restart and refuses faults; SIGTERM ends with 0', async (t) => {
  t.timeout(PATIENCE_MS);
  const daemon = await startDaemon(t, {});
  const rewrite = (fields: object): void => {
    writeFileSync(daemon.configFile, stringify({ ...daemon.config, ...fields }));
    daemon.child.kill('SIGHUP');
  };
  rewrite({ zone: 'zone-b', limits: { maxFlows: 7 } });
  t.like(await daemon.event(1008), { changed: 'zone,limits.maxFlows', needsRestart: 'zone' });
  rewrite({ limits: { maxFlows: -7 } });
  t.regex(String((await daemon.event(1009))['error']), /limits\.maxFlows/);
  const answer = await request(`http://${daemon.admin}/readyz`);
  t.is(answer.statusCode, 503);
  t.deepEqual(await answer.body.json(), {
    ready: false,
    reasons: ['starting', 'no settings', 'first shards not taken over yet'],
  });
  daemon.child.kill('SIGTERM');
  t.is(await ended(daemon.child), 0);
  t.truthy(await daemon.event(1006));
});

test('a second SIGTERM ends a daemon at once while it hands over', async (t) => {
  t.timeout(PATIENCE_MS);
  const tree = parseTree(TREE);
  if (tree.isErr) return t.fail(JSON.stringify(tree.error));
  const platform = await startPlatformStandin({ port: 0, objects: { [TREE_OBJECT_KEY]: tree.value } });
  t.teardown(() => platform.close());
  const drain = { quietMs: PATIENCE_MS, maxMs: PATIENCE_MS };
  const first = await startDaemon(t, { platform: platform.url, drain });
  const seeds = [String((await first.event(1000))['control'])];
  const second = await startDaemon(t, { platform: platform.url, id: 'balancer-2', zone: 'zone-b', seeds });
  t.truthy(await second.event(1001));
  t.truthy(await first.event(1001));
  await first.event(1014);
  second.child.kill('SIGKILL');
  first.child.kill('SIGTERM');
  await first.event(1002);
  const answer = await request(`http://${first.admin}/readyz`);
  t.is(answer.statusCode, 503);
  const { reasons } = (await answer.body.json()) as { reasons: string[] };
  t.true(reasons.includes('draining'));
  first.child.kill('SIGTERM');
  t.truthy(await first.event(1007));
  t.is(await ended(first.child), 1);
  return undefined;
});
