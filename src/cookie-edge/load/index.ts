/**
 * Load reports: which back ends get more calls than others, by their own counts. The readers of the source read the
 * counts and gossip the busy back ends, so that a daemon that places one flow in a hundred also knows of the other
 * flows. Owns the rates and the reports in use; relies on `spreading` to gossip reports.
 */
export type * from './types.js';
export { LOAD_MIN_DAEMONS } from './constants.js';
export { LOAD_EVENTS } from './events.js';
export { LoadReader } from './load-reader.js';
export { LoadView, type LoadLevels } from './load-view.js';
