import { fileURLToPath } from 'node:url';
import test from 'ava';
import { Command } from 'commander';
import { FakePlatform } from '../settings/testing/fake-platform.js';
import { registerConfigCommand } from './config-command.js';
import { ExitCode } from './exit-codes.js';
import type { CommandOutput } from './settings-output.js';
import { registerTreeCommand } from './tree-command.js';

const ISARTAL = fileURLToPath(new URL('../../examples/isartal.yaml', import.meta.url));
const ENCHUFE = fileURLToPath(new URL('../../examples/enchufe.yaml', import.meta.url));
const NOT_SETTINGS = fileURLToPath(new URL('../../package.json', import.meta.url));

interface RunResult {
  readonly code: ExitCode;
  readonly out: string;
  readonly error: string;
}

class Bench {
  readonly platform = new FakePlatform();

  async run(...args: string[]): Promise<RunResult> {
    const result = { code: ExitCode.Ok, out: '', error: '' };
    const output: CommandOutput = {
      write: (line) => void (result.out += `${line}\n`),
      writeError: (line) => void (result.error += `${line}\n`),
      exit: (code) => (result.code = code),
    };
    const program = new Command('sailquay');
    registerConfigCommand(program, output);
    registerTreeCommand(program, { output, connect: () => this.platform });
    await program.parseAsync(args, { from: 'user' });
    return result;
  }

  tree(...args: string[]): Promise<RunResult> {
    return this.run('tree', ...args, '--platform', 'http://127.0.0.1:1');
  }

  edit(...args: string[]): Promise<RunResult> {
    return this.tree(...args, '--author', 'ana');
  }
}

async function isartalBench(): Promise<Bench> {
  const bench = new Bench();
  await bench.edit('apply', ISARTAL, '--token', 'first');
  return bench;
}

test('config check accepts a valid file and counts its parts', async (t) => {
  const { code, out } = await new Bench().run('config', 'check', ISARTAL, '--json');
  t.is(code, ExitCode.Ok);
  t.like(JSON.parse(out), { valid: true, services: 2, backends: 13 });
});

test('config check lists every fault', async (t) => {
  const bench = new Bench();
  const text = await bench.run('config', 'check', NOT_SETTINGS);
  t.is(text.code, ExitCode.InvalidSettings);
  t.regex(text.error, /defaults: license = "Apache-2.0": .* \[settings.unknown-field\]/);
  t.regex(text.error, /\d+ fault\(s\); nothing was applied/);
  const json = JSON.parse((await bench.run('config', 'check', NOT_SETTINGS, '--json')).out);
  t.true(json.faults.length > 5);
});

test('config check of a missing file fails without a stack trace', async (t) => {
  const { code, error } = await new Bench().run('config', 'check', '/nowhere/tree.yaml');
  t.is(code, ExitCode.Failure);
  t.notRegex(error, /\n\s+at /);
});

test('config schema names units, ranges and every level', async (t) => {
  const schema = JSON.parse((await new Bench().run('config', 'schema')).out);
  const site = schema.properties.sites.additionalProperties.anyOf[0].properties;
  const service = site.services.additionalProperties.anyOf[0].properties;
  const backend = service.backends.additionalProperties.anyOf[0].properties;
  t.regex(service.idleTimeoutMs.description, /Unit: ms\. Default: 14400000\./);
  t.like(backend.slots, { type: 'integer', minimum: 1, maximum: 100_000 });
  t.is(backend.address, undefined);
  t.true(new RegExp(service.address.pattern).test('10.20.0.10:7000'));
});

test('a tree is applied, read, changed and its history told', async (t) => {
  const bench = await isartalBench();
  const set = await bench.edit('set', 'isartal/pickguide/pick-01', 'weight=2', 'zone=9', '--json');
  t.like(JSON.parse(set.out), { outcome: 'applied', version: 2 });
  const effective = JSON.parse((await bench.tree('effective', 'isartal/pickguide/pick-01', '--json')).out);
  const fields = new Map(effective.fields.map((each: { field: string }) => [each.field, each]));
  t.like(fields.get('weight'), { value: 2, origin: 'isartal/pickguide/pick-01' });
  t.like(fields.get('zone'), { value: '9' });
  t.like(fields.get('slots'), { value: 2, origin: '' });
  t.like(fields.get('draining'), { value: false, origin: 'built-in' });
  const diff = await bench.tree('diff', ISARTAL);
  t.is(
    diff.out,
    '~ isartal/pickguide/pick-01: zone: 9 -> halle-nord\n~ isartal/pickguide/pick-01: weight: 2 -> unset\n',
  );
  const history = JSON.parse((await bench.tree('history', '--json')).out);
  t.deepEqual(
    history.edits.map((edit: { summary: string; version: number }) => [edit.version, edit.summary]),
    [
      [1, `apply ${ISARTAL}`],
      [2, 'set isartal/pickguide/pick-01 weight=2 zone=9'],
    ],
  );
  t.regex((await bench.tree('history')).out, /^version 1 {2}\d{4}-.* ana {2}apply/);
});

test('what get prints can be applied again', async (t) => {
  const bench = await isartalBench();
  const { out } = await bench.tree('get');
  t.regex(out, /^# version 1\ndefaults:\n {2}slots: 2/);
  t.regex(out, /pick-10:/);
  const part = JSON.parse((await bench.tree('get', 'isartal/labeldruck', '--json')).out);
  t.is(part.nodes.length, 4);
});

test('unset, move and remove', async (t) => {
  const bench = await isartalBench();
  t.is((await bench.edit('unset', 'defaults', 'slots')).code, ExitCode.Ok);
  t.is((await bench.edit('move', 'isartal/labeldruck', 'isartal/labels')).code, ExitCode.Ok);
  t.is((await bench.edit('remove', 'isartal/pickguide')).code, ExitCode.Ok);
  const left = JSON.parse((await bench.tree('get', '--json')).out);
  t.deepEqual(
    left.nodes.map(({ path }: { path: string }) => path),
    [
      '',
      'isartal',
      'isartal/labels',
      'isartal/labels/label-01',
      'isartal/labels/label-02',
      'isartal/labels/label-03',
    ],
  );
});

test('a repeated token is told as replayed', async (t) => {
  const bench = await isartalBench();
  t.regex((await bench.edit('apply', ISARTAL, '--token', 'first')).out, /^replayed|\nreplayed at version 1/);
  t.is(bench.platform.writes, 1);
});

const EXITS: readonly (readonly [title: string, args: readonly string[], code: ExitCode, text: RegExp])[] = [
  [
    'invalid value',
    ['set', 'isartal', 'slots=0'],
    ExitCode.InvalidSettings,
    /isartal: slots = 0: is out of range/,
  ],
  ['unknown field', ['set', 'isartal', 'slot=1'], ExitCode.InvalidSettings, /settings.unknown-field/],
  ['invalid file', ['apply', NOT_SETTINGS], ExitCode.InvalidSettings, /settings.unknown-field/],
  ['missing node', ['remove', 'isartal/none'], ExitCode.NotFound, /There is no node isartal\/none/],
];

for (const [title, args, code, text] of EXITS) {
  test(`exit code: ${title}`, async (t) => {
    const bench = await isartalBench();
    const result = await bench.edit(...args);
    t.is(result.code, code);
    t.regex(result.error, text);
    t.is(bench.platform.writes, 1);
  });
}

test('exit code: effective and get of a missing node', async (t) => {
  const bench = await isartalBench();
  t.is((await bench.tree('effective', 'isartal/none')).code, ExitCode.NotFound);
  t.is((await bench.tree('get', 'isartal/none')).code, ExitCode.NotFound);
});

test('exit code: conflict names both sides', async (t) => {
  const bench = await isartalBench();
  bench.platform.beforeWrite = async () => {
    bench.platform.beforeWrite = async () => undefined;
    await bench.tree('set', 'isartal', 'slots=3', '--author', 'ben');
  };
  const result = await bench.edit('set', 'isartal', 'slots=4', '--json');
  t.is(result.code, ExitCode.Conflict);
  t.like(JSON.parse(result.out).error.conflicts[0], {
    path: 'isartal',
    field: 'slots',
    ours: 4,
    theirs: 3,
    ourAuthor: 'ana',
    theirAuthor: 'ben',
  });
});

test('exit code: platform unreachable', async (t) => {
  const bench = await isartalBench();
  bench.platform.failingReads = 1;
  const result = await bench.tree('get');
  t.is(result.code, ExitCode.PlatformUnreachable);
  t.notRegex(result.error, /\n\s+at /);
});

test('exit code: an edit gives up after its timeout', async (t) => {
  const bench = await isartalBench();
  bench.platform.failingReads = Infinity;
  const result = await bench.edit('set', 'isartal', 'slots=4', '--timeout', '0.05');
  t.is(result.code, ExitCode.PlatformUnreachable);
  t.is(bench.platform.writes, 1);
});

test('exit code: no platform named', async (t) => {
  delete process.env['SAILQUAY_PLATFORM'];
  const result = await new Bench().run('tree', 'get');
  t.is(result.code, ExitCode.Usage);
});

test('another example can replace the tree', async (t) => {
  const bench = await isartalBench();
  await bench.edit('apply', ENCHUFE);
  t.is((await bench.tree('diff', ENCHUFE)).out, '');
});
