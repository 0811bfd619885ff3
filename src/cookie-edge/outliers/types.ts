/** Requests, bad answers, and the reports of bad answers that daemons gossip. */

/** A request of which a packet was forwarded and no answer has been acknowledged yet. */
export interface OutstandingRequest {
  readonly backendId: string;
  /** Service of that back end. */
  readonly service: string;
  /** Names the service address that the caller used; requests of one address are alike. */
  readonly routeKey: number;
  /** Monotonic ms at which its first packet was forwarded. */
  readonly sentAtMs: number;
}

/** An answer that was late or has not come yet, or that was unusually short. */
export interface BadAnswer {
  readonly backendId: string;
  readonly service: string;
  /** Monotonic ms at which that was noticed. */
  readonly atMs: number;
}

/** A bad answer as daemons gossip it. */
export interface BadAnswerReport {
  readonly backendId: string;
  /** Names the daemon that noticed it: the hash of its id. */
  readonly observer: number;
  /** Monotonic ms at which it was noticed. */
  readonly atMs: number;
}

/** Limits of the decisions; see `DEFAULT_OUTLIER_OPTIONS` for why. */
export interface OutlierOptions {
  /** An answer that takes this many times the usual time of its route is slow. */
  readonly slowFactor: number;
  /** Bad answers, each noticed by another daemon or by this one, that make a back end an outlier. */
  readonly quorum: number;
  /** Largest share of a service's back ends that get no new flows at once. */
  readonly maxAvoidedShare: number;
}

/**
 * Phase of a back end. `avoided`: an outlier without new flows. `trial`: an outlier trial, in which it gets a few
 * flows.
 */
export type OutlierPhase = 'normal' | 'avoided' | 'trial';
