/**
 * Messages between balancers of a fleet, but those about flows: envelope, membership, health, tree and its
 * spreading.
 */
import { inflateRawSync } from 'node:zlib';
import { openEnvelope, sealEnvelope } from '../../src/gue-edge/control/envelope.js';
import { KeyRing } from '../../src/gue-edge/control/key-ring.js';
import { decodeNodeSet, encodeNodeSet } from '../../src/gue-edge/dissemination/node-set.js';
import { sailquay as disseminationMessages } from '../../src/gue-edge/dissemination/pb/dissemination.js';
import { decodeStamp, encodeStamp, NO_TREE } from '../../src/gue-edge/dissemination/stamp.js';
import { hashNode, TreeDigest } from '../../src/gue-edge/dissemination/tree-digest.js';
import { decodeUpdate, encodeUpdate } from '../../src/gue-edge/health/message.js';
import {
  decodeEntry,
  decodeMessage,
  encodeEntry,
  encodeMessage,
} from '../../src/gue-edge/membership/wire.js';
import { decodeDelta, decodeNode, encodeDelta, encodeNode } from '../../src/settings/codec.js';
import { encodedAndDecoded, fromHex, mapValues, outcomeOf, toHex, toPlain } from './wire-support.js';

const RECIPIENT = '10.0.0.2:9100';

function keyRing(active: number, ids: readonly number[]): KeyRing {
  const keys = ids.map((id) => ({ id, secret: Buffer.alloc(32, id).toString('base64') }));
  return KeyRing.parse(JSON.stringify({ active, keys })).unwrapOrElse((error) => {
    throw error;
  });
}

type Envelope = Parameters<typeof sealEnvelope>[0];

const ENVELOPE: Envelope = {
  versionMin: 1,
  versionMax: 3,
  senderId: 'balancer-1',
  senderIncarnation: 1_700_000_000_123,
  sequence: 300,
  wallSeconds: 1_700_000_500,
  kind: 'membership',
  payload: Buffer.from('payload'),
};

const KINDS = ['membership', 'dissemination', 'replication', 'handover', 'health', 'status'] as const;

const ENVELOPES: Readonly<Record<string, Envelope>> = {
  ...Object.fromEntries(KINDS.map((kind) => [kind, { ...ENVELOPE, kind }])),
  longSequence: { ...ENVELOPE, sequence: 2 ** 40 + 5 },
  withoutPayload: { ...ENVELOPE, senderId: 'b', sequence: 1, payload: Buffer.alloc(0) },
};

/**
 * Control datagrams of each kind, signed with a fixed key, and what receivers with other keys or addresses make of
 * one.
 */
export function computeControlEnvelopes(): Promise<unknown> {
  const keys = keyRing(7, [7]);
  const open = (bytes: Uint8Array): unknown => openEnvelope(bytes, RECIPIENT, keys);
  const bytes = sealEnvelope(ENVELOPE, RECIPIENT, keys);
  const forged = Buffer.from(bytes);
  forged[forged.length - 1]! ^= 1;
  return Promise.resolve({
    sealed: mapValues(ENVELOPES, (envelope) =>
      encodedAndDecoded(sealEnvelope(envelope, RECIPIENT, keys), open),
    ),
    withHighKeyId: toHex(sealEnvelope(ENVELOPE, RECIPIENT, keyRing(300, [7, 300]))),
    rejected: mapValues(
      {
        forged: openEnvelope(forged, RECIPIENT, keys),
        otherAddress: openEnvelope(bytes, '10.0.0.3:9100', keys),
        otherKeys: openEnvelope(bytes, RECIPIENT, keyRing(8, [8])),
        cut: openEnvelope(bytes.subarray(0, 10), RECIPIENT, keys),
      },
      toPlain,
    ),
  });
}

type MemberRecord = Parameters<typeof encodeEntry>[0];
type MembershipFields = Parameters<typeof encodeMessage>[0];

const LIFECYCLES = ['joining', 'active', 'leaving', 'failed', 'left'] as const;
const ID_HASH = 0x89abcdef;
const ACCUSER_HASH = 0xfedcba98;

function memberRecord(changes: Partial<MemberRecord> = {}): MemberRecord {
  const identity = {
    id: 'balancer-1',
    zone: 'a',
    control: { host: '10.0.0.1', port: 9_100 },
    admin: { host: '10.0.0.1', port: 9_200 },
    data: { host: '10.0.0.1', port: 6_080 },
  };
  return {
    identity,
    idHash: ID_HASH,
    incarnation: 1_700_000_000_123,
    refutation: 2,
    lifecycle: 'active',
    suspected: false,
    changedAtMs: 5,
    ...changes,
  };
}

function recordWithOwnHosts(): MemberRecord {
  const { identity } = memberRecord();
  const data = { host: '192.168.7.9', port: 65_535 };
  return memberRecord({ identity: { ...identity, admin: { host: '10.9.0.1', port: 1 }, data } });
}

const readEntry = (bytes: Uint8Array): unknown => decodeEntry(bytes, (id) => id.length) ?? 'malformed';

function membershipEntries(): unknown {
  const states = LIFECYCLES.map((lifecycle) => {
    const record = memberRecord({ lifecycle });
    return [lifecycle, encodedAndDecoded(encodeEntry(record, false), readEntry)] as const;
  });
  const suspected = memberRecord({ suspected: true });
  return {
    states: Object.fromEntries(states),
    suspected: encodedAndDecoded(encodeEntry(suspected, false, ACCUSER_HASH), readEntry),
    introduced: encodedAndDecoded(encodeEntry(memberRecord(), true), readEntry),
    introducedSuspected: encodedAndDecoded(encodeEntry(suspected, true, ACCUSER_HASH), readEntry),
    ownHosts: encodedAndDecoded(encodeEntry(recordWithOwnHosts(), true), readEntry),
    firstBoot: encodedAndDecoded(encodeEntry(memberRecord({ refutation: 0 }), false), readEntry),
    unknownState: toPlain(readEntry(fromHex('15efcdab89 3807'))),
  };
}

/** Message types by their numbers on the wire. */
const MESSAGE_TYPES = {
  ping: 1,
  ack: 2,
  indirectPing: 3,
  negativeAck: 4,
  gossip: 5,
  syncRequest: 6,
  syncState: 7,
  quorumBaseRequest: 8,
  quorumBase: 9,
} as const;

const FULL_MEMBERSHIP: MembershipFields = {
  sequence: 77,
  regionHash: 0x01020304,
  settingsVersion: 12,
  targetHash: ID_HASH,
  entries: [fromHex('0a0162'), fromHex('0a0163')],
  bucketDigests: [1, ACCUSER_HASH],
  wantedBuckets: 0x80000001,
  baseEpoch: 4,
  baseMembers: [ID_HASH, 2],
  part: 1,
  parts: 2,
};

/** Messages of membership, and the entries in them. */
export function computeMembership(): Promise<unknown> {
  const read = (bytes: Uint8Array): unknown => decodeMessage(bytes) ?? 'malformed';
  const message = (type: number): unknown => ({
    full: encodedAndDecoded(encodeMessage({ ...FULL_MEMBERSHIP, type }), read),
    minimal: encodedAndDecoded(encodeMessage({ type, regionHash: 0x01020304 }), read),
  });
  return Promise.resolve({ messages: mapValues(MESSAGE_TYPES, message), entries: membershipEntries() });
}

const VOTE = {
  memberHash: ID_HASH,
  backendId: 0xcafe0001,
  version: 0xfffffff0,
  verdict: 1,
  passiveFailures: 3,
  load: { openFlows: 200, capacity: 300, sampledAtMs: 9_250 },
  learnedAtMs: 100,
};

const HEALTH_UPDATES: Readonly<Record<string, Parameters<typeof encodeUpdate>[0]>> = {
  votes: {
    votes: [
      VOTE,
      { ...VOTE, backendId: 2, verdict: 2, load: undefined },
      { ...VOTE, memberHash: 1, verdict: 0, passiveFailures: 0, version: 1 },
    ],
    digest: [],
    answer: false,
  },
  digest: { votes: [], digest: [0, 1, ACCUSER_HASH], answer: false },
  answer: { votes: [VOTE], digest: [5], answer: true },
  nothing: { votes: [], digest: [], answer: false },
};

/** Messages about the health of back ends. */
export function computeHealth(): Promise<unknown> {
  const read = (bytes: Uint8Array): unknown => decodeUpdate(bytes, 50_000);
  return Promise.resolve({
    updates: mapValues(HEALTH_UPDATES, (update) => encodedAndDecoded(encodeUpdate(update, 10_000), read)),
    unknownVerdict: outcomeOf(() => read(fromHex('0a09 0d01000000 1202 1807'))),
  });
}

type TreeNode = Parameters<typeof encodeNode>[0];

/** A value of each form for fields that the fields' numbers name, an unknown number and a name without number. */
const BACKEND_FIELDS: TreeNode['fields'] = {
  address: '10.1.2.3:443',
  endpoint: '10.1.2.4:7000',
  healthEndpoint: 'no endpoint',
  zone: 'zone-a',
  weight: 2.5,
  maxConnections: null,
  slots: 8,
  draining: true,
  unknownFlow: 'reset',
  idleTimeoutMs: 300_000,
  zonePreference: 0,
  'limits.maxConnections': 2 ** 31,
  'limits.openingsPerSecond': -5,
  'limits.openingsPerSecondPerClient': 2_147_483_647,
  'limits.retryBudgetShare': 0.2,
  'health.probeIntervalMs': 1_000,
  'health.probeTimeoutMs': 250,
  'health.unhealthyThreshold': 3,
  'health.healthyThreshold': 2,
  'health.maxEjectedShare': 0.5,
  'health.panicShare': 0.1,
  'health.slowStartMs': 0,
  '#999': 'newer',
  unnumbered: false,
};

const TREE_NODES: Readonly<Record<string, TreeNode>> = {
  defaults: { path: '', kind: 'defaults', fields: {} },
  site: { path: 'north', kind: 'site', fields: { slots: 4 } },
  service: { path: 'north/orders', kind: 'service', parent: '', fields: { address: '10.1.2.3:443' } },
  backend: {
    path: 'north/orders/b1',
    kind: 'backend',
    parent: 'south/orders',
    fields: BACKEND_FIELDS,
  },
};

type TreeDelta = Parameters<typeof encodeDelta>[0];

const TREE_DELTAS: Readonly<Record<string, TreeDelta>> = {
  nothing: { changes: [] },
  set: {
    changes: [
      { path: 'north', field: 'slots', before: 1, after: 2 },
      { path: 'north/orders', field: 'address', after: '10.1.2.3:80' },
      { path: 'north', field: 'zone', before: 'a' },
    ],
  },
  added: {
    changes: [
      { path: 'west', field: '$kind', after: 'site' },
      { path: 'west', field: '$parent', after: 'north' },
    ],
  },
  removed: {
    changes: [
      { path: 'west', field: 'slots', before: 2 },
      { path: 'west', field: '$kind', before: 'site' },
    ],
  },
};

/** Nodes and deltas of the settings tree, and the digest of a set of nodes. */
export function computeTreeCodec(): Promise<unknown> {
  const readNode = (bytes: Uint8Array): unknown => decodeNode(bytes).unwrapOr('malformed' as never);
  const readDelta = (bytes: Uint8Array): unknown => decodeDelta(bytes).unwrapOr('malformed' as never);
  const digest = new TreeDigest();
  for (const node of Object.values(TREE_NODES)) digest.add(hashNode(encodeNode(node)));
  return Promise.resolve({
    nodes: mapValues(TREE_NODES, (node) => encodedAndDecoded(encodeNode(node), readNode)),
    fields: mapValues(BACKEND_FIELDS, (value, name) =>
      toHex(encodeNode({ path: 'n', kind: 'site', fields: { [name]: value } })),
    ),
    deltas: mapValues(TREE_DELTAS, (delta) => encodedAndDecoded(encodeDelta(delta), readDelta)),
    unknownKind: toPlain(readNode(fromHex('0a016e 1009'))),
    digest: digest.text(),
  });
}

const { Message } = disseminationMessages.dissemination;
const STAMP = {
  version: 2 ** 33 + 1,
  readerToken: 9,
  digest: '0123456789abcdef',
  acceptedAtWallMs: 1_700_000_000_123,
  nodeCount: 40,
};
const EARLIER = { ...STAMP, version: 5, readerToken: 8 };

const DISSEMINATION_BODIES: Readonly<Record<string, Parameters<typeof Message.encode>[0]>> = {
  announcement: {
    announcement: { stamp: encodeStamp(STAMP), base: encodeStamp(EARLIER), delta: fromHex('010203') },
  },
  announcementAlone: { announcement: { stamp: encodeStamp(STAMP) } },
  probe: { probe: { stamp: encodeStamp(STAMP) } },
  probeWithoutTree: { probe: { stamp: encodeStamp(NO_TREE) } },
  pullRequest: {
    pullRequest: {
      requestId: ID_HASH,
      have: encodeStamp(EARLIER),
      target: encodeStamp(STAMP),
      offset: 1_000,
    },
  },
  pullChunk: {
    pullChunk: {
      requestId: ID_HASH,
      base: encodeStamp(EARLIER),
      target: encodeStamp(STAMP),
      offset: 1_000,
      totalBytes: 1_003,
      data: fromHex('0a0b0c'),
    },
  },
  nothing: {},
};

/** A node set with one node and one removed path as this release compressed it when the surface was recorded. */
const COMPRESSED_NODE_SET = 'e3e2e762cdcb2f2ac91060d462e16057e01062294f2d2e11e20691faf94529a945c500';

/** The node set without its compression, of which other releases of zlib may find another form. */
function nodeSetForms(): unknown {
  const node = encodeNode({ path: 'north', kind: 'site', fields: { slots: 4 } });
  const changes = { nodes: new Map([['north', node]]), removedPaths: new Set(['west', 'west/orders']) };
  return {
    inflated: toHex(inflateRawSync(encodeNodeSet(changes))),
    decoded: toPlain(decodeNodeSet(fromHex(COMPRESSED_NODE_SET))),
  };
}

/** Messages that spread the settings tree. */
export function computeDissemination(): Promise<unknown> {
  return Promise.resolve({
    messages: mapValues(DISSEMINATION_BODIES, (body) =>
      encodedAndDecoded(Message.encode(body).finish(), (bytes) => Message.decode(bytes)),
    ),
    stamps: mapValues(
      { full: encodeStamp(STAMP), noTree: encodeStamp(NO_TREE), absent: undefined },
      (stamp) => toPlain(decodeStamp(stamp)),
    ),
    badStamp: outcomeOf(() => decodeStamp({ ...encodeStamp(STAMP), digest: fromHex('01') })),
    nodeSet: nodeSetForms(),
  });
}
