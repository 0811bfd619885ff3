import test from 'ava';
import type { Member } from '../membership/types.js';
import { LEASE_MS } from './constants.js';
import {
  canReplicate,
  isSurelyKeeper,
  mayOpen,
  type AuthorityContext,
  type AuthorityShard,
} from './keeper-authority-rules.js';

const ENDPOINT = { host: '127.0.0.1', port: 1 };
const MEMBER: Member = {
  id: 'self',
  region: 'region',
  zone: 'zone-a',
  control: ENDPOINT,
  admin: ENDPOINT,
  data: ENDPOINT,
  incarnation: 1,
  state: 'active',
  settingsVersion: 1,
};
const NOW_MS = 100_000;
const HELD = { leaseHeld: true };
const LAPSED = { leaseHeld: false };

interface Situation {
  readonly quorate?: boolean;
  readonly inView?: boolean;
  readonly fresh?: boolean;
  readonly cautious?: boolean;
  readonly otherOwner?: boolean;
  readonly shard?: Partial<AuthorityShard>;
}

function context(situation: Situation): AuthorityContext {
  const { quorate = true, inView = true, fresh = true, cautious = false, otherOwner = true } = situation;
  return {
    selfId: 'self',
    view: { sequence: 1, members: [], digest: 0, quorate },
    member: () => (inView ? MEMBER : undefined),
    isFresh: () => fresh,
    now: () => NOW_MS,
    cautiousUntilMs: cautious ? NOW_MS + 1 : 0,
    map: { backup: () => (otherOwner ? { ...MEMBER, id: 'other' } : undefined) },
  };
}

function shard(situation: Situation): AuthorityShard {
  return {
    shard: 1,
    role: 'serving',
    syncingTo: undefined,
    heldSinceMs: 0,
    backup: HELD,
    formerBackup: undefined,
    ...situation.shard,
  };
}

/** Expected: may open flows, may make exceptions, may answer for unknown flows. */
const SITUATIONS: readonly (readonly [string, Situation, boolean, boolean, boolean])[] = [
  ['backup with a lease', {}, true, true, true],
  ['lapsed lease', { shard: { backup: LAPSED } }, false, false, false],
  ['no quorum', { quorate: false }, false, true, false],
  ['transferring', { shard: { role: 'transferring' } }, false, true, true],
  ['the next backup has no snapshot yet', { shard: { syncingTo: 'other' } }, true, false, true],
  ['former backup holds on', { shard: { formerBackup: { hasLetGo: () => false } } }, true, false, true],
  ['former backup has let go', { shard: { formerBackup: { hasLetGo: () => true } } }, true, true, true],
  ['alone', { otherOwner: false, shard: { backup: undefined } }, true, true, true],
  [
    'alone and paused',
    { otherOwner: false, fresh: false, shard: { backup: undefined } },
    false,
    false,
    false,
  ],
  [
    'alone, cautious',
    { otherOwner: false, cautious: true, shard: { backup: undefined } },
    false,
    false,
    false,
  ],
  [
    'alone, not in the view',
    { otherOwner: false, inView: false, shard: { backup: undefined } },
    false,
    false,
    false,
  ],
  ['no backup yet', { shard: { backup: undefined } }, false, false, false],
  [
    'no backup yet, just received',
    { shard: { backup: undefined, heldSinceMs: NOW_MS - LEASE_MS + 1 } },
    false,
    false,
    true,
  ],
];
for (const [name, situation, opens, replicates, answers] of SITUATIONS) {
  test(`authority: ${name}`, (t) => {
    t.is(mayOpen(context(situation), shard(situation)), opens);
    t.is(canReplicate(context(situation), shard(situation)), replicates);
    t.is(isSurelyKeeper(context(situation), shard(situation)), answers);
  });
}
