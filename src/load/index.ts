/**
 * Which back ends get more calls than others, counted by the back ends themselves: read by the few daemons that read the source
 * and told to all, so that a daemon that places one flow in a hundred knows of the others.
 */
export type * from './types.js';
export { LOAD_MIN_DAEMONS } from './constants.js';
export { LOAD_EVENTS } from './events.js';
export { LoadReader, type LoadReaderOptions } from './load-reader.js';
export { LoadView, type LoadLevels } from './load-view.js';
