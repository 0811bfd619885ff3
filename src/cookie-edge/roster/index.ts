/**
 * Keeps which back ends there are in the source's store, so that daemons which all start at once know them although
 * their records have lapsed. Owns the pages of the roster. Relies on `routing` for what is known and on the
 * deployment's `RosterStore`.
 *
 * ```ts
 * const reader = new RosterReader({ clock, events, knowledge, settlement, store });
 * void reader.run(signal);
 * ```
 */
export type * from './types.js';
export { RosterReader } from './roster-reader.js';
export { RosterWriter } from './roster-writer.js';
