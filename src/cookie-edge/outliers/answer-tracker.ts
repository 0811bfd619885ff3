/**
 * Tracks requests from their first packet to the caller's first acknowledgement of answer data. Back ends answer
 * callers directly (direct server return), so a daemon sees only the acknowledgements. Callers send them at once: the
 * time to an acknowledgement is the answer time plus network latency. The first one covers all bytes of a short answer.
 *
 * Reports each bad answer: one that is late for its route, as soon as it is late, and one much shorter than the route's
 * other answers, as error responses are. Owns the outstanding requests and each route's baseline; relies on forwarding
 * to report requests and acknowledgements.
 */
import { LatencyHistogram } from '../../observability/latency-histogram.js';
import { AnswerBaseline } from './answer-baseline.js';
import { MAX_OUTSTANDING_REQUESTS, MAX_TRACKED_ROUTES } from './constants.js';
import type { BadAnswer, OutstandingRequest } from './types.js';

/** Counters since start. */
interface AnswerStatistics {
  answered: number;
  /** Requests whose answer was late, whether it came in the end or not. */
  slow: number;
  /** Requests whose answer was unusually short. */
  short: number;
  /** Requests whose caller closed the flow before any answer arrived. */
  abandoned: number;
  /** Requests that were not tracked because `MAX_OUTSTANDING_REQUESTS` were outstanding. */
  untracked: number;
}

interface AnswerTrackerOptions {
  /** See `OutlierOptions`. */
  readonly slowFactor: number;
  /** Called once for each bad answer. */
  readonly onBadAnswer: (badAnswer: BadAnswer) => void;
}

/** Tracks the outstanding requests of one daemon and the baselines of their routes. Times are monotonic ms. */
export class AnswerTracker {
  readonly statistics: AnswerStatistics = { answered: 0, slow: 0, short: 0, abandoned: 0, untracked: 0 };
  /** Times from request to first acknowledgement, in ms. */
  readonly answerTimes = new LatencyHistogram();
  /** Requests that are neither answered nor reported as slow, the oldest first. */
  private readonly outstanding = new Set<OutstandingRequest>();
  private readonly baselines = new Map<number, AnswerBaseline>();

  constructor(private readonly options: AnswerTrackerOptions) {}

  /** Number of requests that are neither answered nor reported as slow. */
  get outstandingCount(): number {
    return this.outstanding.size;
  }

  /** Starts to track a request. Call it when the first packet of the request is forwarded. */
  startTracking(request: OutstandingRequest): void {
    if (this.outstanding.size < MAX_OUTSTANDING_REQUESTS) this.outstanding.add(request);
    else this.statistics.untracked += 1;
  }

  /** Records the first acknowledgement of answer data, which covers `bytes` of the answer. */
  recordAnswer(request: OutstandingRequest, bytes: number, nowMs: number): void {
    const durationMs = nowMs - request.sentAtMs;
    const baseline = this.getOrCreateBaseline(request.routeKey);
    const isSlow = baseline.isSlow(durationMs, this.options.slowFactor);
    const isShort = baseline.isShort(bytes);
    this.statistics.answered += 1;
    this.answerTimes.observe(durationMs);
    baseline.recordAnswer(durationMs, bytes);
    if (!this.outstanding.delete(request)) return;
    if (isShort) this.reportBadAnswer(request, 'short', nowMs);
    else if (isSlow) this.reportBadAnswer(request, 'slow', nowMs);
  }

  /**
   * Stops tracking a request whose caller closed the flow before any answer. This is no evidence against the back end.
   */
  recordAbandoned(request: OutstandingRequest): void {
    if (this.outstanding.delete(request)) this.statistics.abandoned += 1;
  }

  /** Reports outstanding requests whose answer is overdue. Call it periodically. */
  reportOverdueRequests(nowMs: number): void {
    const { slowFactor } = this.options;
    for (const request of this.outstanding) {
      const baseline = this.baselines.get(request.routeKey);
      if (!baseline?.isSlow(nowMs - request.sentAtMs, slowFactor)) continue;
      this.outstanding.delete(request);
      this.reportBadAnswer(request, 'slow', nowMs);
    }
  }

  /** Stops tracking all requests. Call it after a pause of this process, which makes their durations unknown. */
  stopTrackingAll(): void {
    this.outstanding.clear();
  }

  private reportBadAnswer(
    { backendId, service }: OutstandingRequest,
    reason: 'slow' | 'short',
    nowMs: number,
  ): void {
    this.statistics[reason] += 1;
    this.options.onBadAnswer({ backendId, service, atMs: nowMs });
  }

  private getOrCreateBaseline(routeKey: number): AnswerBaseline {
    let baseline = this.baselines.get(routeKey);
    if (baseline) return baseline;
    if (this.baselines.size >= MAX_TRACKED_ROUTES) this.evictOldestRoute();
    baseline = new AnswerBaseline();
    this.baselines.set(routeKey, baseline);
    return baseline;
  }

  private evictOldestRoute(): void {
    for (const oldest of this.baselines.keys()) {
      this.baselines.delete(oldest);
      return;
    }
  }
}
