/** Files that operators and scripts hand to the product or read from it. */
import { createHash } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { loadScenario, scenarioNames } from '../../src/experiment/scenario-files.js';
import { scenarioSchema } from '../../src/experiment/scenario.js';
import { describeSchema } from './operator-schemas.js';
import { ROOT_DIRECTORY } from './operator-source.js';

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** The value with the fields of its objects sorted, so that a hash of it does not depend on their order. */
function inOrder(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(inOrder);
  if (typeof value !== 'object' || value === null) return value;
  const entries = Object.entries(value).map(([key, part]) => [key, inOrder(part)] as const);
  return Object.fromEntries(entries.sort(([left], [right]) => (left < right ? -1 : 1)));
}

/** Fields of scenario files, and for each shipped one a hash of what it means. */
export async function scenarios(): Promise<unknown> {
  const shipped = scenarioNames().map((name) => {
    const loaded = loadScenario(name);
    if (loaded.isErr) throw loaded.error;
    return [name, sha256(JSON.stringify(inOrder(loaded.value)))];
  });
  return { fields: describeSchema(scenarioSchema), shipped: Object.fromEntries(shipped) };
}

/** Files that the platform reads at a roll-out, byte for byte. */
export async function deployFiles(): Promise<unknown> {
  const files = ['deploy/system.toml', 'platform/daemon.json.template'];
  return Object.fromEntries(
    files.map((name) => {
      const text = readFileSync(ROOT_DIRECTORY + name, 'utf8');
      return [name, { sha256: sha256(text), text }];
    }),
  );
}

/** Field names of the file of reached figures. */
export async function regressionFile(): Promise<unknown> {
  const text = readFileSync(`${ROOT_DIRECTORY}platform/tools/regression/reached.json`, 'utf8');
  const sites = JSON.parse(text) as object[];
  return [...new Set(sites.flatMap((site) => Object.keys(site)))].sort();
}
