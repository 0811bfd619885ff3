/** What scripts around the product name: environment variables, programs of the platform folder, npm scripts. */
import ts from 'typescript';
import { readFileSync } from 'node:fs';
import { productionFiles, ROOT_DIRECTORY, sourceProgram, walk } from './operator-source.js';

/** Environment variables that production code reads, sorted. */
export async function environmentVariables(): Promise<unknown> {
  const names = new Set<string>();
  for (const file of productionFiles()) walk(file, (node) => noteVariable(node, names));
  return [...names].sort();
}

function noteVariable(node: ts.Node, names: Set<string>): void {
  if (!ts.isPropertyAccessExpression(node) && !ts.isElementAccessExpression(node)) return;
  if (node.expression.getText() !== 'process.env') return;
  if (ts.isPropertyAccessExpression(node)) {
    names.add(node.name.text);
    return;
  }
  const type = sourceProgram().getTypeChecker().getTypeAtLocation(node.argumentExpression);
  names.add(type.isStringLiteral() ? type.value : '*');
}

/** The product's own program is walked elsewhere. */
const PRODUCT = 'sailquay';
const DECLARING = new Set(['option', 'requiredOption', 'argument']);

/** Options and arguments of the programs that run on import, by program, as their source declares them. */
export async function platformPrograms(): Promise<unknown> {
  const programs: Record<string, string[]> = {};
  for (const file of productionFiles()) {
    const [name, declared] = programOf(file);
    if (name !== undefined && name !== PRODUCT) programs[name] = declared;
  }
  return Object.fromEntries(Object.entries(programs).sort(([left], [right]) => (left < right ? -1 : 1)));
}

function programOf(file: ts.SourceFile): [string | undefined, string[]] {
  let name: string | undefined;
  const declared: string[] = [];
  walk(file, (node) => {
    const first = ts.isCallExpression(node) || ts.isNewExpression(node) ? node.arguments?.[0] : undefined;
    if (first === undefined || !ts.isStringLiteral(first)) return;
    if (ts.isNewExpression(node) && node.expression.getText() === 'Command') name = first.text;
    if (!ts.isCallExpression(node) || !ts.isPropertyAccessExpression(node.expression)) return;
    const method = node.expression.name.text;
    if (!DECLARING.has(method)) return;
    const last = node.arguments.length > 2 ? ` = ${node.arguments.at(-1)?.getText()}` : '';
    declared.push(`${method} ${first.text}${last}`);
  });
  return [name, declared.sort()];
}

/** Names of the npm scripts, and the commands that the README shows. */
export async function packageScripts(): Promise<unknown> {
  const { scripts, bin } = JSON.parse(readFileSync(`${ROOT_DIRECTORY}package.json`, 'utf8')) as {
    scripts: Record<string, string>;
    bin: Record<string, string>;
  };
  const readme = readFileSync(`${ROOT_DIRECTORY}README.md`, 'utf8').split('\n');
  return {
    scripts: Object.keys(scripts).sort(),
    programs: bin,
    readmeCommands: readme.filter((line) => /^\s*(\$ )?(npm|npx|node|sailquay) /.test(line)),
  };
}
