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
    brokenLines(result),
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

/** Broken flows counted by second and reason, so that their cause can be looked for. */
function brokenLines(result: ExperimentDocument): string {
  const counts = new Map<string, number>();
  for (const flow of result.brokenFlows) {
    const key = `${Math.floor(flow.atSeconds)} s: ${flow.reason}, ${flow.service}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  if (counts.size === 0) return '';
  const lines = [...counts].map(([key, count]) => `  ${key}: ${count}`);
  return `First broken flows (${result.brokenFlows.length} of ${result.flows.broken}):\n${lines.join('\n')}`;
}

function problemLines(document: ExperimentDocument): string[] {
  if (document.problems.length === 0) return [];
  return [
    `Problems of the ${document.mode} run:\n${document.problems.map((text) => `  ${text}`).join('\n')}`,
  ];
}
