/**
 * Rule: when a back end is probed, when it is proved dead, and how long that verdict lasts. Without it each request on
 * an open flow at a dead back end would wait for its caller's deadline: on a day with failing back ends the verdicts
 * cut failed requests from 401 to 95 (one run each, then with two probes of 400 ms). Does no input or output. Times are
 * monotonic ms.
 *
 * Missing answers to callers' packets are no proof, because a busy back end acknowledges late. Proofs are a refused
 * probe, since a refusal came over a working network; and a pair of silent probes while other back ends give signs of
 * life. Another daemon's proof does not count, because its links may be cut. Whether a later start at its address ended
 * a back end is decided by `address-reuse.ts`.
 */
import type { ProbeFinding, ProbeOutcome } from './backend-prober.js';
import {
  DEAD_IN_ZONE_MS,
  MAX_PROBES_AT_ONCE,
  PROBE_AGAIN_MS,
  PROBE_LATE_MS,
  PROBE_TIMEOUT_MS,
} from './constants.js';

/** What probes find at a back end that is dead. */
export type DeathFinding = Exclude<ProbeOutcome, 'answered'>;

/** Why a back end has a dead verdict. */
export type DeathProof = DeathFinding | 'superseded';

/** What is known of a back end in doubt. */
export interface ProbeRequest {
  readonly nowMs: number;
  /** Flows of this daemon there. */
  readonly openFlows: number;
  readonly isDead: boolean;
  readonly isProbing: boolean;
  /** Back ends that are being probed now. */
  readonly probing: number;
  /** When it last answered a probe; -Infinity if never. */
  readonly answeredAtMs: number;
}

/** Whether a back end in doubt is probed, or why not. */
export type ProbeDecision =
  'probe' | 'no-flows' | 'already-dead' | 'already-probing' | 'too-many-probes' | 'just-answered';

/**
 * Tests for flows first: without any there is nothing to reset. A back end that is not probed now is probed at its next
 * failure.
 */
export function decideProbe(request: ProbeRequest): ProbeDecision {
  if (request.openFlows === 0) return 'no-flows';
  if (request.isDead) return 'already-dead';
  if (request.isProbing) return 'already-probing';
  if (request.probing >= MAX_PROBES_AT_ONCE) return 'too-many-probes';
  return request.nowMs - request.answeredAtMs < PROBE_AGAIN_MS ? 'just-answered' : 'probe';
}

/**
 * Result of one probe. An answer always counts; anything else only if this process did not pause while an answer may
 * have come.
 */
export function findingOf(outcome: ProbeOutcome, tookMs: number, mayHavePaused: boolean): ProbeFinding {
  if (outcome === 'answered') return outcome;
  return tookMs > PROBE_TIMEOUT_MS + PROBE_LATE_MS || mayHavePaused ? 'inconclusive' : outcome;
}

/**
 * Result of two overlapping probes: an answer outweighs a refusal, and both outweigh silence, which a lost packet may
 * explain.
 */
export function findingOfPair(first: ProbeFinding, second: ProbeFinding): ProbeFinding {
  if (first === 'answered' || second === 'answered') return 'answered';
  if (first === 'refused' || second === 'refused') return 'refused';
  return first === 'inconclusive' || second === 'inconclusive' ? 'inconclusive' : 'silent';
}

/** What was seen while probes were under way. */
interface ProbePeriod {
  /** When the first of the probes was sent. */
  readonly sinceMs: number;
  /** Last sign of life of the probed back end, and of any other one. */
  readonly lastSignOfLifeMs: number;
  readonly othersAliveMs: number;
}

/** True when others were reached since `sinceMs`, so that silence is not this daemon's own. */
export function othersAnswerSince(sinceMs: number, othersAliveMs: number): boolean {
  return othersAliveMs >= sinceMs;
}

/** What a pair of probes leads to; `unproved`: another pair may prove more. */
export type ProbeJudgement = 'alive' | 'answered' | DeathFinding | 'unproved';

/** A sign of life in callers' packets comes first: it is newer than the probes. */
export function judgeProbes(finding: ProbeFinding, period: ProbePeriod): ProbeJudgement {
  if (period.lastSignOfLifeMs >= period.sinceMs) return 'alive';
  if (finding === 'answered' || finding === 'refused') return finding;
  if (finding === 'inconclusive') return 'unproved';
  return othersAnswerSince(period.sinceMs, period.othersAliveMs) ? 'silent' : 'unproved';
}

/** What probes of a back end with a verdict lead to; `lapse`: the verdict ends by itself at its time. */
export type RecheckDecision = 'revive' | 'lapse' | 'renew';

/** The proof that was enough for the verdict is needed again to renew it. */
export function judgeRecheck(finding: ProbeFinding, sinceMs: number, othersAliveMs: number): RecheckDecision {
  if (finding === 'answered') return 'revive';
  if (finding === 'refused') return 'renew';
  return finding === 'silent' && othersAnswerSince(sinceMs, othersAliveMs) ? 'renew' : 'lapse';
}

/** A death that probes proved. */
export interface ZoneDeath<Backend> {
  readonly state: Backend;
  readonly atMs: number;
}

/**
 * True when a death is the second one of different back ends of a zone within `DEAD_IN_ZONE_MS`: the zone may be cut
 * off.
 */
export function putsZoneInDoubt<Backend>(
  before: ZoneDeath<Backend> | undefined,
  death: ZoneDeath<Backend>,
): boolean {
  return before !== undefined && before.state !== death.state && death.atMs - before.atMs < DEAD_IN_ZONE_MS;
}

/** Why and since when a back end is held dead. */
export interface VerdictReason {
  readonly proof: DeathProof;
  /** When the verdict began; renewals do not change it. */
  readonly sinceMs: number;
}

/** The dead verdict of one back end. */
export class DeadVerdict {
  private untilMs = Number.NEGATIVE_INFINITY;
  private held: VerdictReason | undefined;

  /** The reason of the verdict that is or was last in force. */
  get reason(): VerdictReason | undefined {
    return this.held;
  }

  /** Holds the back end dead until `untilMs`. */
  hold(reason: VerdictReason, untilMs: number): void {
    this.held = reason;
    this.untilMs = untilMs;
  }

  /** Moves the end of the verdict to `untilMs`. */
  renew(untilMs: number): void {
    this.untilMs = untilMs;
  }

  /** Ends the verdict: any sign of life disproves it. */
  end(): void {
    this.untilMs = Number.NEGATIVE_INFINITY;
  }

  isInForce(nowMs: number): boolean {
    return nowMs < this.untilMs;
  }
}
