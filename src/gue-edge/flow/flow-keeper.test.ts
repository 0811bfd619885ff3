import test from 'ava';
import type { SimulatedChannel } from '../testing/simulated-network.js';
import { backendKey } from './backend-catalogue.js';
import { fingerprintFlow, shardOf } from './flow-key.js';
import { ModelCluster } from '../testing/flow-model/model-cluster.js';
import type { ModelOptions } from '../testing/flow-model/model-world.js';
import type { ModelFlow } from '../testing/flow-model/model-flow.js';
import { serviceAddress } from '../testing/flow-model/settings-script.js';
import { sailquay } from './pb/flow.js';
import { packPart } from './record-codec.js';

const START_MS = 9_000;

/** A pace at which replication and hand-over take no time to speak of; the last test uses the daemon's own. */
const FAST_BYTES_PER_SECOND = 1_000_000;
const DAEMON_BYTES_PER_SECOND = 28_000;

const QUIET: ModelOptions = {
  seed: 7,
  nodes: 3,
  lossRate: 0,
  spreadMs: 0,
  resetRate: 0,
  sprayRate: 1,
  budgetBytesPerSecond: FAST_BYTES_PER_SECOND,
};

async function startCluster(options: Partial<ModelOptions> = {}): Promise<ModelCluster> {
  const cluster = new ModelCluster({ ...QUIET, ...options });
  await cluster.runAsync(START_MS);
  return cluster;
}

async function openFlows(cluster: ModelCluster, count: number): Promise<ModelFlow[]> {
  const flows = Array.from({ length: count }, () => cluster.openFlow());
  await cluster.runAsync(1_000);
  return flows;
}

/** Number of the given flows that a data packet of theirs still reaches. */
async function countReached(cluster: ModelCluster, flows: readonly ModelFlow[]): Promise<number> {
  const before = flows.map((flow) => flow.delivered);
  await cluster.runAsync(3_000);
  return flows.filter((flow, index) => flow.delivered > before[index]!).length;
}

function total(
  cluster: ModelCluster,
  field: 'opened' | 'refused' | 'deferred' | 'exceptions' | 'retried',
): number {
  return cluster.nodes.reduce((sum, node) => sum + node.keeper.statistics()[field], 0);
}

test('shards are kept and backed up once each, and a sprayed SYN opens one flow', async (t) => {
  const cluster = await startCluster();
  const statistics = cluster.nodes.map((node) => node.keeper.statistics());
  t.is(
    statistics.reduce((sum, node) => sum + node.shardsKept, 0),
    4_096,
  );
  t.is(
    statistics.reduce((sum, node) => sum + node.shardsBackedUp, 0),
    4_096,
  );
  t.true(cluster.nodes.every((node) => node.keeper.isServing()));
  const flows = await openFlows(cluster, 60);
  t.true(flows.every((flow) => flow.established));
  t.is(total(cluster, 'opened'), 60);
  t.is(await countReached(cluster, flows), 60);
  t.deepEqual(cluster.violations, []);
});

test('nothing is opened before the shards are held', async (t) => {
  const cluster = new ModelCluster(QUIET);
  await cluster.runAsync(2_000);
  const flow = cluster.openFlow();
  await cluster.runAsync(500);
  t.false(flow.established);
  t.false(cluster.nodes.some((node) => node.keeper.isServing()));
  t.is(total(cluster, 'opened'), 0);
});

test('a removed or draining back end keeps its flows and gets no new ones', async (t) => {
  const cluster = await startCluster();
  const flows = await openFlows(cluster, 80);
  const [removed, drained] = cluster.settings.backends;
  removed!.removed = true;
  drained!.draining = true;
  cluster.settings.version += 1;
  for (const node of cluster.nodes) node.apply(cluster.settings.snapshot());
  const later = await openFlows(cluster, 80);
  const gone = [removed!.port, drained!.port];
  t.true(flows.some((flow) => gone.includes(flow.acceptedBy!)));
  t.false(later.some((flow) => gone.includes(flow.acceptedBy!)));
  t.true(later.every((flow) => flow.established));
  t.is(await countReached(cluster, [...flows, ...later]), 160);
  t.deepEqual(cluster.violations, []);
});

test('a removed service refuses openings and keeps its established flows', async (t) => {
  const cluster = await startCluster();
  const flows = await openFlows(cluster, 40);
  const { services } = cluster.settings.snapshot();
  const remaining = services.filter((service) => service.address.host !== '10.0.0.1');
  for (const node of cluster.nodes) node.apply({ version: 2, services: remaining });
  const later = await openFlows(cluster, 40);
  for (const flow of later) t.is(flow.established, flow.serviceIndex === 1);
  t.true(total(cluster, 'refused') > 0);
  t.is(await countReached(cluster, flows), 40);
});

test('an opening that a back end resets is repeated on another one, and the caller does not see the reset', async (t) => {
  const cluster = await startCluster({ resetRate: 0.3, sprayRate: 0 });
  const flows = await openFlows(cluster, 100);
  const reset = flows.filter((flow) => flow.ended).length;
  t.true(total(cluster, 'retried') > 10, `${total(cluster, 'retried')} retries`);
  t.true(reset < 25, `${reset} of 100 callers saw a reset`);
  t.deepEqual(cluster.violations, []);
});

test('without a quorum nothing is opened, and known flows go on', async (t) => {
  const cluster = await startCluster();
  const flows = await openFlows(cluster, 30);
  for (const node of cluster.nodes) node.setQuorate(false);
  const later = await openFlows(cluster, 10);
  t.false(later.some((flow) => flow.established));
  t.false(cluster.nodes.some((node) => node.keeper.isServing()));
  t.is(await countReached(cluster, flows), 30);
});

test('without a quorum the SYN of a flow that no back end has answered goes nowhere', async (t) => {
  const cluster = await startCluster();
  const flow = cluster.openFlow();
  let syns = 0;
  flow.onBackendPacket = () => {
    syns += 1;
  };
  await cluster.runAsync(500);
  t.true(syns > 0);
  for (const node of cluster.nodes) node.setQuorate(false);
  const before = syns;
  await cluster.runAsync(3_000);
  t.is(syns, before);
});

test('a planned leave gives every shard away and breaks nothing', async (t) => {
  const cluster = await startCluster();
  const flows = await openFlows(cluster, 100);
  cluster.leave(cluster.nodes[0]!);
  await cluster.runAsync(6_000);
  t.is(cluster.liveNodes().length, 2);
  t.is(await countReached(cluster, flows), 100);
  t.deepEqual(cluster.violations, []);
});

test('after a crash the flows of the lost keeper stay with their back ends', async (t) => {
  const cluster = await startCluster();
  const flows = await openFlows(cluster, 150);
  t.true(total(cluster, 'exceptions') > 0);
  cluster.crash(cluster.nodes[1]!);
  await cluster.runAsync(9_000);
  t.is(await countReached(cluster, flows), 150);
  t.true(cluster.liveNodes().every((node) => node.keeper.isServing()));
  t.deepEqual(cluster.violations, []);
});

test('after a zone was cut off every flow stays with its back end and every shard opens flows again', async (t) => {
  const cluster = await startCluster();
  const before = await openFlows(cluster, 100);
  cluster.partition('zone-b', 9_000);
  await cluster.runAsync(6_500);
  const during = await openFlows(cluster, 100);
  await cluster.runAsync(20_000);
  const flows = [...before, ...during.filter((flow) => flow.established)];
  t.true(flows.length > 140, `${flows.length} flows`);
  t.is(await countReached(cluster, flows), flows.length);
  const after = await openFlows(cluster, 100);
  t.true(after.every((flow) => flow.established));
  t.deepEqual(cluster.violations, []);
});

test('a reset answers an unknown flow only where it would surely be known', async (t) => {
  const cluster = await startCluster();
  const { services } = cluster.settings.snapshot();
  // A table is complete once every flow that it may lack has been idle for too long.
  const shortIdle = services.map((service) => ({ ...service, idleTimeoutMs: 10_000 }));
  for (const node of cluster.nodes) node.apply({ version: 2, services: shortIdle });
  const resets = (): number =>
    cluster.nodes.reduce((sum, node) => sum + node.keeper.statistics().unknownReset, 0);
  const strangers = Array.from({ length: 40 }, () => cluster.openFlow());
  const send = async (flows: readonly ModelFlow[]): Promise<number> => {
    const before = resets();
    for (const flow of flows) cluster.spray({ ...strangerPacket, sourceAddress: flow.index });
    await cluster.runAsync(500);
    return resets() - before;
  };
  t.is(await send(strangers), 0, 'the shards were started without records');
  await cluster.runAsync(60_000);
  // A backup that relayed a packet to the keeper is not asked again, so some packets get no answer.
  t.true((await send(strangers)) > strangers.length / 2, 'the shards have been complete for a learning time');
  const [leaving] = cluster.nodes;
  const moving = strangers.filter((flow) => leaving!.keeper.baseVersionOf(strangerShard(flow)) !== undefined);
  t.true(moving.length > 0);
  cluster.leave(leaving!);
  await cluster.runAsync(6_000);
  t.is(await send(moving), 0, 'the shards were received a moment ago');
});

test('a record that names a back end of another service is not used', async (t) => {
  const cluster = await startCluster({ nodes: 1 });
  const node = cluster.nodes[0]!;
  const flow = { caller: 200, port: 1_024 + 200 };
  const fingerprint = { high: 0, low: 0 };
  fingerprintFlow(flow.caller, flow.port, serviceAddress(0), 80, fingerprint);
  const wrong = cluster.settings.snapshot().services.find((service) => service.address.host === '10.0.0.2')!;
  const [backend] = wrong.backends;
  const record = { ...fingerprint, backendKey: backendKey(backend!.id, backend!.endpoint) };
  const part = {
    shard: shardOf(fingerprint.high),
    epoch: 0xffff_0000,
    purpose: sailquay.flow.ShardPurpose.TRANSFER,
    transferId: 1,
    partCount: 1,
    baseVersion: 1,
    oldestBaseVersion: 1,
    trusted: true,
    ...packPart([record]),
  };
  const payload = sailquay.flow.HandoverMessage.encode({ parts: { parts: [part] } }).finish();
  node.parts.channel.deliver({
    kind: 'handover',
    wireBytes: payload.length,
    message: {
      senderId: 'node-9',
      senderIncarnation: 1,
      from: { host: '127.0.0.9', port: 7_000 },
      payload,
      protocolVersion: 1,
    },
  });
  const packet = { ...dataPacket, sourceAddress: flow.caller, sourcePort: flow.port };
  while (cluster.flows.length <= flow.caller) cluster.openFlow();
  node.receive(packet);
  t.is(node.keeper.statistics().wrongServiceRecords, 1);
  t.deepEqual(cluster.violations, []);
});

test('at the byte budget of a daemon the start and a planned leave take a bounded time', async (t) => {
  const cluster = new ModelCluster({ ...QUIET, budgetBytesPerSecond: DAEMON_BYTES_PER_SECOND });
  await cluster.runAsync(8_000);
  const backedUp = cluster.nodes.reduce((sum, node) => sum + node.keeper.statistics().shardsBackedUp, 0);
  t.is(backedUp, 4_096);
  const flows = await openFlows(cluster, 100);
  cluster.leave(cluster.nodes[0]!);
  await cluster.runAsync(4_000);
  t.is(cluster.liveNodes().length, 2);
  t.is(await countReached(cluster, flows), 100);
  t.deepEqual(cluster.violations, []);
});

test('a balancer that does not know groups of shards is sent them one by one', async (t) => {
  const cluster = new ModelCluster(QUIET);
  for (const node of cluster.nodes) ignoreGroups(node.parts.channel);
  await cluster.runAsync(START_MS);
  const flows = await openFlows(cluster, 60);
  t.true(flows.every((flow) => flow.established));
  cluster.leave(cluster.nodes[0]!);
  await cluster.runAsync(18_000);
  t.is(cluster.liveNodes().length, 2);
  t.is(await countReached(cluster, flows), 60);
  t.deepEqual(cluster.violations, []);
});

const dataPacket = {
  bytes: Buffer.alloc(0),
  sourceAddress: 0,
  destinationAddress: serviceAddress(0),
  sourcePort: 0,
  destinationPort: 80,
  syn: false,
  ack: true,
  fin: false,
  rst: false,
  hops: 0,
  relayedFrom: undefined,
};

/** A packet of a flow that nobody has opened. */
const strangerPacket = { ...dataPacket, sourcePort: 9 };

function strangerShard(flow: ModelFlow): number {
  const fingerprint = { high: 0, low: 0 };
  const { sourcePort, destinationAddress, destinationPort } = strangerPacket;
  fingerprintFlow(flow.index, sourcePort, destinationAddress, destinationPort, fingerprint);
  return shardOf(fingerprint.high);
}

/** Makes a channel deliver what a balancer of the version before groups would understand of a message. */
function ignoreGroups(channel: SimulatedChannel): void {
  const deliver = channel.deliver.bind(channel);
  channel.deliver = (delivery) => {
    if (delivery.kind !== 'handover') return deliver(delivery);
    const message = sailquay.flow.HandoverMessage.decode(delivery.message.payload);
    if (message.parts) message.parts.groups = [];
    if (message.acks) message.acks.groups = [];
    const payload = sailquay.flow.HandoverMessage.encode(message).finish();
    deliver({ ...delivery, message: { ...delivery.message, payload } });
  };
}
