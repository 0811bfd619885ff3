/** Durations and limits of outlier detection. */
import type { OutlierOptions } from './types.js';

/**
 * An answer is slow from this multiple of its route's median time. With log-normally distributed answer times
 * (sigma 0.5), 1 of 360 answers is that late by chance. At a back end that became five times slower, two thirds are.
 */
const SLOW_FACTOR = 4;

/**
 * Bad answers that make a back end an outlier. One or two may be chance: at 790 requests a second to 84 back ends, each
 * back end gives 0.08 slow answers in `REPORT_VALID_MS` by chance. Three coincide at some back end every two or three
 * minutes. That back end is avoided for seconds without need, which costs callers nothing.
 */
const QUORUM = 3;

/**
 * Largest share of a service's back ends that is avoided at once. Without a third of its back ends, the utilization of
 * a service rises from one half to three quarters. If more back ends are slow, the service as a whole is probably
 * overloaded, and avoiding some of them would make the others slower.
 */
const MAX_AVOIDED_SHARE = 1 / 3;

export const DEFAULT_OUTLIER_OPTIONS: OutlierOptions = {
  slowFactor: SLOW_FACTOR,
  quorum: QUORUM,
  maxAvoidedShare: MAX_AVOIDED_SHARE,
};

/** Lifetime of a report in ms. At 790 requests a second to 84 back ends, each back end gets about 28 in this time. */
export const REPORT_VALID_MS = 3_000;

/** Reports stored per back end. One above `QUORUM`; more would be gossiped without changing any decision. */
export const MAX_REPORTS_PER_BACKEND = 4;

/**
 * A back end is an outlier only if it has at least this multiple of the mean number of reports per back end of its
 * service. If a third of the back ends have `MAX_REPORTS_PER_BACKEND` reports and the others none, that third has 3
 * times the mean, so outliers of up to a third of a service are detected.
 */
export const MIN_MULTIPLE_OF_MEAN = 3;

/**
 * If one daemon reports more than this share of a service's back ends within `REPORT_VALID_MS`, its reports do not
 * count: the daemon or its links are at fault. Greater than `MAX_AVOIDED_SHARE`.
 */
export const MAX_REPORTED_BACKEND_SHARE = 0.4;

/**
 * Time in ms after its start in which a daemon ignores the bad answers that it observes itself. While several daemons
 * start, routers keep moving flows between them. A request then looks unanswered to one daemon if its answer is
 * acknowledged through another. Without this grace period, 26 of 77 back ends were avoided without a reason after all
 * 32 daemons had lost power.
 */
export const STARTUP_GRACE_MS = 4_000;

/** Fewest back ends that a service needs for outlier detection. 2 + 1: with two, it is unknown which one differs. */
export const MIN_BACKENDS_PER_SERVICE = 3;

/**
 * Shortest avoidance in ms. Each relapse doubles the avoidance, because a trial of a back end that is still slow makes
 * some requests late. Bad answers on flows that callers keep open to the back end extend it.
 */
export const MIN_AVOIDANCE_MS = 2_000;

/** Longest avoidance in ms, from the last bad answer that started or extended it. */
export const MAX_AVOIDANCE_MS = 8_000;

/**
 * Reports on an avoided back end are counted and gossiped only in this last part of its avoidance, in ms. Without this
 * limit, a day of 172 daemons with 32 bad back ends took 160 s of processor time instead of 114 s.
 */
export const AVOIDANCE_RENEWAL_WINDOW_MS = 1_000;

/** Length of an outlier trial in ms; one bad answer ends it. */
export const OUTLIER_TRIAL_MS = 2_000;

/** A back end in an outlier trial may get one in this many of the flows for which it is a candidate. */
export const OUTLIER_TRIAL_FLOW_DIVISOR = 8;

/** Without a relapse for this long after an outlier trial, in ms, the next avoidance has the shortest length again. */
export const AVOIDANCE_RESET_MS = 10_000;

/**
 * With each answer, the estimate of a route's median time moves by this share towards the time of the answer. 1.03^24
 * is 2, so the estimate follows a doubling of all times within 24 answers. One slow back end in five does not shift it.
 */
export const MEDIAN_STEP = 0.03;

/** For about this many first answers, the median estimate moves in larger steps to correct an atypical first answer. */
export const MEDIAN_WARMUP_ANSWERS = 8;

/** Answers of a route before any of them counts as slow. Twice `MEDIAN_WARMUP_ANSWERS`. */
export const MIN_ANSWERS_FOR_MEDIAN = 16;

/** No answer faster than this, in ms, is slow. A lost and retransmitted packet delays an answer by 200 ms. */
export const MIN_SLOW_MS = 100;

/** Answers of a route before any of them counts as short. The shortest of this many is close to the shortest of all. */
export const MIN_ANSWERS_FOR_LENGTH = 64;

/**
 * An answer is short below this share of the minimum usual length of its route. Error responses have about half of the
 * bytes of the shortest usual answers.
 */
export const SHORT_ANSWER_SHARE = 0.6;

/**
 * Share by which the minimum usual length rises with each usual answer. One unusually short answer therefore affects
 * the minimum for about 1 / 0.001, a thousand, answers.
 */
export const USUAL_LENGTH_RISE = 0.001;

/**
 * Share by which the minimum usual length falls with each short answer. Short answers therefore count as usual for the
 * route after some 300 of them (1 / 0.003).
 */
export const USUAL_LENGTH_FALL = 0.003;

/** Routes whose baseline is kept; beyond that, the oldest is evicted. Bounds memory. */
export const MAX_TRACKED_ROUTES = 4_096;

/** Outstanding requests that are tracked at once; further requests are not tracked. Bounds memory. */
export const MAX_OUTSTANDING_REQUESTS = 16_384;
