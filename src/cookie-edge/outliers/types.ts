/** Requests, bad answers, and the reports of bad answers that daemons gossip. */

/** A request of which at least one packet was forwarded, and whose answer has not been acknowledged even in part. */
export interface OutstandingRequest {
  readonly backendId: string;
  /** Service of that back end. */
  readonly service: string;
  /** Identifies the service address that the caller used. Requests to one address are expected to be alike. */
  readonly routeKey: number;
  /** Monotonic ms at which its first packet was forwarded. */
  readonly sentAtMs: number;
}

/** An answer that was late, is overdue, or was unusually short. */
export interface BadAnswer {
  readonly backendId: string;
  readonly service: string;
  /** Monotonic ms at which this daemon detected it. */
  readonly atMs: number;
}

/** A bad answer as daemons gossip it. */
export interface BadAnswerReport {
  readonly backendId: string;
  /** Hash of the id of the daemon that detected the bad answer. */
  readonly observer: number;
  /** Monotonic ms at which that daemon detected it. */
  readonly atMs: number;
}

/** Limits of outlier detection; see `DEFAULT_OUTLIER_OPTIONS` for the reasons. */
export interface OutlierOptions {
  /** An answer is slow if it takes at least this multiple of the median time of its route. */
  readonly slowFactor: number;
  /** Reports that make a back end an outlier. One of each other daemon counts, but each report of this daemon. */
  readonly quorum: number;
  /** Largest share of a service's back ends that is avoided at once. */
  readonly maxAvoidedShare: number;
}

/**
 * Phase of a back end. `avoided`: an outlier without new flows. `trial`: an outlier trial, in which it gets a few
 * flows.
 */
export type OutlierPhase = 'normal' | 'avoided' | 'trial';
