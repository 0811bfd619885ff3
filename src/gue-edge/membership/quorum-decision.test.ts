/** Who may open flows, who asks for the quorum lease, who may found a region, and who counts as reachable. */
import test from 'ava';
import {
  decideFounding,
  decideLeaseDemand,
  decideQuorum,
  isQuorateVerdict,
  isReachableForQuorum,
  mayCreateFirstBase,
  type FirstBaseFacts,
  type LeaseDemand,
  type QuorumEvidence,
  type QuorumFacts,
  type QuorumVerdict,
  type SilenceFacts,
} from './quorum-decision.js';

const IN_MAJORITY: QuorumFacts = {
  withdrawn: false,
  isSole: false,
  isConfirmed: true,
  hasBase: true,
  isAlone: false,
  wasAloneLong: false,
  wasQuorate: true,
  standing: 'majority',
};
const ALONE: Partial<QuorumFacts> = { isAlone: true, standing: 'minority' };
const CONNECTED: QuorumEvidence = { isCutOff: false, isBehind: false, lease: 'unknown' };

type Case<T> = readonly [string, Partial<QuorumFacts>, Partial<QuorumEvidence>, T];

const VERDICTS: readonly (readonly [...Case<QuorumVerdict>, boolean])[] = [
  ['a majority', {}, {}, 'majority', true],
  ['half with the lowest id', { standing: 'tie' }, {}, 'tie', true],
  ['a minority, although the lease is held', { standing: 'minority' }, { lease: 'held' }, 'minority', false],
  ['withdrawn, although sole', { withdrawn: true, isSole: true }, {}, 'withdrawn', false],
  ['sole, although nothing is known', { isSole: true, hasBase: false }, {}, 'sole-site', true],
  ['after a pause', { isConfirmed: false }, {}, 'unconfirmed', false],
  ['without a base', { hasBase: false }, { lease: 'held' }, 'no-base', false],
  ['without answers', {}, { isCutOff: true }, 'cut-off', false],
  ['behind, and not quorate before', { wasQuorate: false }, { isBehind: true }, 'behind', false],
  ['behind, but quorate before', {}, { isBehind: true }, 'majority', true],
  ['alone with the lease', ALONE, { lease: 'held' }, 'lease-held', true],
  ['alone, the lease held by another', ALONE, { lease: 'held-by-other' }, 'lease-not-held', false],
  ['alone, the lease not asked for', ALONE, { lease: 'unknown' }, 'lease-not-held', false],
  ['alone in a minority without the platform', ALONE, { lease: 'unavailable' }, 'lease-not-held', false],
  [
    'alone in the base without the platform',
    { isAlone: true },
    { lease: 'unavailable' },
    'base-of-one',
    true,
  ],
  ['alone in the base, the lease not asked for', { isAlone: true }, {}, 'lease-not-held', false],
];

for (const [name, facts, evidence, verdict, quorate] of VERDICTS) {
  test(`opens flows: ${name}`, (t) => {
    const decided = decideQuorum({ ...IN_MAJORITY, ...facts }, { ...CONNECTED, ...evidence });
    t.is(decided, verdict);
    t.is(isQuorateVerdict(decided), quorate);
  });
}

const DEMANDS: readonly (readonly [string, Partial<QuorumFacts>, boolean, LeaseDemand])[] = [
  ['lowest id of a quorate region', {}, true, 'representative'],
  ['another member of it', {}, false, 'not-needed'],
  ['lowest id of a minority', { wasQuorate: false, standing: 'minority' }, true, 'not-needed'],
  ['lowest id before the first base', { wasQuorate: false, hasBase: false }, true, 'representative'],
  ['alone, standing suffices', { isAlone: true, standing: 'tie' }, true, 'alone'],
  ['alone in a minority', ALONE, true, 'too-early'],
  ['alone in a minority for long', { ...ALONE, wasAloneLong: true }, false, 'alone'],
  ['alone before the first base', { isAlone: true, hasBase: false }, true, 'too-early'],
  ['sole', { isSole: true }, true, 'not-entitled'],
  ['withdrawn', { withdrawn: true }, true, 'not-entitled'],
  ['after a pause', { isConfirmed: false }, true, 'not-entitled'],
];

for (const [name, facts, isLowest, demand] of DEMANDS) {
  test(`asks for the lease: ${name}`, (t) => {
    t.is(decideLeaseDemand({ ...IN_MAJORITY, ...facts }, isLowest), demand);
  });
}

const FOUNDER: QuorumFacts = { ...IN_MAJORITY, hasBase: false, isAlone: true, wasAloneLong: true };

test('founds a region: only alone for long, with the lease, and where no base was seen', (t) => {
  t.true(decideFounding(FOUNDER, 'held', false));
  t.false(decideFounding(FOUNDER, 'unknown', false));
  t.false(decideFounding(FOUNDER, 'unavailable', false));
  t.false(decideFounding(FOUNDER, 'held', true));
  for (const facts of [{ withdrawn: true }, { hasBase: true }, { isAlone: false }, { wasAloneLong: false }]) {
    t.false(decideFounding({ ...FOUNDER, ...facts }, 'held', false), JSON.stringify(facts));
  }
});

const STARTING: FirstBaseFacts = {
  hasSeenBase: false,
  isSole: false,
  hasPlatform: true,
  lease: 'unknown',
  hasMetMember: true,
};

const FIRST_BASES: readonly (readonly [string, Partial<FirstBaseFacts>, boolean])[] = [
  ['with the lease', { lease: 'held' }, true],
  ['the lease not asked for', {}, false],
  ['the lease held by another', { lease: 'held-by-other' }, false],
  ['no answer of the platform', { lease: 'unavailable' }, false],
  ['no platform, another member met', { hasPlatform: false, lease: 'unavailable' }, true],
  ['no platform, no member met', { hasPlatform: false, lease: 'unavailable', hasMetMember: false }, false],
  ['sole', { isSole: true, hasMetMember: false }, true],
  ['a base was seen', { hasSeenBase: true, isSole: true, lease: 'held' }, false],
];

for (const [name, facts, expected] of FIRST_BASES) {
  test(`first base: ${name}`, (t) => t.is(mayCreateFirstBase({ ...STARTING, ...facts }), expected));
}

const GRACE = { quorumGraceMs: 1_000 };
const NOW_MS = 10_000;
const SUSPECT: SilenceFacts = { suspected: true, isZoneSilent: false, suspectedSinceMs: NOW_MS - 999 };

const REACHABLE: readonly (readonly [string, SilenceFacts, boolean])[] = [
  ['not suspected', { ...SUSPECT, suspected: false, isZoneSilent: true }, true],
  ['suspected a moment ago', SUSPECT, true],
  ['suspected for the grace time', { ...SUSPECT, suspectedSinceMs: NOW_MS - 1_000 }, false],
  ['suspected in a silent zone', { ...SUSPECT, isZoneSilent: true }, false],
  ['suspected, but no suspicion runs', { ...SUSPECT, suspectedSinceMs: undefined }, false],
];

for (const [name, silence, expected] of REACHABLE) {
  test(`reachable: ${name}`, (t) => t.is(isReachableForQuorum(silence, NOW_MS, GRACE), expected));
}
