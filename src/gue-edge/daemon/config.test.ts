import test from 'ava';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { stringify } from 'yaml';
import { changedFields, loadDaemonConfig, parseDaemonConfig } from './config.js';
import { DaemonError } from './errors.js';

const VALID = {
  id: 'balancer-1',
  region: 'bavaria',
  zone: 'halle-nord',
  control: '127.0.0.1:0',
  data: '127.0.0.1:0',
  admin: '127.0.0.1:0',
  fabricReturn: '127.0.0.1:9',
  clusterKeyFile: 'cluster.keys',
};

function fileWith(value: unknown): string {
  const path = join(mkdtempSync(join(tmpdir(), 'sailquay-config-')), 'daemon.yaml');
  writeFileSync(path, typeof value === 'string' ? value : stringify(value));
  return path;
}

function faultsOf(value: unknown): readonly { path: string; message: string }[] {
  try {
    parseDaemonConfig(value);
    return [];
  } catch (error) {
    return (error as DaemonError).faults;
  }
}

test('flags go before the file and the file before defaults', (t) => {
  const path = fileWith({ ...VALID, zone: 'halle-mitte', limits: { maxFlows: 10, maxPendingOpenings: 20 } });
  const config = loadDaemonConfig(path, { id: 'balancer-2', zone: undefined, limits: { maxFlows: 11 } });
  t.is(config.id, 'balancer-2');
  t.is(config.zone, 'halle-mitte');
  t.is(config.limits.maxFlows, 11);
  t.is(config.limits.maxPendingOpenings, 20);
  t.is(config.log.format, 'text');
  t.deepEqual(config.fabricReturn, { host: '127.0.0.1', port: 9 });
});

const FAULTS: readonly [string, unknown, string][] = [
  ['an unknown field', { ...VALID, zones: 'x' }, 'zones'],
  ['an unknown field in a group', { ...VALID, limits: { flows: 1 } }, 'limits.flows'],
  ['a host name in place of an address', { ...VALID, control: 'localhost:7100' }, 'control'],
  ['an address without a port', { ...VALID, data: '127.0.0.1' }, 'data'],
  ['a port out of range', { ...VALID, admin: '127.0.0.1:65536' }, 'admin'],
  ['port 0 where packets are sent', { ...VALID, fabricReturn: '127.0.0.1:0' }, 'fabricReturn'],
  ['a seed that is no address', { ...VALID, seeds: ['127.0.0.1:1', 'x'] }, 'seeds.1'],
  ['a platform that is no URL', { ...VALID, platform: '127.0.0.1:80' }, 'platform'],
  ['an id with a space', { ...VALID, id: 'balancer 1' }, 'id'],
  ['an unknown placement', { ...VALID, placement: 'best' }, 'placement'],
  ['a limit of zero', { ...VALID, limits: { maxFlows: 0 } }, 'limits.maxFlows'],
  ['a fractional budget', { ...VALID, controlBudgetBytesPerSecond: 1.5 }, 'controlBudgetBytesPerSecond'],
  ['an unknown log level', { ...VALID, log: { level: 'trace' } }, 'log.level'],
];

for (const [name, value, path] of FAULTS) {
  test(`${name} is one fault at its field`, (t) => {
    t.deepEqual(
      faultsOf(value).map((fault) => fault.path),
      [path],
    );
  });
}

test('every missing field is named at once', (t) => {
  t.deepEqual(
    faultsOf({})
      .map((fault) => fault.path)
      .sort(),
    Object.keys(VALID).sort(),
  );
  t.true(faultsOf({}).every((fault) => fault.message.includes('missing')));
});

test('an unreadable or malformed file is a typed error', (t) => {
  const kinds = ['/nonexistent/daemon.yaml', fileWith('a: [1'), fileWith('- 1')].map(
    (path) => t.throws(() => loadDaemonConfig(path), { instanceOf: DaemonError })?.kind,
  );
  t.deepEqual(kinds, ['daemon.config-unreadable', 'daemon.config-unreadable', 'daemon.config-invalid']);
});

test('changed fields are named', (t) => {
  const before = parseDaemonConfig(VALID);
  const after = parseDaemonConfig({ ...VALID, zone: 'halle-sued', limits: { maxFlows: 7 } });
  t.deepEqual(changedFields(before, after), ['zone', 'limits.maxFlows']);
  t.deepEqual(changedFields(before, { ...before, platform: 'http://127.0.0.1:1' }), ['platform']);
});
