/** Reads the reports recorded under a directory. */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import type { FaultFigures, OperatorCost, ProbeCost, ScaleReport } from './recorded-types.js';
import type { RecordedStep } from './capacity-model.js';

/** Every recorded scale report, put together. */
export interface RecordedData {
  readonly reports: readonly { readonly file: string; readonly report: ScaleReport }[];
  readonly steps: readonly RecordedStep[];
  readonly faults: readonly FaultFigures[];
  readonly probes: readonly ProbeCost[];
  readonly operator: readonly OperatorCost[];
}

/** Reads `scale*.json` of a directory in the order of their names. */
export function readRecordedData(directory: string): RecordedData {
  const files = readdirSync(directory)
    .filter((name) => /^scale.*\.json$/.test(name))
    .sort();
  const reports = files.map((file) => ({
    file,
    report: JSON.parse(readFileSync(join(directory, file), 'utf8')) as ScaleReport,
  }));
  return {
    reports,
    steps: reports.flatMap(({ report }) => report.steps),
    faults: reports.flatMap(({ report }) => report.faults),
    probes: reports.flatMap(({ report }) => report.probes),
    operator: reports.flatMap(({ report }) => report.operator),
  };
}
