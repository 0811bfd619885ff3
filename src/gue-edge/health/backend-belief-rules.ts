/**
 * Rules of the belief about one back end: when it is ejected and for how long, when answered openings contradict
 * failing probes, its condition, and the share of its weight that new flows may use.
 *
 * They prevent a back end that answers probes but no openings from getting new flows, a broken path of the probers
 * from emptying a service, and an unsteady back end from getting its full weight at once. Probes decide unless
 * openings contradict them. Times are monotonic ms, shares 0–1. Missing knowledge counts for the back end: without
 * votes and failures it is usable. No input or output.
 */
import {
  BASE_EJECTION_MS,
  CONFLICT_FADE_MS,
  CONFLICT_FRESH_MS,
  EJECTION_FORGET_MS,
  INITIAL_WARMUP,
  MAX_EJECTION_MS,
  PASSIVE_FAILURE_THRESHOLD,
} from './constants.js';
import type { ProbeState } from './probe-verdict-rule.js';
import type { BackendCondition } from './types.js';

/** True when an opening was answered so recently that it contradicts what others report. */
export function answersHere(lastAnsweredAtMs: number, nowMs: number): boolean {
  return nowMs - lastAnsweredAtMs <= CONFLICT_FRESH_MS;
}

/** What an ejection is judged by. */
interface FailureInput {
  /** Openings in a row without an answer that this balancer saw. */
  readonly ownFailures: number;
  /** The same of other members. */
  readonly remoteFailures: number;
  readonly answersHere: boolean;
}

/**
 * True when the failures eject the back end. Own failures come first and suffice alone; those of others count only
 * while this balancer sees no answers, because their path may be what is broken.
 */
export function isFailing({ ownFailures, remoteFailures, answersHere }: FailureInput): boolean {
  if (ownFailures >= PASSIVE_FAILURE_THRESHOLD) return true;
  return !answersHere && ownFailures + remoteFailures >= PASSIVE_FAILURE_THRESHOLD;
}

/**
 * Length of the ejection in ms before jitter: doubles with each one in a row, up to the largest. `ejections` counts
 * from 1.
 */
export function ejectionLengthMs(ejections: number): number {
  return Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** (ejections - 1));
}

/** Ejections still remembered: one step is forgotten for each whole `EJECTION_FORGET_MS` since the last one ended. */
export function rememberedEjections(ejections: number, quietMs: number): number {
  if (quietMs <= 0) return ejections;
  return Math.max(0, ejections - Math.floor(quietMs / EJECTION_FORGET_MS));
}

/** What becomes of a conflict between probes and openings. */
type ConflictVerdict =
  /** Probes do not fail, or no opening was answered lately: there is none. */
  | 'none'
  /** Begins now, or goes on. */
  | 'conflict'
  /** The back end is out of use already: a single answer does not bring it back, and what was noted stays. */
  | 'unchanged';

/** What a conflict is judged by. */
interface ConflictInput {
  readonly probeState: ProbeState;
  readonly answersHere: boolean;
  readonly usable: boolean;
}

/** Judges a conflict. */
export function judgeConflict({ probeState, answersHere, usable }: ConflictInput): ConflictVerdict {
  if (probeState !== 'unhealthy' || !answersHere) return 'none';
  return usable ? 'conflict' : 'unchanged';
}

/** What the condition follows from. */
interface ConditionInput {
  readonly draining: boolean;
  readonly probeState: ProbeState;
  readonly ejected: boolean;
}

/**
 * Condition of a back end. The operator's wish comes first, then probes, then ejection: a longer-lasting cause
 * hides a shorter one.
 */
export function judgeCondition({ draining, probeState, ejected }: ConditionInput): BackendCondition {
  if (draining) return 'draining';
  if (probeState === 'unhealthy') return 'unhealthy';
  return ejected ? 'ejected' : probeState;
}

/**
 * True when the back end may get new flows as far as it alone is concerned; an unhealthy one only during a
 * conflict.
 */
export function isUsable(condition: BackendCondition, inConflict: boolean): boolean {
  if (condition === 'healthy' || condition === 'unknown') return true;
  return condition === 'unhealthy' && inConflict;
}

/** Share of new flows that is left after a conflict has lasted this long; 0 or less ends it. */
export function fadedShare(conflictMs: number): number {
  return 1 - conflictMs / CONFLICT_FADE_MS;
}

/**
 * Share of its weight that a back end has during a conflict; never rises, and stays at the start of slow start at
 * least.
 */
export function conflictWarmup(faded: number, previous: number): number {
  return Math.min(previous, Math.max(INITIAL_WARMUP, faded));
}

/** Share of its weight during slow start: rises evenly from `INITIAL_WARMUP` to 1; 1 when slow start is off. */
export function slowStartShare(elapsedMs: number, slowStartMs: number): number {
  if (slowStartMs <= 0) return 1;
  const elapsedShare = elapsedMs / slowStartMs;
  return Math.min(1, Math.max(INITIAL_WARMUP, INITIAL_WARMUP + (1 - INITIAL_WARMUP) * elapsedShare));
}

/** Time in ms that slow start takes up to a share; the inverse of `slowStartShare`. */
export function slowStartElapsedMs(share: number, slowStartMs: number): number {
  return ((share - INITIAL_WARMUP) / (1 - INITIAL_WARMUP)) * slowStartMs;
}
