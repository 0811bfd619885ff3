/**
 * Load reports: which back ends get more calls than others of their service, by the call counts that they write to the
 * source. The readers of the source read the counts and gossip the busy back ends. Without reports, a daemon that
 * places one flow in a hundred would not see the load from the other daemons' flows. Owns the rates and the valid
 * reports; relies on `spreading` to gossip reports.
 */
export type * from './types.js';
export { MIN_DAEMONS_FOR_LOAD_REPORTS } from './constants.js';
export { LOAD_EVENTS } from './events.js';
export { LoadReader } from './load-reader.js';
export { LoadView, type LoadLevels } from './load-view.js';
