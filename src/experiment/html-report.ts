/** A self-contained HTML page of saved runs: tables and inline SVG, no scripts and no fetches, light and dark. */
import type { ExperimentDocument } from './document.js';
import { figureRows, formatFigure } from './figures.js';
import { drawPlots, runLabel } from './plots.js';

const STYLE = `
:root { color-scheme: light dark; --text: #1c2430; --page: #ffffff; --grid: #d5dae1; --pass: #1d7a3c; --fail: #b3261e; }
@media (prefers-color-scheme: dark) {
  :root { --text: #e4e8ee; --page: #14181f; --grid: #39424f; --pass: #6fcf8e; --fail: #ff8a80; }
}
body { color: var(--text); background: var(--page); font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 60rem; padding: 0 1rem; }
table { border-collapse: collapse; margin: 1rem 0; }
th, td { border-bottom: 1px solid var(--grid); padding: 0.2rem 0.8rem; text-align: right; }
th:first-child, td:first-child { text-align: left; }
.scroll { overflow-x: auto; }
figure { margin: 1.5rem 0; overflow-x: auto; }
figcaption { font-weight: 600; }
.pass { color: var(--pass); }
.fail { color: var(--fail); }
`;

/** Writes the page. */
export async function htmlReport(documents: readonly ExperimentDocument[]): Promise<string> {
  const plots = await drawPlots(documents);
  const figures = plots.map(
    (plot) => `<figure><figcaption>${escapeHtml(plot.title)}</figcaption>${plot.svg}</figure>`,
  );
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8"><title>sailquay experiments</title>',
    '<meta name="viewport" content="width=device-width, initial-scale=1">',
    `<style>${STYLE}</style></head><body><h1>sailquay experiments</h1>`,
    table(['figure', ...documents.map(runLabel)], figureRows(documents)),
    ...documents.map(goalTable),
    ...figures,
    '</body></html>',
    '',
  ].join('\n');
}

function goalTable(document: ExperimentDocument): string {
  const rows = document.goals.map(
    (goal) =>
      `<tr><td>${escapeHtml(goal.figure)}</td><td>${escapeHtml(goal.goal)}</td>` +
      `<td>${formatFigure(goal.measured)}</td><td class="${goal.verdict}">${goal.verdict}</td></tr>`,
  );
  const head = '<tr><th>goal</th><th>wanted</th><th>measured</th><th>verdict</th></tr>';
  return `<h2>Goals: ${escapeHtml(runLabel(document))}</h2><div class="scroll"><table>${head}${rows.join('')}</table></div>`;
}

function table(header: readonly string[], rows: readonly (readonly string[])[]): string {
  const head = `<tr>${header.map((cell) => `<th>${escapeHtml(cell)}</th>`).join('')}</tr>`;
  const body = rows.map((row) => `<tr>${row.map((cell) => `<td>${escapeHtml(cell)}</td>`).join('')}</tr>`);
  return `<div class="scroll"><table>${head}${body.join('')}</table></div>`;
}

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}
