/** Encodes and decodes health messages; ages on the wire become monotonic ms of the receiver. */
import { VOTES_PER_MESSAGE } from './constants.js';
import { sailquay } from './pb/health.js';
import type { ReportedLoad, Vote } from './votes.js';

const { HealthMessage } = sailquay.health;
/** Limits that a received message must keep. Above what any sender reaches. */
const MAX_MEMBERS_PER_MESSAGE = 1_000;
const MAX_PASSIVE_FAILURES = 1_000_000;

/** A health message in memory. */
export interface HealthUpdate {
  readonly votes: readonly Vote[];
  /** Empty when the message carries none. */
  readonly digest: readonly number[];
  readonly answer: boolean;
}

/** Writes one message; `nowMs` is the sender's monotonic time. */
export function encodeUpdate(update: HealthUpdate, nowMs: number): Uint8Array {
  const byMember = new Map<number, sailquay.health.IBackendVote[]>();
  for (const vote of update.votes) {
    const votes = byMember.get(vote.memberHash) ?? [];
    votes.push(encodeVote(vote, nowMs));
    byMember.set(vote.memberHash, votes);
  }
  const members = [...byMember].map(([memberId, votes]) => ({ memberId, votes }));
  return HealthMessage.encode({ members, digest: [...update.digest], answer: update.answer }).finish();
}

function encodeVote(vote: Vote, nowMs: number): sailquay.health.IBackendVote {
  return {
    backendId: vote.backendId,
    version: vote.version,
    verdict: vote.verdict,
    passiveFailures: vote.passiveFailures,
    load: vote.load && encodeLoad(vote.load, nowMs),
  };
}

function encodeLoad(load: ReportedLoad, nowMs: number): sailquay.health.ILoadReport {
  const ageMs = Math.max(0, Math.round(nowMs - load.sampledAtMs));
  return { openFlows: load.openFlows, capacity: load.capacity, ageMs };
}

/** Reads one message; throws on bytes that are no health message. */
export function decodeUpdate(payload: Uint8Array, nowMs: number): HealthUpdate {
  const message = HealthMessage.decode(payload);
  if (message.members.length > MAX_MEMBERS_PER_MESSAGE) throw new RangeError('too many members');
  const votes = message.members.flatMap((member) =>
    (member.votes ?? []).map((vote) => decodeVote(member.memberId ?? 0, vote, nowMs)),
  );
  return { votes, digest: message.digest, answer: message.answer };
}

function decodeVote(memberHash: number, vote: sailquay.health.IBackendVote, nowMs: number): Vote {
  const verdict = vote.verdict ?? 0;
  if (sailquay.health.Verdict[verdict] === undefined) throw new RangeError(`unknown verdict ${verdict}`);
  return {
    memberHash,
    backendId: vote.backendId ?? 0,
    version: vote.version ?? 0,
    verdict,
    passiveFailures: Math.min(MAX_PASSIVE_FAILURES, vote.passiveFailures ?? 0),
    load: vote.load ? decodeLoad(vote.load, nowMs) : undefined,
    learnedAtMs: nowMs,
  };
}

function decodeLoad(load: sailquay.health.ILoadReport, nowMs: number): ReportedLoad {
  return {
    openFlows: load.openFlows ?? 0,
    capacity: load.capacity ?? 0,
    sampledAtMs: nowMs - (load.ageMs ?? 0),
  };
}

/** Cuts votes into parts that fit one message each. */
export function pages(votes: readonly Vote[]): Vote[][] {
  const parts: Vote[][] = [];
  for (let start = 0; start < votes.length; start += VOTES_PER_MESSAGE) {
    parts.push(votes.slice(start, start + VOTES_PER_MESSAGE));
  }
  return parts;
}
