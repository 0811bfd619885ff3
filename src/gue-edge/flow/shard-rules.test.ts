import test from 'ava';
import { ORPHAN_WAIT_MS } from './constants.js';
import { judgeAcquiring, judgeFailedTransfer, judgeReplica, mayUseUntrusted } from './shard-rules.js';

const EARLIER = { fromSameKeeper: false, epoch: 5, keeperFailed: () => false };
const REPLICAS = [
  ['nothing held', 5, undefined, undefined, 'install'],
  ['of the same keeper, older', 4, { ...EARLIER, fromSameKeeper: true }, undefined, 'install'],
  ['of another keeper, same epoch', 5, EARLIER, undefined, 'keep-earlier'],
  ['of another keeper, newer', 6, EARLIER, undefined, 'install'],
  [
    'of another keeper, the earlier one failed',
    4,
    { ...EARLIER, keeperFailed: () => true },
    undefined,
    'install',
  ],
  ['kept here, same epoch', 5, undefined, { acquiring: false, epoch: 5 }, 'keep-own'],
  ['kept here, older', 6, undefined, { acquiring: false, epoch: 5 }, 'install'],
  ['only awaited here', 1, undefined, { acquiring: true, epoch: 5 }, 'install'],
] as const;
for (const [name, epoch, earlier, own, expected] of REPLICAS) {
  test(`replica: ${name}`, (t) => t.is(judgeReplica({ epoch, earlier, own }), expected));
}

const ACQUIRING = {
  isKeeper: true,
  quorate: true,
  hasSettings: true,
  replicaHeldHere: false,
  nowMs: ORPHAN_WAIT_MS + 1,
  cautiousUntilMs: 0,
  acquiringSinceMs: 0,
  awaitedSinceMs: 0,
};
const AWAITED = [
  ['nobody offers it', {}, 'start-unoffered'],
  ['exactly the wait', { nowMs: ORPHAN_WAIT_MS }, 'wait'],
  ['offered meanwhile', { awaitedSinceMs: 1 }, 'wait'],
  ['another keeper', { isKeeper: false, quorate: false }, 'forget'],
  ['a minority', { quorate: false }, 'postpone'],
  ['without settings', { hasSettings: false }, 'postpone'],
  ['perhaps replaced', { cautiousUntilMs: ORPHAN_WAIT_MS + 2 }, 'postpone'],
  ['replica held here', { replicaHeldHere: true }, 'postpone'],
  ['replica held here for long', { replicaHeldHere: true, nowMs: 3 * ORPHAN_WAIT_MS }, 'start-unoffered'],
] as const;
for (const [name, change, expected] of AWAITED) {
  test(`awaited shard: ${name}`, (t) => t.is(judgeAcquiring({ ...ACQUIRING, ...change }), expected));
}

const DOUBTS = [
  ['not awaited', undefined, ORPHAN_WAIT_MS + 1, 0, false],
  ['held', { acquiring: false, acquiringSinceMs: 0 }, 0, 0, true],
  ['awaited for long', { acquiring: true, acquiringSinceMs: 0 }, ORPHAN_WAIT_MS + 1, 0, true],
  ['awaited exactly the wait', { acquiring: true, acquiringSinceMs: 0 }, ORPHAN_WAIT_MS, 0, false],
  ['cautious a moment ago', { acquiring: true, acquiringSinceMs: 0 }, ORPHAN_WAIT_MS + 1, 1, false],
] as const;
for (const [name, kept, nowMs, cautiousUntilMs, expected] of DOUBTS) {
  test(`untrusted replica: ${name}`, (t) =>
    t.is(mayUseUntrusted({ kept, nowMs, cautiousUntilMs }), expected));
}

const FAILED = [
  ['an earlier transfer', false, true, false, 'ignore'],
  ['the target is gone', true, true, false, 'await-targets-backup'],
  ['the target is gone before anything was sent', true, false, false, 'serve'],
  ['refused', true, true, true, 'serve'],
] as const;
for (const [name, isCurrent, transferring, targetPresent, expected] of FAILED) {
  test(`failed transfer: ${name}`, (t) => {
    t.is(judgeFailedTransfer({ isCurrent, transferring, targetPresent }), expected);
  });
}
