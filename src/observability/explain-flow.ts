/**
 * Finds in the log lines of all balancers what happened to one flow: its own lines, those about the back ends that
 * it was given to, and what the balancers that handled it went through meanwhile.
 *
 * Owns no state. Relies on the fields of log lines alone, so it works on the logs of daemons that are gone.
 */

/** One line of a balancer's log. */
export interface LogLine {
  /** ISO 8601. */
  readonly time: string;
  readonly event: number;
  readonly member: string;
  readonly message: string;
  readonly [field: string]: unknown;
}

/** Why a line belongs to the explanation. */
type LineRelation = 'flow' | 'backend' | 'balancer';

/** A line with its relation to the flow. */
interface RelatedLine {
  readonly relation: LineRelation;
  readonly line: LogLine;
}

/**
 * Lines about back ends and balancers count this long before the flow's first and after its last line, in ms. Above the
 * time in which a crash is noticed.
 */
const MARGIN_MS = 5_000;

/** Events about a balancer as a whole that may explain what became of its flows. */
const BALANCER_EVENTS: ReadonlySet<number> = new Set([
  1258, 2000, 2005, 2006, 2100, 2101, 2102, 2103, 2104, 2105, 2108, 2202, 2203,
]);

const FIRST_BRACE = /\{/;

/** Reads a line; whatever stands before the first brace is skipped. Undefined when it is no line of a log. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.search(FIRST_BRACE);
  if (start < 0) return undefined;
  try {
    const value = JSON.parse(text.slice(start)) as Partial<LogLine> | null;
    const complete = typeof value?.event === 'number' && typeof value.time === 'string';
    return complete && typeof value.member === 'string' ? (value as LogLine) : undefined;
  } catch {
    // A log may hold lines of other programs, and a last line that was cut off; the flow's own lines are looked for.
    return undefined;
  }
}

/**
 * The lines that explain a flow, oldest first; empty when nothing is known of it.
 *
 * @param flow `caller:port>service:port`, or only the part before `>`
 */
export function explainFlow(lines: readonly LogLine[], flow: string): RelatedLine[] {
  const own = lines.filter((line) => isFlow(line['flow'], flow));
  if (own.length === 0) return [];
  const backends = new Set(own.flatMap((line) => [line['backend'], line['before']]).filter(isText));
  const members = new Set(own.map(({ member }) => member));
  const times = own.map(({ time }) => Date.parse(time));
  const fromMs = Math.min(...times) - MARGIN_MS;
  const toMs = Math.max(...times) + MARGIN_MS;
  const related = lines.flatMap((line): RelatedLine[] => {
    if (isFlow(line['flow'], flow)) return [{ relation: 'flow', line }];
    const atMs = Date.parse(line.time);
    if (line['flow'] !== undefined || atMs < fromMs || atMs > toMs || !members.has(line.member)) return [];
    if (isText(line['backend']) && backends.has(line['backend'])) return [{ relation: 'backend', line }];
    return BALANCER_EVENTS.has(line.event) ? [{ relation: 'balancer', line }] : [];
  });
  return related.sort((left, right) => Date.parse(left.line.time) - Date.parse(right.line.time));
}

/** One line of text for people. */
export function formatRelatedLine({ relation, line }: RelatedLine): string {
  const { time, event, member, message, level: _level, flow: _flow, ...fields } = line;
  const details = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`);
  return [time, relation.padEnd(8), `SQ${event}`, member, `${message}.`, ...details].join(' ');
}

function isFlow(value: unknown, flow: string): boolean {
  return isText(value) && (value === flow || value.startsWith(`${flow}>`));
}

function isText(value: unknown): value is string {
  return typeof value === 'string';
}
