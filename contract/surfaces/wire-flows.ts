/** Messages between keepers, backups and new keepers of flows, and the records and shard sets packed into them. */
import { sailquay } from '../../src/gue-edge/flow/pb/flow.js';
import { packBatch, packPart, unpackBatch, unpackPart } from '../../src/gue-edge/flow/record-codec.js';
import {
  expandAcknowledgements,
  expandGroup,
  groupAcknowledgements,
  ShardGroupBuilder,
} from '../../src/gue-edge/flow/shard-group.js';
import { fromBitmap, packShards, toBitmap, unpackShards } from '../../src/gue-edge/flow/shard-set.js';
import { encodedAndDecoded, fromHex, mapValues, outcomeOf, toHex, toPlain } from './wire-support.js';

const { HandoverMessage, ReplicationMessage } = sailquay.flow;

type Replication = Parameters<typeof ReplicationMessage.encode>[0];
type Handover = Parameters<typeof HandoverMessage.encode>[0];

const KEYS = [0x89abcdef, 2];
const SHARD = 0xabc;

/** Records of one shard: two of the same back end, one of another. */
const RECORDS = [
  { high: 0xabc12345, low: 0xdeadbeef, backendKey: 0x89abcdef },
  { high: 0xabc00001, low: 1, backendKey: 2 },
  { high: 0xabcfffff, low: 0xffffffff, backendKey: 0x89abcdef },
];
const PUT = 0;
const REMOVE = 1;
const BATCH = RECORDS.map((record, index) => ({ ...record, operation: index === 1 ? REMOVE : PUT }));

const REPLICATION: Readonly<Record<string, Replication>> = {
  heartbeat: { heartbeat: { sentAt: 12.5, echo: 11.25, shards: 300, digest: 0x89abcdef, generation: 4 } },
  heartbeatAck: { heartbeatAck: { echo: 12.5, sentAt: 13, shards: 300, digest: 0x89abcdef, lapsed: true } },
  records: {
    records: {
      sequence: 300,
      backendKeys: KEYS,
      records: packBatch(BATCH).records,
      fromBackup: true,
      session: 0xcafe0001,
    },
  },
  recordsAck: {
    recordsAck: {
      sequence: 300,
      statuses: fromHex('000102'),
      ownKeys: KEYS,
      fromBackup: true,
      session: 0xcafe0001,
    },
  },
  assignment: { assignment: { shards: fromHex('0180') } },
  assignmentReply: { assignmentReply: { missing: fromHex('0100') } },
  baseAdvance: { baseAdvance: { baseVersion: 9, shards: packShards([1, 4_095]), oldestBaseVersion: 3 } },
  baseAdvanceAck: { baseAdvanceAck: { baseVersion: 9, shards: packShards([1, 4_095]) } },
  minimalHeartbeat: { heartbeat: {} },
  nothing: {},
};

const HEADER = {
  epoch: 0xfedcba98,
  purpose: 1,
  baseVersion: 9,
  oldestBaseVersion: 3,
  complete: true,
  trusted: true,
  learningMs: 1_500,
  generation: 4,
};
const PART = { ...HEADER, shard: SHARD, transferId: 0xcafe0001, part: 1, partCount: 2, ...packPart(RECORDS) };

function shardGroup(records: typeof RECORDS): ReturnType<ShardGroupBuilder['build']> {
  const builder = new ShardGroupBuilder(HEADER);
  builder.add({ shard: SHARD, transferId: 0xfffffffe, records });
  builder.add({ shard: 1, transferId: 3, records: [] });
  return builder.build();
}

const ACKS = [
  { shard: SHARD, transferId: 0xfffffffe, part: 1, status: 1 },
  { shard: 2, transferId: 3, part: 0, status: 1 },
  { shard: 3, transferId: 4, part: 0, status: 2 },
  { shard: 4, transferId: 5, part: 0, status: 0 },
];

const CATALOGUE_ENTRY = {
  id: KEYS[0],
  serviceId: 7,
  host: '10.1.2.3',
  port: 7_001,
  idleTimeoutMs: 300_000,
  serviceAddresses: [0x0ac80001, 0x0ac80002],
  servicePorts: [443, 80],
};

const BASE_REPLY = {
  baseVersion: 9,
  differenceFrom: 8,
  part: 1,
  partCount: 2,
  removedServiceIds: [5, 6],
  services: [{ id: 7, backends: [{ id: KEYS[0], host: '10.1.2.3', port: 7_001, weight: 2.5 }] }],
};

const HANDOVER: Readonly<Record<string, Handover>> = {
  partToBackup: { parts: { parts: [{ ...PART, purpose: 0 }] } },
  partToNextKeeper: { parts: { parts: [PART, { shard: 1 }] } },
  partOfBackup: { parts: { parts: [{ ...PART, purpose: 2, complete: false, trusted: false }] } },
  group: { parts: { groups: [shardGroup(RECORDS)] } },
  groupWithoutRecords: { parts: { groups: [shardGroup([])] } },
  acks: { acks: { acks: ACKS } },
  ackGroups: { acks: { groups: groupAcknowledgements(ACKS) } },
  catalogueRequest: { catalogueRequest: { backendKeys: KEYS } },
  catalogueReply: { catalogueReply: { entries: [CATALOGUE_ENTRY, {}] } },
  baseRequest: { baseRequest: { baseVersion: 9, knownVersions: [8, 7] } },
  baseReply: { baseReply: BASE_REPLY },
  release: { release: { shards: packShards([1, 4_095]) } },
  releaseAck: { releaseAck: { shards: packShards([1]) } },
  offer: { offer: { shards: fromHex('01') } },
  claim: { claim: { shards: fromHex('80') } },
  minimalParts: { parts: {} },
  nothing: {},
};

/** Messages of both kinds, and how groups of shards and acknowledgements are read. */
export function computeFlowMessages(): Promise<unknown> {
  const replication = (body: Replication): unknown =>
    encodedAndDecoded(ReplicationMessage.encode(body).finish(), (bytes) => ReplicationMessage.decode(bytes));
  const handover = (body: Handover): unknown =>
    encodedAndDecoded(HandoverMessage.encode(body).finish(), (bytes) => HandoverMessage.decode(bytes));
  return Promise.resolve({
    replication: mapValues(REPLICATION, replication),
    handover: mapValues(HANDOVER, handover),
    expandedGroup: toPlain(expandGroup(shardGroup(RECORDS))),
    expandedAcks: groupAcknowledgements(ACKS).map((group) => toPlain(expandAcknowledgements(group))),
  });
}

const SHARDS = [0, 1, 8, 2_748, 4_095];

/** Records and sets of shards. */
export function computeFlowRecords(): Promise<unknown> {
  const part = packPart(RECORDS);
  const batch = packBatch(BATCH);
  return Promise.resolve({
    part: { packed: toPlain(part), read: unpackPart(SHARD, part) },
    batch: { packed: toPlain(batch), read: unpackBatch(batch) },
    cutPart: outcomeOf(() => unpackPart(SHARD, { ...part, records: part.records.subarray(1) })),
    missingKey: outcomeOf(() => unpackBatch({ ...batch, backendKeys: [] })),
    shards: encodedAndDecoded(packShards(SHARDS), unpackShards),
    bitmap: { hex: toHex(toBitmap(SHARDS)), read: [...fromBitmap(toBitmap(SHARDS))] },
    unknownShard: outcomeOf(() => unpackShards(fromHex('0010'))),
  });
}
