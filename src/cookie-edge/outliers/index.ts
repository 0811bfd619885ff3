/**
 * Outlier detection: back ends that answer unusually late, not at all, or with errors, although connections to them
 * open, get no new flows. Owns the outstanding requests and the reports; relies on forwarding to report requests and
 * acknowledgements, and on `spreading` to gossip reports. Covers slow, hanging, mute and failing back ends;
 * `backend-health` covers those that cannot be reached.
 *
 * ```ts
 * const lookups = { serviceOf, countBackends };
 * const options = { ...DEFAULT_OUTLIER_OPTIONS, self, events, ...lookups, onReport };
 * const detector = new OutlierDetector(options, clock.now());
 * const tracker = new AnswerTracker({ slowFactor, onBadAnswer: (badAnswer) => detector.recordOwn(badAnswer) });
 * ```
 */
export type * from './types.js';
export { AnswerTracker } from './answer-tracker.js';
export { DEFAULT_OUTLIER_OPTIONS } from './constants.js';
export { OUTLIER_EVENTS } from './events.js';
export { OutlierDetector } from './outlier-detector.js';
