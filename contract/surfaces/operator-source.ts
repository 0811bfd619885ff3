/** Reads the production source with the TypeScript compiler, for names that no value of the running code shows. */
import { fileURLToPath } from 'node:url';
import ts from 'typescript';

/** Root of the checkout. */
export const ROOT_DIRECTORY = fileURLToPath(new URL('../../', import.meta.url));

let cached: ts.Program | undefined;

/** The program of `src`, `platform` and this folder, without tests; it is built once. */
export function sourceProgram(): ts.Program {
  cached ??= buildProgram();
  return cached;
}

function buildProgram(): ts.Program {
  const path = `${ROOT_DIRECTORY}tsconfig.platform.json`;
  const { config } = ts.readConfigFile(path, (name) => ts.sys.readFile(name));
  const { fileNames, options } = ts.parseJsonConfigFileContent(config, ts.sys, ROOT_DIRECTORY);
  const program = ts.createProgram(
    fileNames.filter((name) => !/\.test\.ts$/.test(name)),
    options,
  );
  // Making the checker sets the parents of nodes.
  program.getTypeChecker();
  return program;
}

/** Source files of the product and its platform parts, sorted by path. */
export function productionFiles(): ts.SourceFile[] {
  return sourceProgram()
    .getSourceFiles()
    .filter(
      ({ fileName, isDeclarationFile }) =>
        !isDeclarationFile && !/\/(node_modules|contract)\//.test(fileName),
    )
    .sort((left, right) => (left.fileName < right.fileName ? -1 : 1));
}

/** Calls `visit` for each node below `node` and for itself. */
export function walk(node: ts.Node, visit: (node: ts.Node) => void): void {
  visit(node);
  ts.forEachChild(node, (child) => walk(child, visit));
}

/** Type of a type alias that a file of this folder exports; the alias names the product's type. */
export function aliasedType(moduleUrl: string, alias: string): ts.Type {
  const program = sourceProgram();
  const file = program.getSourceFile(fileURLToPath(moduleUrl));
  const found = file?.statements.find(
    (statement): statement is ts.TypeAliasDeclaration =>
      ts.isTypeAliasDeclaration(statement) && statement.name.text === alias,
  );
  if (found === undefined) throw new Error(`There is no type alias ${alias}`);
  return program.getTypeChecker().getTypeAtLocation(found.name);
}
