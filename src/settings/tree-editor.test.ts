import test, { type ExecutionContext } from 'ava';
import type Result from 'true-myth/result';
import { VirtualClock } from '../common/clock.js';
import { seededRandom } from '../common/random.js';
import {
  drainNode,
  EditConflictError,
  InvalidTreeError,
  moveNode,
  parseTreeText,
  removeNode,
  replaceNodes,
  setFields,
  TREE_OBJECT_KEY,
  TreeEditor,
  type TreeError,
  type TreeErrorKind,
  unsetFields,
  type EditOutcome,
  type EditRequest,
  type TreeEdit,
} from './index.js';
import { FakePlatform, type WriteFault } from './testing/fake-platform.js';

const TEXT = `
sites:
  a:
    zone: z
    services:
      s:
        address: 10.0.0.1:80
        backends: {x: {endpoint: "127.0.0.1:1"}, y: {endpoint: "127.0.0.1:2"}}
`;

/** Longest virtual time that a test waits for an edit. */
const PATIENCE_MS = 60_000;
const STEP_MS = 100;

class Bench {
  readonly platform = new FakePlatform();
  readonly clock = new VirtualClock();
  readonly editor = new TreeEditor({ platform: this.platform, clock: this.clock, random: seededRandom(3) });
  private requests = 0;

  constructor() {
    const parsed = parseTreeText(TEXT);
    if (parsed.isErr) throw new Error('the tree of the test has faults');
    this.platform.seed(TREE_OBJECT_KEY, parsed.value);
  }

  request(author: string, overrides: Partial<EditRequest> = {}): EditRequest {
    this.requests += 1;
    return { author, token: `token-${this.requests}`, summary: 'a test', ...overrides };
  }

  /** Lets virtual time pass until the edit has ended. */
  async settle(pending: Promise<Result<EditOutcome, TreeError>>): Promise<Result<EditOutcome, TreeError>> {
    let result: Result<EditOutcome, TreeError> | undefined;
    void pending.then((settled) => (result = settled));
    for (let waited = 0; !result && waited < PATIENCE_MS; waited += STEP_MS)
      await this.clock.advanceAsync(STEP_MS, STEP_MS);
    if (!result) throw new Error('the edit did not end');
    return result;
  }

  edit(edit: TreeEdit, request: EditRequest): Promise<Result<EditOutcome, TreeError>> {
    return this.settle(this.editor.edit(edit, request));
  }

  /** Lets `edit` by a second operator be accepted just before the next write. */
  race(...edits: TreeEdit[]): void {
    this.platform.beforeWrite = async () => {
      const rival = edits.shift();
      if (!rival) return;
      const hook = this.platform.beforeWrite;
      this.platform.beforeWrite = async () => undefined;
      const result = await this.editor.edit(rival, this.request('rival'));
      if (result.isErr) throw result.error;
      this.platform.beforeWrite = hook;
    };
  }

  async field(path: string, field: string): Promise<unknown> {
    const stored = await this.editor.read();
    if (stored.isErr) throw stored.error;
    return stored.value.document.nodes.find((node) => node.path === path)?.fields[field];
  }

  async tokens(): Promise<string[]> {
    const stored = await this.editor.read();
    return stored.isOk ? stored.value.document.edits.map(({ token }) => token) : [];
  }
}

function outcome(t: ExecutionContext, result: Result<EditOutcome, TreeError>): EditOutcome {
  if (result.isErr) return t.fail(result.error.message) as never;
  return result.value;
}

function errorOf(result: Result<EditOutcome, TreeError>): TreeError | undefined {
  return result.isErr ? result.error : undefined;
}

const WEIGHT = setFields('a/s/x', { weight: 2 });

test('an edit is written with its record, and its version is known to the next reader', async (t) => {
  const bench = new Bench();
  const request = bench.request('ana');
  const done = outcome(t, await bench.edit(WEIGHT, request));
  t.like(done, { outcome: 'applied', version: 2, attempts: 1 });
  outcome(t, await bench.edit(drainNode('a/s/y', true), bench.request('ben')));
  const stored = (await bench.editor.read()).unwrapOr({ version: 0, document: { nodes: [], edits: [] } });
  t.deepEqual(
    stored.document.edits.map(({ author, version }) => [author, version]),
    [
      ['ana', 2],
      ['ben', 3],
    ],
  );
  t.deepEqual(stored.document.edits[0]?.changes, [{ path: 'a/s/x', field: 'weight', after: 2 }]);
});

test('the first edit of an empty store makes the tree', async (t) => {
  const platform = new FakePlatform();
  const editor = new TreeEditor({ platform, clock: new VirtualClock(), random: seededRandom(1) });
  const request = { author: 'ana', token: 't', summary: 's' };
  t.like(outcome(t, await editor.edit(setFields('', { slots: 4 }), request)), {
    outcome: 'applied',
    version: 1,
  });
});

interface LostCase {
  readonly faults: readonly WriteFault[];
  /** Writes that the editor asks for. */
  readonly writes: number;
  readonly version: number;
}

const LOST_CASES: readonly LostCase[] = [
  { faults: ['lost-answer'], writes: 1, version: 2 },
  { faults: ['lost-request'], writes: 2, version: 2 },
  { faults: ['unreachable'], writes: 2, version: 2 },
  { faults: ['late'], writes: 2, version: 2 },
  { faults: ['late', 'lost-request'], writes: 2, version: 2 },
  { faults: ['lost-request', 'lost-answer'], writes: 2, version: 2 },
  { faults: ['unreachable', 'lost-request', 'late', 'lost-answer'], writes: 4, version: 2 },
];

for (const { faults, writes, version } of LOST_CASES) {
  test(`applied exactly once after ${faults.join(', ')}`, async (t) => {
    const bench = new Bench();
    bench.platform.writeFaults.push(...faults);
    const request = bench.request('ana');
    const done = outcome(t, await bench.edit(WEIGHT, request));
    t.like(done, { outcome: 'applied', version });
    t.is(bench.platform.writes, writes);
    t.deepEqual(await bench.tokens(), [request.token]);
    t.is(await bench.field('a/s/x', 'weight'), 2);
  });
}

test('a lost answer followed by a rival edit is found by its token', async (t) => {
  const bench = new Bench();
  bench.platform.writeFaults.push('lost-answer');
  const pending = bench.editor.edit(WEIGHT, bench.request('ana'));
  await bench.clock.advanceAsync(1);
  outcome(t, await bench.edit(setFields('a/s/x', { weight: 3 }), bench.request('ben')));
  t.like(outcome(t, await bench.settle(pending)), { outcome: 'applied', version: 2 });
  t.is(await bench.field('a/s/x', 'weight'), 3);
});

test('a repeated token is not applied again, even after the value has been changed back', async (t) => {
  const bench = new Bench();
  const request = bench.request('ana');
  outcome(t, await bench.edit(WEIGHT, request));
  outcome(t, await bench.edit(unsetFields('a/s/x', ['weight']), bench.request('ben')));
  t.like(outcome(t, await bench.edit(WEIGHT, request)), { outcome: 'replayed', version: 2 });
  t.is(await bench.field('a/s/x', 'weight'), undefined);
  t.is(bench.platform.writes, 2);
});

for (const change of [{ author: 'ben' }, { summary: 'another edit' }]) {
  test(`a token used for another edit is refused: ${Object.keys(change)[0]}`, async (t) => {
    const bench = new Bench();
    const request = bench.request('ana');
    outcome(t, await bench.edit(WEIGHT, request));
    t.is(errorOf(await bench.edit(WEIGHT, { ...request, ...change }))?.kind, 'settings.token-reused');
  });
}

test('only the last 50 records are kept', async (t) => {
  const bench = new Bench();
  for (let weight = 1; weight <= 55; weight += 1) {
    outcome(t, await bench.edit(setFields('a/s/x', { weight }), bench.request('ana')));
  }
  const tokens = await bench.tokens();
  t.is(tokens.length, 50);
  t.is(tokens[0], 'token-6');
});

interface RaceCase {
  readonly title: string;
  readonly ours: TreeEdit;
  readonly theirs: TreeEdit;
  /** Conflicts as path, field, our value and their value; none: both edits are accepted. */
  readonly conflicts: readonly (readonly [string, string, unknown, unknown])[];
}

const RACE_CASES: readonly RaceCase[] = [
  { title: 'other node', ours: WEIGHT, theirs: setFields('a/s/y', { weight: 3 }), conflicts: [] },
  { title: 'other field', ours: WEIGHT, theirs: setFields('a/s/x', { slots: 3 }), conflicts: [] },
  { title: 'same value', ours: WEIGHT, theirs: WEIGHT, conflicts: [] },
  { title: 'node above', ours: WEIGHT, theirs: setFields('a', { weight: 5 }), conflicts: [] },
  { title: 'both remove', ours: removeNode('a/s/x'), theirs: removeNode('a/s/x'), conflicts: [] },
  {
    title: 'same field',
    ours: WEIGHT,
    theirs: setFields('a/s/x', { weight: 3 }),
    conflicts: [['a/s/x', 'weight', 2, 3]],
  },
  {
    title: 'set and unset',
    ours: setFields('a', { zone: 'q' }),
    theirs: (document) =>
      unsetFields('a', ['zone'])(setFields('a/s', { zone: 'w' })(document).unwrapOr(document)),
    conflicts: [['a', 'zone', 'q', undefined]],
  },
  {
    title: 'we set, they remove the node',
    ours: WEIGHT,
    theirs: removeNode('a/s/x'),
    conflicts: [['a/s/x', '$kind', 2, undefined]],
  },
  {
    title: 'we set, they remove the node above',
    ours: WEIGHT,
    theirs: removeNode('a/s'),
    conflicts: [['a/s', '$kind', 2, undefined]],
  },
  {
    title: 'we remove, they set',
    ours: removeNode('a/s'),
    theirs: setFields('a/s/y', { slots: 3 }),
    conflicts: [['a/s/y', 'slots', undefined, 3]],
  },
  {
    title: 'we remove, they add below',
    ours: removeNode('a/s'),
    theirs: setFields('a/s/w', { endpoint: '127.0.0.1:7' }),
    conflicts: [
      ['a/s/w', '$kind', undefined, 'backend'],
      ['a/s/w', 'endpoint', undefined, '127.0.0.1:7'],
    ],
  },
  {
    title: 'we move, they set',
    ours: moveNode('a/s/x', 'a/s/w'),
    theirs: WEIGHT,
    conflicts: [['a/s/x', 'weight', undefined, 2]],
  },
];

for (const { title, ours, theirs, conflicts } of RACE_CASES) {
  test(`race: ${title}`, async (t) => {
    const bench = new Bench();
    bench.race(theirs);
    const result = await bench.edit(ours, bench.request('ana'));
    const error = errorOf(result);
    const found = error instanceof EditConflictError ? error.conflicts : [];
    t.deepEqual(
      found.map((each) => [each.path, each.field, each.ours, each.theirs]),
      conflicts.map((each) => [...each]),
    );
    t.is(result.isOk, conflicts.length === 0, error?.message);
    t.true(found.every(({ ourAuthor, theirAuthor }) => ourAuthor === 'ana' && theirAuthor === 'rival'));
  });
}

test('edits without a conflict are all kept through several races', async (t) => {
  const bench = new Bench();
  bench.race(
    setFields('a/s/y', { weight: 3 }),
    setFields('a/s/y', { slots: 3 }),
    setFields('a', { slots: 5 }),
  );
  t.like(outcome(t, await bench.edit(WEIGHT, bench.request('ana'))), {
    outcome: 'applied',
    attempts: 4,
    version: 5,
  });
  t.deepEqual(await bench.tokens(), ['token-2', 'token-3', 'token-4', 'token-1']);
  t.is(await bench.field('a/s/y', 'weight'), 3);
});

test('a race that makes the tree invalid is refused, and nothing is written', async (t) => {
  const bench = new Bench();
  bench.race(setFields('a/s/y', { endpoint: '127.0.0.1:9' }));
  const result = await bench.edit(setFields('a/s/x', { endpoint: '127.0.0.1:9' }), bench.request('ana'));
  const error = errorOf(result);
  t.deepEqual(error instanceof InvalidTreeError && error.faults.map(({ kind }) => kind), [
    'settings.duplicate-address',
  ]);
  t.is(await bench.field('a/s/x', 'endpoint'), '127.0.0.1:1');
});

test('an editor that always comes second gives up after a bounded number of writes', async (t) => {
  const bench = new Bench();
  bench.race(...Array.from({ length: 20 }, (_, index) => setFields('a/s/y', { weight: index + 1 })));
  const result = await bench.edit(WEIGHT, bench.request('ana', { deadlineMs: PATIENCE_MS }));
  t.is(errorOf(result)?.kind, 'settings.too-many-races');
  t.is(bench.platform.writes, 16);
});

test('a lost write that a newer version has overtaken leaves no doubt', async (t) => {
  const bench = new Bench();
  bench.race(...Array.from({ length: 20 }, (_, index) => setFields('a/s/y', { weight: index + 1 })));
  // The rival writes first each time, so the second entry is the editor's own first write.
  bench.platform.writeFaults.push('lost-request');
  bench.platform.writeFaults.unshift('none');
  const result = await bench.edit(WEIGHT, bench.request('ana', { deadlineMs: PATIENCE_MS }));
  t.is(errorOf(result)?.kind, 'settings.too-many-races');
  t.is(await bench.field('a/s/x', 'weight'), undefined);
});

const REFUSED: readonly (readonly [title: string, edit: TreeEdit, kind: TreeErrorKind | 'none'])[] = [
  ['a faulty value', setFields('a/s/x', { slots: 0 }), 'settings.invalid'],
  ['a parent that goes', removeNode('a'), 'none'],
  ['an unknown node', unsetFields('a/q', ['slots']), 'settings.node-not-found'],
  ['a field that is not set', unsetFields('a/s/x', ['slots']), 'settings.invalid-edit'],
  ['the defaults removed', removeNode(''), 'settings.invalid-edit'],
  ['a move to another depth', moveNode('a/s/x', 'a/x'), 'settings.invalid-edit'],
  ['a move onto a node', moveNode('a/s/x', 'a/s/y'), 'settings.node-exists'],
  ['a path too deep', setFields('a/s/x/y', { slots: 1 }), 'settings.invalid-edit'],
  ['a drain of nothing', drainNode('a/s/q', true), 'settings.node-not-found'],
  ['a new back end without a service', setFields('a/q/x', { endpoint: '127.0.0.1:9' }), 'settings.invalid'],
];

for (const [title, edit, kind] of REFUSED) {
  test(`edit: ${title}: ${kind}`, async (t) => {
    const bench = new Bench();
    t.is(errorOf(await bench.edit(edit, bench.request('ana')))?.kind ?? 'none', kind);
    t.is(bench.platform.writes, kind === 'none' ? 1 : 0);
  });
}

test('an edit that changes nothing writes nothing', async (t) => {
  const bench = new Bench();
  const parsed = parseTreeText(TEXT);
  const edit = replaceNodes(parsed.unwrapOr({ nodes: [], edits: [] }));
  t.like(outcome(t, await bench.edit(edit, bench.request('ana'))), { outcome: 'unchanged', version: 1 });
  t.is(bench.platform.writes, 0);
});

interface OutageCase {
  readonly title: string;
  readonly prepare: (platform: FakePlatform) => void;
  readonly kind: TreeErrorKind;
}

const OUTAGES: readonly OutageCase[] = [
  {
    title: 'no read is answered',
    prepare: (platform) => (platform.failingReads = Infinity),
    kind: 'settings.platform-unavailable',
  },
  {
    title: 'no write is sent',
    prepare: (platform) => platform.writeFaults.push(...Array<WriteFault>(50).fill('unreachable')),
    kind: 'settings.platform-unavailable',
  },
  {
    title: 'no write is answered',
    prepare: (platform) => platform.writeFaults.push(...Array<WriteFault>(50).fill('lost-request')),
    kind: 'settings.outcome-unknown',
  },
  {
    title: 'the answer and all reads after it are lost',
    prepare: (platform) => {
      platform.writeFaults.push('lost-answer');
      platform.beforeWrite = async () => void (platform.failingReads = Infinity);
    },
    kind: 'settings.outcome-unknown',
  },
];

for (const { title, prepare, kind } of OUTAGES) {
  test(`outage: ${title}: ${kind}, and the same token afterwards applies once`, async (t) => {
    const bench = new Bench();
    const request = bench.request('ana');
    prepare(bench.platform);
    t.is(errorOf(await bench.edit(WEIGHT, request))?.kind, kind);
    bench.platform.failingReads = 0;
    bench.platform.writeFaults.length = 0;
    bench.platform.beforeWrite = async () => undefined;
    outcome(t, await bench.edit(WEIGHT, request));
    t.deepEqual(await bench.tokens(), [request.token]);
  });
}

for (const value of [1, null, { nodes: 1 }, { nodes: [{}] }]) {
  test(`a stored object that is no tree is reported: ${JSON.stringify(value)}`, async (t) => {
    const bench = new Bench();
    bench.platform.seed(TREE_OBJECT_KEY, value);
    t.is(errorOf(await bench.edit(WEIGHT, bench.request('ana')))?.kind, 'settings.malformed-object');
  });
}
