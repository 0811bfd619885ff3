/** Reads the tables of docs/DECISION-RULES.md: one rule a row. */

/** One row. */
export interface DecisionRule {
  readonly name: string;
  /** Paths from the repository's root. */
  readonly modules: readonly string[];
  /** Names of constants, and of files that hold them. */
  readonly constants: readonly string[];
  readonly events: readonly number[];
}

/** Columns of each table. */
const COLUMNS = 7;

/** The rules of a page. A row with another number of columns throws. */
export function readDecisionRules(text: string): DecisionRule[] {
  const rows = text.split('\n').filter((line) => line.startsWith('|'));
  return rows
    .map((row) => row.slice(1, -1).split('|'))
    .map((cells) => cells.map((cell) => cell.trim()))
    .filter(([first]) => first !== 'rule' && !/^[-: ]*$/.test(first ?? ''))
    .map(readRule);
}

function readRule(cells: readonly string[]): DecisionRule {
  if (cells.length !== COLUMNS) throw new Error(`A rule has ${cells.length} columns: ${cells.join(' | ')}`);
  const [name = '', modules = '', , constants = '', shownBy = ''] = cells;
  return {
    name,
    modules: codeIn(modules),
    constants: codeIn(constants),
    events: [...shownBy.matchAll(/\b(\d{4})\b/g)].map((match) => Number(match[1])),
  };
}

function codeIn(cell: string): string[] {
  return [...cell.matchAll(/`([^`]+)`/g)].map((match) => match[1] as string);
}
