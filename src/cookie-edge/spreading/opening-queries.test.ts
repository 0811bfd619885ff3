/** Queries about openings reach the nearest peers, and their answers come back, beside the gossip. */
import test from 'ava';
import { formatEndpoint } from '../../common/types.js';
import { PEER_SEARCH_MS } from './constants.js';
import { chooseNearestPeers } from './peer-choice.js';
import { SpreadingCluster, startSettledCluster } from './spreading-test-support.js';

const QUERY = {
  sourceAddress: 0x64400007,
  sourcePort: 40_001,
  destinationAddress: 0xc6120001,
  destinationPort: 443,
  retransmissionCount: 1,
};

test('each known peer is asked about an opening and answers whether it has placed it', async (t) => {
  const cluster = await startSettledCluster(3);
  const [asking, placing] = cluster.daemons;
  if (!asking || !placing) return t.fail('no daemons');
  placing.placedOpenings.set(QUERY.sourcePort, 'a');
  const asked = asking.gossipNode.askAboutOpenings([QUERY]);
  t.is(asked.length, 2);
  await cluster.clock.advanceAsync(50, 5);
  t.deepEqual([...asking.openingAnswers.keys()].sort(), [...asked].sort());
  const { retransmissionCount: _retransmissionCount, ...flow } = QUERY;
  const answer = asking.openingAnswers.get(formatEndpoint(placing.endpoint));
  t.deepEqual(answer, { ...flow, backendId: 'a' });
  const answers = [...asking.openingAnswers.values()];
  t.is(answers.filter(({ backendId }) => backendId === undefined).length, 1);
});

test('peers of the own zone are asked first, then those that were heard of last', (t) => {
  const peer = (host: string, zone: string, heardAtMs: number) => ({
    endpoint: { host, port: 1 },
    zone,
    heardAtMs,
  });
  const peers = [peer('a', 'south', 9), peer('b', 'north', 1), peer('c', 'south', 8), peer('d', 'north', 2)];
  const hosts = chooseNearestPeers(peers, 'north', 3).map(({ endpoint }) => endpoint.host);
  t.deepEqual(hosts, ['d', 'b', 'a']);
});

test('a handshake record reaches the peers that ask about openings', async (t) => {
  const cluster = await startSettledCluster(4);
  const [sharing, ...others] = cluster.daemons;
  const { retransmissionCount: _retransmissionCount, ...flow } = QUERY;
  const record = { ...flow, backendId: 'a', acknowledgement: 0xfedc_ba98 };
  sharing?.gossipNode.shareHandshakes([record]);
  await cluster.clock.advanceAsync(50, 5);
  for (const { openingAnswers } of others) t.deepEqual([...openingAnswers.values()], [record]);
});

test('a daemon that has just started searches for peers until it hears of one, or for a limited time', async (t) => {
  const cluster = new SpreadingCluster(2);
  const alone = new SpreadingCluster(1);
  const [daemon, single] = [cluster.daemons[0]!.gossipNode, alone.daemons[0]!.gossipNode];
  t.true(daemon.isSearchingPeers);
  await cluster.clock.advanceAsync(50, 5);
  t.false(daemon.isSearchingPeers);
  await alone.clock.advanceAsync(PEER_SEARCH_MS - 5, 5);
  t.true(single.isSearchingPeers);
  await alone.clock.advanceAsync(5, 5);
  t.false(single.isSearchingPeers);
});

// Guards against packets that wait for peers at a daemon that has none.
test('a daemon without seeds does not search for peers', (t) => {
  const cluster = new SpreadingCluster(1);
  cluster.seeds.length = 0;
  t.false(cluster.daemons[0]!.gossipNode.isSearchingPeers);
});
