/** Numbered log events: number, level and the names of the fields that they are logged with. */
import { collectEvents } from '../../src/observability/event-catalogue.js';
import { ConsolaEventLog, type LogFormat } from '../../src/observability/event-log.js';
import { scanEmits } from './operator-emits.js';
import { ROOT_DIRECTORY } from './operator-source.js';

/** Each declared event; texts are left out, since they may be reworded. */
export async function events(): Promise<unknown> {
  const fields = scanEmits();
  const declared = await collectEvents(`${ROOT_DIRECTORY}src`);
  return declared.map(({ number, level }) => ({
    number,
    level,
    fields: [...(fields.get(number) ?? [])].sort(),
  }));
}

const EVENT = { number: 1, level: 'warn', message: 'Message', action: 'none' } as const;
const FIELDS = { text: 'two words', plain: 'word', number: 1, flag: true, missing: undefined };
/** Time at which the second window of a repeated event begins for sure. */
const LATER_MS = 3_600_000;

function linesIn(format: LogFormat): string[] {
  const lines: string[] = [];
  let nowMs = 0;
  const clock = { now: () => nowMs, wall: () => nowMs, schedule: () => ({ cancel: () => undefined }) };
  const write = (line: string): void => void lines.push(line);
  const log = new ConsolaEventLog({ format, level: 'info', memberId: 'balancer-1', clock, burst: 1, write });
  log.emit(EVENT, FIELDS);
  log.emit(EVENT, FIELDS);
  log.emit({ ...EVENT, number: 2, level: 'debug' });
  nowMs = LATER_MS;
  log.emit(EVENT);
  return lines;
}

/** Lines of the log in both formats: one with fields, one that counts what was left out. */
export async function logLines(): Promise<unknown> {
  return { text: linesIn('text'), json: linesIn('json') };
}
