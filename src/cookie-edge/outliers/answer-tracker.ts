/**
 * Follows requests from their first packet to the caller's first acknowledgement of answer data. Answers go from back
 * ends to callers directly, but callers acknowledge them through a daemon at once: the two times differ by the network
 * alone, and the first acknowledgement covers all bytes of a short answer. Reports each bad answer: one that is late
 * for its route, as soon as it is late, and one much shorter than the route's other answers, as errors are. Owns the
 * outstanding requests and each route's baseline; relies on forwarding to report requests and acknowledgements.
 */
import { LatencyHistogram } from '../../observability/latency-histogram.js';
import { AnswerBaseline } from './answer-baseline.js';
import { MAX_OUTSTANDING, MAX_ROUTES } from './constants.js';
import type { BadAnswer, OutstandingRequest } from './types.js';

/** Counters since start. */
interface AnswerStatistics {
  answered: number;
  /** Requests that were late, whether they were answered in the end or not. */
  slow: number;
  /** Requests whose answer was unusually short. */
  short: number;
  /** Requests whose caller closed the flow before any answer. */
  abandoned: number;
  /** Requests that were not followed, because too many were outstanding. */
  untracked: number;
}

/** What a tracker needs. */
interface AnswerTrackerOptions {
  /** See `OutlierOptions`. */
  readonly slowFactor: number;
  /** Called with each bad answer, once. */
  readonly onBadAnswer: (bad: BadAnswer) => void;
}

/** Requests of one daemon that are outstanding, and the usual answers of their routes. Times are monotonic ms. */
export class AnswerTracker {
  readonly statistics: AnswerStatistics = { answered: 0, slow: 0, short: 0, abandoned: 0, untracked: 0 };
  readonly times = new LatencyHistogram();
  /** Requests that are neither answered nor slow yet, the oldest first. */
  private readonly outstanding = new Set<OutstandingRequest>();
  private readonly baselines = new Map<number, AnswerBaseline>();

  constructor(private readonly options: AnswerTrackerOptions) {}

  /** Requests that are outstanding and not slow yet. */
  get outstandingCount(): number {
    return this.outstanding.size;
  }

  /** Follows a request whose first packet is forwarded now. */
  begin(request: OutstandingRequest): void {
    if (this.outstanding.size < MAX_OUTSTANDING) this.outstanding.add(request);
    else this.statistics.untracked += 1;
  }

  /** Records that the first `bytes` of the answer to a request were acknowledged. */
  recordAnswer(request: OutstandingRequest, bytes: number, nowMs: number): void {
    const tookMs = nowMs - request.sentAtMs;
    const baseline = this.baselineOf(request.routeKey);
    const isSlow = baseline.isSlow(tookMs, this.options.slowFactor);
    const isShort = baseline.isShort(bytes);
    this.statistics.answered += 1;
    this.times.observe(tookMs);
    baseline.record(tookMs, bytes);
    if (!this.outstanding.delete(request)) return;
    if (isShort) this.report(request, 'short', nowMs);
    else if (isSlow) this.report(request, 'slow', nowMs);
  }

  /**
   * Records that the caller closed the flow of a request before any answer, which is no evidence against the back end.
   */
  abandon(request: OutstandingRequest): void {
    if (this.outstanding.delete(request)) this.statistics.abandoned += 1;
  }

  /** Reports requests that have become slow. */
  check(nowMs: number): void {
    const { slowFactor } = this.options;
    for (const request of this.outstanding) {
      const baseline = this.baselines.get(request.routeKey);
      if (!baseline?.isSlow(nowMs - request.sentAtMs, slowFactor)) continue;
      this.outstanding.delete(request);
      this.report(request, 'slow', nowMs);
    }
  }

  /** Stops following all requests: after a pause of this process it is not known how long they took. */
  clear(): void {
    this.outstanding.clear();
  }

  private report({ backendId, service }: OutstandingRequest, fault: 'slow' | 'short', nowMs: number): void {
    this.statistics[fault] += 1;
    this.options.onBadAnswer({ backendId, service, atMs: nowMs });
  }

  private baselineOf(routeKey: number): AnswerBaseline {
    let baseline = this.baselines.get(routeKey);
    if (baseline) return baseline;
    if (this.baselines.size >= MAX_ROUTES) this.forgetOldestRoute();
    baseline = new AnswerBaseline();
    this.baselines.set(routeKey, baseline);
    return baseline;
  }

  private forgetOldestRoute(): void {
    for (const oldest of this.baselines.keys()) {
      this.baselines.delete(oldest);
      return;
    }
  }
}
