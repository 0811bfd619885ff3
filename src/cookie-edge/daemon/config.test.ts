import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { MECHANISMS } from '../../common/mechanisms.js';
import { checkCookieDaemonConfig, compareConfigs, loadCookieDaemonConfig } from './config.js';

const VALID = {
  id: 'balancer-1',
  region: 'region-1',
  zone: 'zone-a',
  data: '10.0.0.1:8172',
  admin: '10.0.0.1:8167',
  control: '10.0.0.1:7720',
  source: '10.0.0.9:8169',
};

test('a minimal configuration is valid: defaults are added and unknown fields are ignored', (t) => {
  const config = checkCookieDaemonConfig({ ...VALID, future: { field: 1 } }, 'test');
  t.deepEqual(config.source, { host: '10.0.0.9', port: 8169 });
  t.deepEqual(config.seeds, []);
  t.true(config.drain.minMs < config.drain.maxMs);
});

test('every mechanism can be switched off, and all are on by default', (t) => {
  t.deepEqual(checkCookieDaemonConfig(VALID, 'test').switchedOff, []);
  t.deepEqual(checkCookieDaemonConfig({ ...VALID, switchedOff: MECHANISMS }, 'test').switchedOff, [
    ...MECHANISMS,
  ]);
});

const INVALID_CHANGES: readonly (readonly [Record<string, unknown>, RegExp])[] = [
  [{ id: '' }, /id: /],
  [{ zone: 7 }, /zone: /],
  [{ data: '10.0.0.1' }, /data: write IPv4:port/],
  [{ data: 'localhost:80' }, /data: write IPv4:port/],
  [{ source: '10.0.0.1:0' }, /source: write IPv4:port/],
  [{ admin: '10.0.0.1:70000' }, /admin: write IPv4:port/],
  [{ seeds: ['10.0.0.1:1', 'x'] }, /seeds\.1: /],
  [{ seedPort: 0 }, /seedPort: /],
  [{ maxFlowAgeMs: -1 }, /maxFlowAgeMs: /],
  [{ changeBoundsMs: [] }, /changeBoundsMs: /],
  [{ changeBoundsMs: [3_000, 0] }, /changeBoundsMs\.1: /],
  [{ zoneMargin: -0.5 }, /zoneMargin: /],
  [{ zoneLoadFactor: 0.5 }, /zoneLoadFactor: /],
  [{ cordonBoundMs: 0 }, /cordonBoundMs: /],
  [{ zoneRegions: { 'zone-a': 7 } }, /zoneRegions\.zone-a: /],
  [{ coldOverage: 0 }, /coldOverage: /],
  [{ coldSlack: -1 }, /coldSlack: /],
  [{ switchedOff: ['passive-helth'] }, /switchedOff\.0: /],
  [{ limits: { maxFlows: 1.5 } }, /limits\.maxFlows: /],
  [{ drain: { minMs: 'long' } }, /drain\.minMs: /],
  [{ log: { level: 'loud' } }, /log\.level: /],
];

for (const [change, expected] of INVALID_CHANGES) {
  test(`an invalid value is reported with its field: ${JSON.stringify(change)}`, (t) => {
    const error = t.throws(() => checkCookieDaemonConfig({ ...VALID, ...change }, 'test'));
    t.regex(error!.message, expected);
    t.regex(error!.message, /Correct the named fields$/);
  });
}

test('all faults are reported in one error', (t) => {
  const error = t.throws(() => checkCookieDaemonConfig({ ...VALID, id: '', zone: '' }, 'test'));
  t.regex(error!.message, /2 fault\(s\)/);
});

test('a file may be JSON or YAML, and a malformed or missing file is reported', async (t) => {
  const directory = mkdtempSync(join(tmpdir(), 'sailquay-config-'));
  t.teardown(() => rmSync(directory, { recursive: true }));
  const path = join(directory, 'daemon');
  writeFileSync(path, JSON.stringify(VALID));
  t.is((await loadCookieDaemonConfig(path)).id, 'balancer-1');
  writeFileSync(
    path,
    Object.entries(VALID)
      .map(([field, value]) => `${field}: "${value}"`)
      .join('\n'),
  );
  t.is((await loadCookieDaemonConfig(path)).id, 'balancer-1');
  writeFileSync(path, '{"id": ');
  t.regex((await t.throwsAsync(loadCookieDaemonConfig(path)))!.message, /Write JSON or YAML/);
  const missing = await t.throwsAsync(loadCookieDaemonConfig(join(directory, 'missing')));
  t.regex(missing!.message, /Give the path/);
});

test('a reload reports the changed fields and those that need a restart', (t) => {
  const previous = checkCookieDaemonConfig(VALID, 'test');
  const next = checkCookieDaemonConfig({ ...VALID, zone: 'zone-b', limits: { maxFlows: 9 } }, 'test');
  t.deepEqual(compareConfigs(previous, next), { changed: ['zone', 'limits'], needsRestart: ['zone'] });
});
