/**
 * Outlier detection: back ends that accept connections but answer unusually late, not at all, or with errors get no new
 * flows. `backend-health` covers back ends that cannot be reached. Owns the outstanding requests and the reports;
 * relies on forwarding to report requests and acknowledgements, and on `spreading` to gossip reports.
 *
 * ```ts
 * const lookups = { serviceOf, countBackends };
 * const options = { ...DEFAULT_OUTLIER_OPTIONS, ownObserverId, events, ...lookups, onReport };
 * const detector = new OutlierDetector(options, clock.now());
 * const onBadAnswer = (badAnswer: BadAnswer) => detector.recordOwnBadAnswer(badAnswer);
 * const tracker = new AnswerTracker({ slowFactor, onBadAnswer });
 * ```
 */
export type * from './types.js';
export { AnswerTracker } from './answer-tracker.js';
export { DEFAULT_OUTLIER_OPTIONS } from './constants.js';
export { OUTLIER_EVENTS } from './events.js';
export { OutlierDetector } from './outlier-detector.js';
