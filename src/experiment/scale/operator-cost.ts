/** Cost of an operator's edits of trees of several sizes: processor time includes the stand-in platform's. */
import { SystemClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { createStoreClient } from '../../store/index.js';
import { setFields, TREE_OBJECT_KEY, TreeEditor, type TreeDocument } from '../../settings/index.js';
import { startPlatformStandin } from '../../standin/platform/index.js';
import { quantile } from './step-figures.js';
import { generateTree, servicesFor } from './tree-generator.js';
import type { OperatorCost } from './types.js';

const TREE_SIZES: readonly number[] = [150, 1_000, 3_000, 6_300];
const EDITS = 7;
const US_PER_MS = 1_000;

/** Measures every size of tree. */
export async function measureOperatorCost(seed: number): Promise<OperatorCost[]> {
  const costs: OperatorCost[] = [];
  for (const backends of TREE_SIZES) costs.push(await measureEdits(seed, backends));
  return costs;
}

async function measureEdits(seed: number, backends: number): Promise<OperatorCost> {
  const tree = generateTree({ services: servicesFor(backends), backends, zones: ['zone-0'], probers: 367 });
  const platform = await startPlatformStandin({ port: 0, objects: { [TREE_OBJECT_KEY]: tree } });
  const clock = new SystemClock();
  const random = seededRandom(seed);
  const client = createStoreClient({
    ...{ baseUrl: platform.url, clock, random, events: SILENT_EVENT_LOG, caller: 'operator' },
  });
  try {
    const editor = new TreeEditor({ platform: client, clock, random });
    const times: { cpuMs: number; elapsedMs: number }[] = [];
    for (let edit = 0; edit < EDITS; edit += 1) times.push(await timeEdit(editor, tree, edit));
    const median = (values: number[]): number => Number(quantile(values, 0.5)!.toFixed(1));
    return {
      ...{ backends, edits: EDITS, treeBytes: Buffer.byteLength(JSON.stringify(tree)) },
      cpuMs: median(times.map(({ cpuMs }) => cpuMs)),
      elapsedMs: median(times.map(({ elapsedMs }) => elapsedMs)),
    };
  } finally {
    await client.close();
    await platform.close();
  }
}

async function timeEdit(
  editor: TreeEditor,
  tree: TreeDocument,
  edit: number,
): Promise<{ readonly cpuMs: number; readonly elapsedMs: number }> {
  const backend = tree.nodes.find((node) => node.kind === 'backend')!;
  const startedAtMs = performance.now();
  const cpu = process.cpuUsage();
  const outcome = await editor.edit(setFields(backend.path, { weight: 1 + (edit + 1) / 1_000 }), {
    author: 'scale',
    token: `operator-cost-${tree.nodes.length}-${edit}`,
    summary: 'scale run',
  });
  if (outcome.isErr) throw outcome.error;
  const { user, system } = process.cpuUsage(cpu);
  return { cpuMs: (user + system) / US_PER_MS, elapsedMs: performance.now() - startedAtMs };
}
