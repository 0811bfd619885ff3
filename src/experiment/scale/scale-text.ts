/** The scale report as text tables. */
import type { ScaleReport } from './types.js';

const COLUMNS = [
  'members',
  'backends',
  'flowsPerDaemon',
  'openingsPerSecond',
  'changesPerSecond',
  'bytesOutPerSecond',
  'cpuFraction',
  'residentMegabytes',
  'secondsToEverywhereMax',
  'storeReaders',
  'falseSuspicions',
] as const;

/** Steps and faults, a line each. */
export function scaleText(report: ScaleReport): string {
  const header = ['dimensions', ...COLUMNS].join('  ');
  const steps = report.steps.map((step) =>
    [
      step.dimensions.join(','),
      ...COLUMNS.map((column) => String(step[column] ?? '-').padEnd(column.length)),
    ].join('  '),
  );
  const faults = report.faults.map(
    (fault) =>
      `${fault.fault}: ${fault.failed} of ${fault.members}; detected by half ${fault.secondsToHalfDetected ?? '-'} s, ` +
      `by all ${fault.secondsToAllDetected ?? '-'} s; recovered ${fault.secondsToRecovered ?? '-'} s; ` +
      `falsely suspected ${fault.falselySuspected}; hand-over ${Math.round(fault.handoverBytesPerFailed)} B each; ` +
      `caught up ${fault.secondsToCatchUp ?? '-'} s`,
  );
  const notRun = report.notRun.map((line) => `not run: ${line}`);
  const peaks = `peak: ${report.peakProcesses} processes, ${report.peakResidentMegabytes} MB resident in hosts`;
  return `${[header, ...steps, '', ...faults, ...notRun, peaks].join('\n')}\n`;
}
