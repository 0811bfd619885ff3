/** Which peers receive a push, and which daemons own a key. */
import test from 'ava';
import { combine32 } from '../../common/hash.js';
import { choosePushTargets, isAmongOwners, type PeerWithTurn } from './peer-choice.js';

/** A peer in a zone with a turn; its port equals the turn. */
function peerWithTurn(zone: string, turn: number): PeerWithTurn {
  return { endpoint: { host: '10.0.0.1', port: turn }, zone, heardAtMs: 0, turn };
}

const CASES: readonly {
  readonly title: string;
  readonly peers: readonly PeerWithTurn[];
  readonly turns: readonly number[];
}[] = [
  { title: 'nobody if there are no peers', peers: [], turns: [] },
  {
    title: 'peers of the zone with the lowest turns, then of other zones',
    peers: [
      peerWithTurn('b', 6),
      peerWithTurn('a', 5),
      peerWithTurn('a', 3),
      peerWithTurn('b', 2),
      peerWithTurn('a', 4),
    ],
    turns: [3, 4, 2],
  },
  {
    title: 'peers of other zones if the zone has too few',
    peers: [peerWithTurn('b', 6), peerWithTurn('a', 9), peerWithTurn('b', 2), peerWithTurn('c', 1)],
    turns: [9, 1, 2],
  },
  {
    title: 'only peers of other zones if the daemon is alone in its zone',
    peers: [peerWithTurn('b', 6), peerWithTurn('b', 2), peerWithTurn('c', 1), peerWithTurn('c', 7)],
    turns: [1, 2, 6],
  },
  {
    title: 'at most two peers of the zone, even if there are no peers of other zones',
    peers: [peerWithTurn('a', 3), peerWithTurn('a', 2), peerWithTurn('a', 1)],
    turns: [1, 2],
  },
];

for (const { title, peers, turns } of CASES) {
  test(`a push goes to: ${title}`, (t) => {
    t.deepEqual(
      choosePushTargets(peers, 'a', 2, 1).map(({ turn }) => turn),
      turns,
    );
  });
}

const KEY = 77;
const HASHES = [11, 22, 33, 44, 55] as const;
const BY_RANK = [...HASHES].sort((left, right) => combine32(KEY, right) - combine32(KEY, left));

test('the daemons with the highest ranks own a key', (t) => {
  const owners = BY_RANK.filter((self) => {
    const others = HASHES.filter((hash) => hash !== self).map((hash) => ({ hash }));
    return isAmongOwners(KEY, self, others, 2);
  });
  t.deepEqual(owners, BY_RANK.slice(0, 2));
});

test('a single daemon owns every key, a non-candidate none, and daemons of equal rank both own a key', (t) => {
  t.true(isAmongOwners(KEY, 11, [], 1));
  t.false(isAmongOwners(KEY, 11, undefined, 1));
  t.true(isAmongOwners(KEY, 11, [{ hash: 11 }], 1));
});
