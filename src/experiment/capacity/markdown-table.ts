/** Markdown tables and numbers. */

/** A table with a header row. */
export function markdownTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
  const lines = [header, header.map(() => '---'), ...rows];
  return lines.map((cells) => `| ${cells.join(' | ')} |`).join('\n');
}

/** A number with thousands separators and a fixed number of digits. */
export function formatNumber(value: number, digits: number): string {
  return value.toLocaleString('en-US', { minimumFractionDigits: digits, maximumFractionDigits: digits });
}
