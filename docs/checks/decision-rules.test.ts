/** Compares docs/DECISION-RULES.md with the code. */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { collectEvents } from '../../src/observability/event-catalogue.js';
import { readDecisionRules } from './decision-rules.js';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const RULES = readDecisionRules(readFileSync(join(ROOT, 'docs/DECISION-RULES.md'), 'utf8'));
const SOURCES = readdirSync(join(ROOT, 'src'), { recursive: true, encoding: 'utf8' }).filter((name) =>
  name.endsWith('.ts'),
);

test('each rule names modules that exist', (t) => {
  t.true(RULES.length > 20);
  for (const { name, modules } of RULES) {
    t.true(modules.length > 0, name);
    for (const path of modules) t.true(existsSync(join(ROOT, path)), `${name}: ${path}`);
  }
});

test('each rule names constants that exist', (t) => {
  const constants = new Set(
    SOURCES.flatMap((name) => {
      const text = readFileSync(join(ROOT, 'src', name), 'utf8');
      return [...text.matchAll(/\bconst ([A-Z][A-Z0-9_]+)\b/g)].map((match) => match[1]);
    }),
  );
  for (const rule of RULES) {
    for (const name of rule.constants) {
      const isKnown = name.includes('/') ? existsSync(join(ROOT, name)) : constants.has(name);
      t.true(isKnown, `${rule.name}: ${name}`);
    }
  }
});

test('each rule names events that exist', async (t) => {
  const numbers = new Set((await collectEvents(join(ROOT, 'src'))).map((event) => event.number));
  for (const { name, events } of RULES) {
    for (const number of events) t.true(numbers.has(number), `${name}: ${number}`);
  }
});

test('each module that is named a rule stands on the page', (t) => {
  const listed = RULES.flatMap(({ modules }) => modules);
  const rules = SOURCES.filter((name) => /-rules?\.ts$/.test(name)).map((name) => `src/${name}`);
  t.deepEqual(
    rules.filter((path) => !listed.includes(path)),
    [],
  );
});
