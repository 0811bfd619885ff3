/** Finds and reads scenario files: the named ones in `scenarios/` and any other by path. */
import { readdirSync, readFileSync } from 'node:fs';
import { basename, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import Result from 'true-myth/result';
import { parse, YAMLParseError } from 'yaml';
import { ExperimentError } from './errors.js';
import { checkScenario, type Scenario } from './scenario.js';

const FILE_SUFFIX = '.yaml';
/** Directory of the named scenarios, beside `src/` and `dist/`. */
const SCENARIO_DIRECTORY = fileURLToPath(new URL('../../scenarios/', import.meta.url));

/** Names of the shipped scenarios, sorted. */
export function scenarioNames(directory = SCENARIO_DIRECTORY): readonly string[] {
  return readdirSync(directory)
    .filter((name) => name.endsWith(FILE_SUFFIX))
    .map((name) => basename(name, FILE_SUFFIX))
    .sort();
}

/** Reads a scenario by its name or by the path of a file. */
export function loadScenario(nameOrFile: string): Result<Scenario, ExperimentError> {
  const named = scenarioNames().includes(nameOrFile);
  const path = named ? join(SCENARIO_DIRECTORY, nameOrFile + FILE_SUFFIX) : nameOrFile;
  return readText(path, nameOrFile).andThen((text) => parseScenario(text, path));
}

/** Reads a scenario from YAML text; the error lists every fault. */
export function parseScenario(text: string, source: string): Result<Scenario, ExperimentError> {
  let document: unknown;
  try {
    document = parse(text);
  } catch (error) {
    if (!(error instanceof YAMLParseError)) throw error;
    return invalid(source, error.message);
  }
  const check = checkScenario(document);
  if (check.valid) return Result.ok(check.scenario);
  return invalid(
    source,
    check.faults.map((fault) => `${fault.path || 'document'}: ${fault.message}`).join('; '),
  );
}

function readText(path: string, nameOrFile: string): Result<string, ExperimentError> {
  try {
    return Result.ok(readFileSync(path, 'utf8'));
  } catch (error) {
    return Result.err(
      new ExperimentError(
        'experiment.unknown-scenario',
        `"${nameOrFile}" is neither a named scenario nor a readable file`,
        'List the named scenarios with `sailquay experiment list`',
        { cause: error },
      ),
    );
  }
}

function invalid<T>(source: string, faults: string): Result<T, ExperimentError> {
  return Result.err(
    new ExperimentError(
      'experiment.invalid-scenario',
      `${source}: ${faults}`,
      'Correct the fields and try again',
    ),
  );
}
