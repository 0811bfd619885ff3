/** The part of `most` that the daemon's event streams need; its operators would triple the time of loading it. */
export { default as Stream } from 'most/src/Stream.js';
export { default as defaultScheduler } from 'most/src/scheduler/defaultScheduler.js';
