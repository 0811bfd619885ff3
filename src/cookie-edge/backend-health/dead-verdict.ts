/**
 * Decides when a back end is probed, when it is declared dead, and when that verdict ends. Without verdicts each
 * request on an open flow at a dead back end would wait for its caller's deadline: on a day with failing back ends,
 * verdicts from two probes of 400 ms cut failed requests from 401 to 95. Does no input or output. Times are monotonic
 * ms.
 *
 * Missing answers to callers' packets prove nothing, because a busy back end acknowledges late. Two findings prove that
 * a back end is dead:
 * - a refused probe, because the refusal came over a working network and no process accepted the connection;
 * - a pair of unanswered probes while other back ends give signs of life.
 *
 * Another daemon's proof does not count, because that daemon's links may be cut. `address-reuse.ts` decides whether a
 * back end is dead because a later process has its address.
 */
import type { ProbeFinding, ProbeOutcome } from './backend-prober.js';
import {
  ZONE_DEATH_WINDOW_MS,
  MAX_PROBES_AT_ONCE,
  PROBE_COOLDOWN_MS,
  PROBE_TIMEOUT_SLACK_MS,
  PROBE_TIMEOUT_MS,
} from './constants.js';

/** A probe finding that proves a back end dead. */
export type DeathFinding = 'refused' | 'silent';

/** Proof behind a dead verdict; `superseded`: another back end has its address. */
export type DeathProof = DeathFinding | 'superseded';

/** State of a back end that may be dead, and of the probes in progress. */
export interface ProbeDecisionInput {
  readonly nowMs: number;
  /** Open flows of this daemon at the back end. */
  readonly openFlows: number;
  readonly isDead: boolean;
  readonly isProbing: boolean;
  /** Number of back ends with probes in progress. */
  readonly backendsProbed: number;
  /** Time of its last answer to a probe; -Infinity if none. */
  readonly lastAnswerAtMs: number;
}

/** Whether to probe a back end that may be dead, or why not. */
export type ProbeDecision =
  'probe' | 'no-flows' | 'already-dead' | 'already-probing' | 'too-many-probes' | 'just-answered';

/**
 * Decides whether to probe a back end that may be dead. Tests for flows first: without any there is nothing to reset.
 * A back end that is not probed now is considered again at its next failure.
 */
export function decideProbe(input: ProbeDecisionInput): ProbeDecision {
  if (input.openFlows === 0) return 'no-flows';
  if (input.isDead) return 'already-dead';
  if (input.isProbing) return 'already-probing';
  if (input.backendsProbed >= MAX_PROBES_AT_ONCE) return 'too-many-probes';
  return input.nowMs - input.lastAnswerAtMs < PROBE_COOLDOWN_MS ? 'just-answered' : 'probe';
}

/**
 * Evaluates one probe. An answer always counts. So does a reset, because it follows a handshake that the back end's
 * host accepted: had this process read the handshake first, the probe would have been answered. A refusal or silence
 * counts only if the probe ended in time and this process was not paused, since it may have missed an answer while it
 * was.
 */
export function evaluateProbe(
  outcome: ProbeOutcome,
  tookMs: number,
  mayHaveBeenPaused: boolean,
): ProbeFinding {
  if (outcome === 'answered' || outcome === 'reset') return 'answered';
  return tookMs > PROBE_TIMEOUT_MS + PROBE_TIMEOUT_SLACK_MS || mayHaveBeenPaused ? 'inconclusive' : outcome;
}

/**
 * Combines the findings of two overlapping probes. An answer takes precedence over a refusal, and both over silence,
 * because a lost packet may explain silence.
 */
export function combineFindings(first: ProbeFinding, second: ProbeFinding): ProbeFinding {
  if (first === 'answered' || second === 'answered') return 'answered';
  if (first === 'refused' || second === 'refused') return 'refused';
  return first === 'inconclusive' || second === 'inconclusive' ? 'inconclusive' : 'silent';
}

/** Observations during a series of probes. */
interface ProbePeriod {
  /** When the first of the probes was sent. */
  readonly startedMs: number;
  /** Last sign of life of the probed back end. */
  readonly lastSignOfLifeMs: number;
  /** Last sign of life of any other back end. */
  readonly othersLastSignOfLifeMs: number;
}

/** True when another back end answered at `startMs` or later, so that this daemon's own links work. */
export function haveOthersAnsweredSince(startMs: number, othersLastSignOfLifeMs: number): boolean {
  return othersLastSignOfLifeMs >= startMs;
}

/**
 * Conclusion from a pair of probes. `alive`: a caller's packet was a sign of life; `unproved`: the pair proved nothing,
 * but another one may.
 */
export type ProbeConclusion = 'alive' | 'answered' | DeathFinding | 'unproved';

/**
 * Draws the conclusion from a pair of probes. Signs of life in callers' packets take precedence, because they are newer
 * than the probes.
 */
export function concludeProbes(finding: ProbeFinding, period: ProbePeriod): ProbeConclusion {
  if (period.lastSignOfLifeMs >= period.startedMs) return 'alive';
  if (finding === 'answered' || finding === 'refused') return finding;
  if (finding === 'inconclusive') return 'unproved';
  return haveOthersAnsweredSince(period.startedMs, period.othersLastSignOfLifeMs) ? 'silent' : 'unproved';
}

/** What to do with a verdict after further probes; `lapse`: do not renew it, so that it expires. */
export type RecheckDecision = 'revive' | 'lapse' | 'renew';

/** Decides on a verdict after further probes. A renewal needs the same proof as the verdict. */
export function decideRecheck(
  finding: ProbeFinding,
  probesStartedMs: number,
  othersLastSignOfLifeMs: number,
): RecheckDecision {
  if (finding === 'answered') return 'revive';
  if (finding === 'refused') return 'renew';
  return finding === 'silent' && haveOthersAnsweredSince(probesStartedMs, othersLastSignOfLifeMs)
    ? 'renew'
    : 'lapse';
}

/** A back end that probes proved dead, and when. */
export interface ZoneDeath<Backend> {
  readonly state: Backend;
  readonly atMs: number;
}

/** True when two different back ends of a zone died within `ZONE_DEATH_WINDOW_MS`: the whole zone may be cut off. */
export function isSecondZoneDeath<Backend>(
  prior: ZoneDeath<Backend> | undefined,
  death: ZoneDeath<Backend>,
): boolean {
  return prior !== undefined && prior.state !== death.state && death.atMs - prior.atMs < ZONE_DEATH_WINDOW_MS;
}

/** Why and since when a back end is considered dead. */
export interface VerdictReason {
  readonly proof: DeathProof;
  /** Start of the verdict; renewals do not change it. */
  readonly sinceMs: number;
}

/** The dead verdict of one back end. */
export class DeadVerdict {
  private untilMs = Number.NEGATIVE_INFINITY;
  private currentReason: VerdictReason | undefined;

  /** Reason of the current verdict, or of the last one if none is in force. */
  get reason(): VerdictReason | undefined {
    return this.currentReason;
  }

  /** Starts a verdict that expires at `untilMs`. */
  begin(reason: VerdictReason, untilMs: number): void {
    this.currentReason = reason;
    this.untilMs = untilMs;
  }

  /** Extends the verdict to `untilMs`. */
  renew(untilMs: number): void {
    this.untilMs = untilMs;
  }

  /** Ends the verdict at once, because a sign of life or an answered probe disproved it. */
  end(): void {
    this.untilMs = Number.NEGATIVE_INFINITY;
  }

  isInForce(nowMs: number): boolean {
    return nowMs < this.untilMs;
  }
}
