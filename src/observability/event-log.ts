/**
 * Writes numbered events to stderr through consola, as text lines or as JSON lines.
 *
 * Owns the count of each event within a window, beyond which further lines are left out and counted. Relies on the
 * definitions of events for numbers and levels.
 */
import { createConsola, type ConsolaInstance, type LogObject } from 'consola';
import type { Clock } from '../common/clock.js';
import { EVENT_BURST, EVENT_WINDOW_MS } from './constants.js';
import type { EventDefinition, EventFields, EventLevel, EventLog } from './event.js';

/** How events are written. */
export type LogFormat = 'text' | 'json';

/** Settings of a `ConsolaEventLog`. */
export interface EventLogOptions {
  readonly format: LogFormat;
  /** Least severe level that is written. */
  readonly level: EventLevel;
  readonly memberId: string;
  readonly clock: Clock;
  /** Lines of one event in `EVENT_WINDOW_MS`; `EVENT_BURST` unless given. */
  readonly burst?: number;
  /** Receives finished lines without the line end; default: stderr. */
  readonly write?: (line: string) => void;
}

/** consola's numbers for the levels. */
const CONSOLA_LEVELS: Readonly<Record<EventLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 };

/** One occurrence, as it is passed through consola. */
interface EventRecord {
  readonly event: EventDefinition;
  readonly fields: EventFields;
}

/** Occurrences of one event in the current window. */
interface Window {
  startedMs: number;
  written: number;
  suppressed: number;
}

/** The daemon's event log. A repeated event is written `burst` times a window; the rest are counted. */
export class ConsolaEventLog implements EventLog {
  private readonly consola: ConsolaInstance;
  private readonly windows = new Map<number, Window>();

  constructor(private readonly options: EventLogOptions) {
    const write = options.write ?? writeToStandardError;
    this.consola = createConsola({
      level: CONSOLA_LEVELS[options.level],
      throttle: 0,
      reporters: [{ log: (entry) => write(this.format(entry)) }],
    });
  }

  emit(event: EventDefinition, fields: EventFields = {}): void {
    const suppressed = this.admit(event);
    if (suppressed === undefined) return;
    const record: EventRecord = { event, fields: suppressed > 0 ? { ...fields, suppressed } : fields };
    this.consola[event.level](record);
  }

  /** Changes the least severe level written, e.g. after a reread of the configuration. */
  setLevel(level: EventLevel): void {
    this.consola.level = CONSOLA_LEVELS[level];
  }

  /** Occurrences left out since the last one written, or undefined when this one is left out too. */
  private admit(event: EventDefinition): number | undefined {
    const nowMs = this.options.clock.now();
    const window = this.windows.get(event.number);
    if (!window || nowMs - window.startedMs >= EVENT_WINDOW_MS) {
      this.windows.set(event.number, { startedMs: nowMs, written: 1, suppressed: 0 });
      return window?.suppressed ?? 0;
    }
    if (window.written >= (this.options.burst ?? EVENT_BURST)) {
      window.suppressed += 1;
      return undefined;
    }
    window.written += 1;
    return 0;
  }

  private format(entry: LogObject): string {
    const { event, fields } = entry.args[0] as EventRecord;
    const time = new Date(this.options.clock.wall()).toISOString();
    const member = this.options.memberId;
    if (this.options.format === 'json') {
      return JSON.stringify({
        time,
        level: event.level,
        event: event.number,
        member,
        message: event.message,
        ...fields,
      });
    }
    const head = `${time} ${event.level.toUpperCase().padEnd(5)} SQ${event.number} ${member} ${event.message}`;
    return [head, ...formatFields(fields)].join(' ');
  }
}

function formatFields(fields: EventFields): string[] {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${/[\s"]/.test(String(value)) ? JSON.stringify(value) : value}`);
}

function writeToStandardError(line: string): void {
  process.stderr.write(`${line}\n`);
}
