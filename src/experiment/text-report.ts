/** The report of a run for people. */
import type { ExperimentDocument, ExperimentResult } from './document.js';
import { figureRows, formatFigure, formatTable } from './figures.js';

/** Writes a result as text: what happened, the figures (beside those of the baselines), the goals. */
export function textReport(result: ExperimentResult): string {
  const documents = [result, ...(result.baselines ?? [])];
  const sections = [
    headline(result),
    eventLines(result),
    formatTable(['figure', ...documents.map((document) => document.mode)], figureRows(documents)),
    goalLines(result),
    ...documents.flatMap(problemLines),
  ];
  return sections.filter(Boolean).join('\n\n') + '\n';
}

function headline(result: ExperimentDocument): string {
  return (
    `${result.scenario}: ${result.tree}, ${result.balancers} balancers, ${result.durationSeconds} s, ` +
    `seed ${result.seed}, placement ${result.mode}`
  );
}

function eventLines(result: ExperimentDocument): string {
  return result.events
    .map(
      (event) =>
        `${event.atSeconds.toFixed(1).padStart(6)} s  ${event.failed ? 'FAILED: ' : ''}${event.text}`,
    )
    .join('\n');
}

function goalLines(result: ExperimentDocument): string {
  const rows = result.goals.map((goal) => [
    goal.figure,
    goal.goal,
    formatFigure(goal.measured),
    goal.verdict,
  ]);
  return formatTable(['goal', 'wanted', 'measured', 'verdict'], rows);
}

function problemLines(document: ExperimentDocument): string[] {
  if (document.problems.length === 0) return [];
  return [
    `Problems of the ${document.mode} run:\n${document.problems.map((text) => `  ${text}`).join('\n')}`,
  ];
}
