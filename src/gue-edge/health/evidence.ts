/** Evidence for the belief about a back end, as text for operators. Decides nothing. */
import type { BackendBelief } from './backend-belief.js';
import { MAX_EVIDENCE } from './constants.js';
import type { LoadTrust } from './load-trust-rule.js';
import type { HealthEvidence } from './types.js';
import { Verdict, type ReportedLoad, type Vote } from './votes.js';

const MS_PER_SECOND = 1_000;

/** What the evidence is drawn from. */
interface EvidenceInput {
  readonly belief: BackendBelief;
  readonly votes: readonly Vote[];
  readonly memberName: (memberHash: number) => string;
  readonly report: ReportedLoad | undefined;
  readonly trust: LoadTrust;
  readonly ownFlows: number;
  readonly capped: boolean;
  readonly panic: boolean;
  readonly nowMs: number;
}

/** Evidence, the weightiest first, at most `MAX_EVIDENCE` pieces. */
export function describeBelief(input: EvidenceInput): HealthEvidence[] {
  const evidence = [
    ...settingsEvidence(input),
    ...passiveEvidence(input),
    ...input.votes.flatMap((vote) => voteEvidence(vote, input.memberName)),
    ...loadEvidence(input),
  ];
  return evidence.slice(0, MAX_EVIDENCE);
}

function settingsEvidence(input: EvidenceInput): HealthEvidence[] {
  const texts: string[] = [];
  if (input.belief.backend.draining) texts.push('drains by the settings: no new flow, open flows stay');
  if (input.panic) texts.push('panic: too few back ends of the service are healthy, all of them are used');
  if (input.capped) texts.push('would be ejected, but the largest share of ejected back ends is reached');
  return texts.map((text) => ({ source: 'settings', text, atMs: input.nowMs }));
}

function passiveEvidence({ belief, nowMs }: EvidenceInput): HealthEvidence[] {
  const evidence: HealthEvidence[] = [];
  const { passive } = belief;
  if (belief.conflictSinceMs !== undefined) {
    const text = 'probes fail but openings are answered: new flows fade, open flows stay';
    evidence.push({ source: 'passive', text, atMs: belief.conflictSinceMs });
  }
  if (nowMs < belief.ejectedUntilMs) {
    const seconds = ((belief.ejectedUntilMs - nowMs) / MS_PER_SECOND).toFixed(1);
    evidence.push({
      source: 'passive',
      text: `ejected for another ${seconds} s`,
      atMs: belief.ejectedSinceMs,
    });
  }
  const failures = passive.failures(nowMs);
  if (failures > 0) {
    const kind = passive.lastFailureKind ?? 'silent';
    const text = `${failures} openings in a row without an answer (${kind})`;
    evidence.push({ source: 'passive', text, atMs: passive.lastFailedAtMs });
  }
  if (belief.warmup < 1 && belief.conflictSinceMs === undefined) {
    const percent = Math.round(belief.warmup * 100);
    evidence.push({ source: 'passive', text: `slow start: ${percent}% of its weight`, atMs: nowMs });
  }
  return evidence;
}

function voteEvidence(vote: Vote, memberName: (memberHash: number) => string): HealthEvidence[] {
  const evidence: HealthEvidence[] = [];
  const member = memberName(vote.memberHash);
  if (vote.verdict !== Verdict.VERDICT_NONE) {
    const verdict = vote.verdict === Verdict.VERDICT_HEALTHY ? 'healthy' : 'unhealthy';
    evidence.push({ source: 'probe', text: `probes of ${member} say ${verdict}`, atMs: vote.learnedAtMs });
  }
  if (vote.passiveFailures > 0) {
    const text = `${member} saw ${vote.passiveFailures} openings in a row without an answer`;
    evidence.push({ source: 'peer', text, atMs: vote.learnedAtMs });
  }
  return evidence;
}

const TRUST_TEXT: Readonly<Record<LoadTrust, string>> = {
  trusted: 'used as a correction',
  missing: 'missing',
  old: 'too old, not used',
  failing: 'not used while openings fail',
  contradicted: 'contradicts the own count, not used',
};

function loadEvidence({ report, trust, ownFlows }: EvidenceInput): HealthEvidence[] {
  if (!report) return [];
  const text = `reports ${report.openFlows} of ${report.capacity} flows, own count ${ownFlows}: ${TRUST_TEXT[trust]}`;
  return [{ source: 'reported-load', text, atMs: report.sampledAtMs }];
}
