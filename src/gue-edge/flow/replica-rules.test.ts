import test from 'ava';
import { LEASE_MARGIN_MS, LEASE_MS } from './constants.js';
import {
  confirmsReplicas,
  isHeldForClaimant,
  isSurelyBackup,
  judgeReplicaFate,
  keeperHasFailed,
  mayTrustNewReplica,
  silenceBreaksTrust,
} from './replica-rules.js';

const NOW_MS = 100_000;
const LEASE_END_MS = NOW_MS - LEASE_MS - LEASE_MARGIN_MS;
const heard = { boot: 5, lastAckSentAtMs: NOW_MS };
const silent = { boot: 5, lastAckSentAtMs: LEASE_END_MS - 1 };
const held = { keeperBoot: 5, lapsed: false };

const FAILURES = [
  ['a newer process, although in the view', held, { ...heard, boot: 6 }, true, true],
  ['lapsed, although in the view', { ...held, lapsed: true }, heard, true, true],
  ['silent but in the view', held, silent, true, false],
  ['gone within its lease', held, { ...heard, lastAckSentAtMs: LEASE_END_MS }, false, false],
  ['gone after its lease', held, silent, false, true],
  ['gone and never acknowledged', held, undefined, false, true],
] as const;
for (const [name, replica, link, inView, expected] of FAILURES) {
  test(`failure of a keeper: ${name}`, (t) => {
    t.is(keeperHasFailed({ replica, link, inView, nowMs: NOW_MS }), expected);
  });
}

test('a replica that arrives after a pause or a cut is not trusted before its keeper confirms it', (t) => {
  const sure = { fresh: true, nowMs: NOW_MS, cautiousUntilMs: NOW_MS };
  t.true(mayTrustNewReplica(sure));
  t.false(mayTrustNewReplica({ ...sure, fresh: false }));
  t.false(mayTrustNewReplica({ ...sure, cautiousUntilMs: NOW_MS + 1 }));
});

const BACKUPS = [
  ['acknowledged within the lease', { ...heard, lastAckSentAtMs: LEASE_END_MS }, true],
  ['silent for longer', silent, false],
  ['of another process', { ...heard, boot: 6 }, false],
  ['not heard', undefined, false],
] as const;
for (const [name, link, expected] of BACKUPS) {
  test(`surely the backup: ${name}`, (t) => t.is(isSurelyBackup(5, link, NOW_MS), expected));
}

const heartbeat = { assignedDigest: 7, heldDigest: 7, echoMs: NOW_MS, lapsed: false, nowMs: NOW_MS };
const HEARTBEATS = [
  ['same shards, heard lately', {}, true],
  ['other shards', { assignedDigest: 8 }, false],
  ['heard a lease ago', { echoMs: NOW_MS - LEASE_MS }, false],
  ['heard just within a lease', { echoMs: NOW_MS - LEASE_MS + 1 }, true],
  ['lapsed', { lapsed: true }, false],
] as const;
for (const [name, change, expected] of HEARTBEATS) {
  test(`confirmation of replicas: ${name}`, (t) =>
    t.is(confirmsReplicas({ ...heartbeat, ...change }), expected));
}

test('silence of an active keeper ends trust', (t) => {
  t.false(silenceBreaksTrust(true, 9_999));
  t.true(silenceBreaksTrust(true, 10_000));
  t.false(silenceBreaksTrust(false, 60_000));
});

const replica = {
  recovering: false,
  quorate: true,
  keeperFailed: () => true,
  nextKeeper: { isSelf: false, active: true },
  nowMs: NOW_MS,
  retryAtMs: 0,
  trusted: true,
  cautiousUntilMs: 0,
};
const FATES = [
  ['the next keeper is active', {}, 'hand-on'],
  ['this balancer is the next keeper', { nextKeeper: { isSelf: true, active: false } }, 'promote'],
  ['the next keeper is not active', { nextKeeper: { isSelf: false, active: false } }, 'keep'],
  ['no next keeper', { nextKeeper: undefined }, 'keep'],
  ['handed on already', { recovering: true }, 'keep'],
  ['in a minority', { quorate: false }, 'keep'],
  ['the keeper has not failed', { keeperFailed: () => false }, 'keep'],
  ['refused just now', { retryAtMs: NOW_MS + 1 }, 'keep'],
  ['doubtful while cautious', { trusted: false, cautiousUntilMs: NOW_MS + 1 }, 'keep'],
  ['doubtful after that', { trusted: false, cautiousUntilMs: NOW_MS }, 'hand-on'],
  ['trusted while cautious', { cautiousUntilMs: NOW_MS + 1 }, 'hand-on'],
] as const;
for (const [name, change, expected] of FATES) {
  test(`fate of a replica: ${name}`, (t) => t.is(judgeReplicaFate({ ...replica, ...change }), expected));
}

const CLAIMS = [
  ['kept here', { acquiring: false }, undefined, true],
  ['awaited here too', { acquiring: true }, undefined, false],
  ['neither kept nor replicated', undefined, undefined, false],
  ['replica of another keeper', undefined, { lapsed: false, ofClaimant: false }, true],
  ['replica of the claimant', undefined, { lapsed: false, ofClaimant: true }, false],
  ['lapsed replica of the claimant', { acquiring: true }, { lapsed: true, ofClaimant: true }, true],
] as const;
for (const [name, kept, replicaHere, expected] of CLAIMS) {
  test(`claim: ${name}`, (t) => t.is(isHeldForClaimant({ kept, replica: replicaHere }), expected));
}
