/**
 * Numbered log events. Each slice declares its own in `events.ts` with `defineEvents`; docs/EVENTS.md lists all of
 * them and a test compares the page with the code.
 *
 * Owns the ranges of numbers by folder. Relies on each folder staying within its own, which a test checks.
 */

/** Severity of an event. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** Event numbers of one slice. */
interface EventRange {
  readonly first: number;
  readonly last: number;
}

/** Event numbers of each slice, by its folder under `src/`. */
export const EVENT_RANGES: Readonly<Record<string, EventRange>> = {
  'gue-edge/daemon': { first: 1000, last: 1099 },
  fabric: { first: 1100, last: 1199 },
  'gue-edge/flow': { first: 1200, last: 1249 },
  'cookie-edge/forwarding': { first: 1250, last: 1299 },
  'gue-edge/placement': { first: 1300, last: 1399 },
  'gue-edge/membership': { first: 1400, last: 1499 },
  'gue-edge/dissemination': { first: 1500, last: 1599 },
  settings: { first: 1600, last: 1699 },
  store: { first: 1700, last: 1799 },
  'gue-edge/control': { first: 1800, last: 1899 },
  'gue-edge/health': { first: 1900, last: 1999 },
  'cookie-edge/routing': { first: 2000, last: 2099 },
  'cookie-edge/daemon': { first: 2100, last: 2199 },
  'cookie-edge/spreading': { first: 2200, last: 2299 },
  'cookie-edge/load': { first: 2300, last: 2399 },
  'cookie-edge/outliers': { first: 2400, last: 2499 },
  'cookie-edge/roster': { first: 2500, last: 2599 },
};

/** A declared event. */
export interface EventDefinition {
  /** Unique number within its slice's range. */
  readonly number: number;
  readonly level: EventLevel;
  /** What happened, one sentence without the fields. */
  readonly message: string;
  /** What an operator should do; "none" when nothing. */
  readonly action: string;
}

/** Fields of one occurrence; values are written as they are in JSON logs and as `key=value` in text logs. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Where slices write their events. */
export interface EventLog {
  emit(event: EventDefinition, fields?: EventFields): void;
}

/** Declares a slice's events; keeps the literal names for typed access. */
export function defineEvents<T extends Record<string, EventDefinition>>(events: T): T {
  return events;
}

/** An event log that forgets everything, for tests. */
export const SILENT_EVENT_LOG: EventLog = { emit: () => undefined };
