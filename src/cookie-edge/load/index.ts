/**
 * Load reports: which back ends get more calls than others, by their own counts. The few daemons that watch the source read the
 * counts and gossip the busy ones, so that a daemon that assigns one flow in a hundred also knows of the other flows.
 */
export type * from './types.js';
export { LOAD_MIN_DAEMONS } from './constants.js';
export { LOAD_EVENTS } from './events.js';
export { LoadReader } from './load-reader.js';
export { LoadView, type LoadLevels } from './load-view.js';
