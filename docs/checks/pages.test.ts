/** Compares the pages with the code that they speak of. */
import { existsSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { collectEvents } from '../../src/observability/event-catalogue.js';
import {
  findCommands,
  findEventNumbers,
  findLinks,
  findMetrics,
  findOwnDays,
  findPaths,
  findScripts,
  readPages,
  type Page,
} from './page-references.js';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const PAGES = readPages(join(ROOT, 'docs'));
const REFERENCE = [
  ...PAGES.filter(({ isRecord }) => !isRecord),
  ...['README.md', 'CONTRIBUTING.md'].map((name) => ({
    name: `../${name}`,
    text: readFileSync(join(ROOT, name), 'utf8'),
    isRecord: false,
  })),
];

/** A command of the recorded command line. */
interface RecordedCommand {
  readonly name: string;
  readonly commands: readonly RecordedCommand[];
}

function readRecorded(name: string): unknown {
  return JSON.parse(readFileSync(join(ROOT, 'contract/recorded', `${name}.json`), 'utf8'));
}

/** What of `find(page)` fails `isKnown`, with the page's name. */
function unknownOf<T>(
  pages: readonly Page[],
  find: (page: Page) => T[],
  isKnown: (item: T, page: Page) => boolean,
) {
  return pages.flatMap((page) =>
    find(page)
      .filter((item) => !isKnown(item, page))
      .map((item) => `${page.name}: ${String(item)}`),
  );
}

test('links lead to files', (t) => {
  const broken = unknownOf(PAGES, findLinks, (link, page) =>
    existsSync(join(ROOT, 'docs', dirname(page.name), link)),
  );
  t.deepEqual(broken, []);
});

test('reference pages name paths that exist', (t) => {
  t.deepEqual(
    unknownOf(REFERENCE, findPaths, (path) => existsSync(join(ROOT, path.replace(/:\d+$/, '')))),
    [],
  );
});

test('the architecture page names own days that exist', (t) => {
  const architecture = REFERENCE.filter(({ name }) => name === 'ARCHITECTURE.md');
  t.true(architecture.flatMap(findOwnDays).length > 0);
  t.deepEqual(
    unknownOf(architecture, findOwnDays, (day) => existsSync(join(ROOT, 'deploy/days', `${day}.toml`))),
    [],
  );
});

test('reference pages name events that exist', async (t) => {
  const numbers = new Set((await collectEvents(join(ROOT, 'src'))).map((event) => event.number));
  t.deepEqual(
    unknownOf(REFERENCE, findEventNumbers, (number) => numbers.has(number)),
    [],
  );
});

test('reference pages name metrics that exist', (t) => {
  const recorded = JSON.stringify(readRecorded('operator-metrics'));
  const names = new Set([...recorded.matchAll(/"(sailquay_[a-z_]+)"/g)].map((match) => match[1]));
  t.true(names.size > 0);
  t.deepEqual(
    unknownOf(REFERENCE, findMetrics, (name) => names.has(name)),
    [],
  );
});

test('reference pages name commands and scripts that exist', (t) => {
  const { commands } = readRecorded('operator-command-line') as { commands: readonly RecordedCommand[] };
  const scripts = readRecorded('operator-package-scripts') as { scripts: readonly string[] };
  const isCommand = ([first, second]: string[]): boolean => {
    const found = commands.find(({ name }) => name === first);
    if (found === undefined) return false;
    return (
      found.commands.length === 0 ||
      second === undefined ||
      found.commands.some(({ name }) => name === second)
    );
  };
  t.deepEqual(unknownOf(REFERENCE, findCommands, isCommand), []);
  t.deepEqual(
    unknownOf(REFERENCE, findScripts, (name) => scripts.scripts.includes(name)),
    [],
  );
});
