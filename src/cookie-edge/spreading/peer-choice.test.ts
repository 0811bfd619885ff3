/** Which peers get a push, and which daemons own a key. */
import test from 'ava';
import { combine32 } from '../../common/hash.js';
import { choosePeersOfPush, isAmongOwners, type PeerWithTurn } from './peer-choice.js';

/** A peer in a zone with a turn; its port equals the turn. */
function peer(zone: string, turn: number): PeerWithTurn {
  return { endpoint: { host: '10.0.0.1', port: turn }, zone, heardAtMs: 0, turn };
}

const CASES: readonly {
  readonly title: string;
  readonly peers: readonly PeerWithTurn[];
  readonly turns: readonly number[];
}[] = [
  { title: 'nobody without peers', peers: [], turns: [] },
  {
    title: 'the lowest turns of the zone, then of others',
    peers: [peer('b', 6), peer('a', 5), peer('a', 3), peer('b', 2), peer('a', 4)],
    turns: [3, 4, 2],
  },
  {
    title: 'others get the places that the zone leaves empty',
    peers: [peer('b', 6), peer('a', 9), peer('b', 2), peer('c', 1)],
    turns: [9, 1, 2],
  },
  {
    title: 'only others for a daemon alone in its zone',
    peers: [peer('b', 6), peer('b', 2), peer('c', 1), peer('c', 7)],
    turns: [1, 2, 6],
  },
  {
    title: 'no more of the zone than its part',
    peers: [peer('a', 3), peer('a', 2), peer('a', 1)],
    turns: [1, 2],
  },
];

for (const { title, peers, turns } of CASES) {
  test(`a push goes to: ${title}`, (t) => {
    t.deepEqual(
      choosePeersOfPush(peers, 'a', 2, 1).map(({ turn }) => turn),
      turns,
    );
  });
}

const KEY = 77;
const HASHES = [11, 22, 33, 44, 55] as const;
const BY_RANK = [...HASHES].sort((left, right) => combine32(KEY, right) - combine32(KEY, left));

test('the daemons of the highest ranks own a key', (t) => {
  const owners = BY_RANK.filter((self) => {
    const others = HASHES.filter((hash) => hash !== self).map((hash) => ({ hash }));
    return isAmongOwners(KEY, self, others, 2);
  });
  t.deepEqual(owners, BY_RANK.slice(0, 2));
});

test('a daemon alone owns every key, one that is no candidate none, and equal ranks both own it', (t) => {
  t.true(isAmongOwners(KEY, 11, [], 1));
  t.false(isAmongOwners(KEY, 11, undefined, 1));
  t.true(isAmongOwners(KEY, 11, [{ hash: 11 }], 1));
});
