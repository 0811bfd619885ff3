import test from 'ava';
import { MAX_YIELDED_OPENINGS } from './constants.js';
import { YieldedOpenings } from './yielded-openings.js';

const QUERY = {
  sourceAddress: 1,
  sourcePort: 40_001,
  destinationAddress: 2,
  destinationPort: 443,
  retransmissionCount: 1,
};

test('only earlier copies of a SYN that was left to a peer are superseded, until the attempt ends', (t) => {
  const openings = new YieldedOpenings();
  t.false(openings.hasYielded(QUERY, 0, 0));
  openings.add(QUERY, 0, 1_400);
  t.true(openings.hasYielded(QUERY, 0, 10));
  t.false(openings.hasYielded(QUERY, 1, 10), 'the same copy');
  t.false(openings.hasYielded({ ...QUERY, sourcePort: 40_002 }, 0, 10), 'another flow');
  t.false(openings.hasYielded(QUERY, 0, 1_400), 'after the attempt');
});

test('the oldest opening is forgotten when there are too many', (t) => {
  const openings = new YieldedOpenings();
  for (let sourcePort = 0; sourcePort <= MAX_YIELDED_OPENINGS; sourcePort += 1) {
    openings.add({ ...QUERY, sourcePort }, 0, 1_400);
  }
  t.false(openings.hasYielded({ ...QUERY, sourcePort: 0 }, 0, 10));
  t.true(openings.hasYielded({ ...QUERY, sourcePort: 1 }, 0, 10));
});
