/**
 * Keeps a persistent list of back ends (the roster) in the source's store. When all daemons start at once, they read
 * from it back ends whose records have lapsed. Owns the roster pages. Uses `routing` for the known back ends and the
 * deployment's `RosterStore` for storage.
 *
 * ```ts
 * const reader = new RosterReader({ clock, events, knowledge, settlement, store });
 * void reader.run(signal);
 * ```
 */
export type * from './types.js';
export { RosterReader } from './roster-reader.js';
export { RosterWriter } from './roster-writer.js';
