/** What is believed of each back end, as placement, status and the admin pages see it. */

/** Why a back end may or may not get new flows. */
export type BackendCondition = 'healthy' | 'unhealthy' | 'ejected' | 'draining' | 'unknown';

/** One thing that was seen, for explanation. */
export interface HealthEvidence {
  readonly source: 'probe' | 'passive' | 'reported-load' | 'peer' | 'settings';
  readonly text: string;
  /** Monotonic ms when it was seen. */
  readonly atMs: number;
}

/** The belief about one back end. */
export interface BackendHealth {
  readonly backendId: number;
  readonly condition: BackendCondition;
  /** May get new flows; in a panic this can be true for an unhealthy one. */
  readonly eligible: boolean;
  /** 0–1: share of its weight in force during slow start; 1 when warm. */
  readonly warmup: number;
  /** Open flows over capacity as the back end reports it, 0–1, already discounted; undefined when not trusted. */
  readonly reportedLoad: number | undefined;
  /** Monotonic ms when the report was learned; lets a reader discount it by age. */
  readonly reportedAtMs?: number;
  readonly evidence: readonly HealthEvidence[];
}

/**
 * What was seen of a back end on the data path. opened: the opening packet was sent to it. answered: it answered an
 * opening (the return was seen, or the caller went on with the flow). open-timeout: an opening got no answer in
 * time. reset-on-open: it answered the opening with a reset. reset-mid-flow: it reset an established flow (kept as
 * a count, never a reason to eject).
 */
export type PassiveEvidence = 'opened' | 'open-timeout' | 'reset-on-open' | 'reset-mid-flow' | 'answered';

/** What other folders use of health. */
export interface HealthFeed {
  /** Belief about a back end; an unknown one is eligible. */
  health(backendId: number): BackendHealth;
  /** Reports what the data path saw. */
  recordPassive(backendId: number, evidence: PassiveEvidence): void;
}
