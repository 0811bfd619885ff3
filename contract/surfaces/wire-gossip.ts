/** Messages between daemons on a cookie edge: each kind with every field set, and one with as little as possible. */
import { decodePeerMessage, encodePeerMessage } from '../../src/cookie-edge/spreading/message-codec.js';
import { encodedAndDecoded, fromHex, mapValues, toPlain } from './wire-support.js';

type Message = Parameters<typeof encodePeerMessage>[0];
type Update = Message['updates'][number];

const SENT_AT_MS = 1_000_000;
const ARRIVED_AT_MS = 5_000_000;
const REVISION = 2 ** 40 + 3;

const TABLE = {
  version: 17,
  revision: REVISION,
  idleTimeoutMs: 300_000,
  routes: [
    {
      name: 'web',
      address: 0x0ac80001,
      port: 443,
      allowedRegions: ['north', 'south'],
      targets: [
        { service: 'orders', weight: 0.75 },
        { service: 'orders-next', weight: 0.25 },
      ],
    },
    { name: 'mail', address: 0xc0a80001, port: 25, targets: [{ service: 'mail', weight: 1 }] },
  ],
  services: [
    { name: 'orders', maxConnections: 500, coldRequestsPerSecond: 12.5 },
    { name: 'mail', maxConnections: Number.POSITIVE_INFINITY },
  ],
} as const;

const BACKEND = {
  id: 'srv-00c0ffee',
  service: 'orders',
  endpoint: { host: '10.1.2.3', port: 7_001 },
  zone: 'a',
  capacity: 8,
  draining: true,
  coldMs: 2_500,
  createdRevision: 12,
  revision: REVISION,
};

const NO_CHANGES = { routes: [], backends: [], removals: [] } as const;

const UPDATES: Readonly<Record<string, Update>> = {
  wholeTable: {
    topic: 'routes',
    since: -1,
    update: { ...NO_CHANGES, revision: REVISION, complete: true, routes: [TABLE] },
  },
  tableChange: {
    topic: 'routes',
    since: 15,
    update: {
      ...NO_CHANGES,
      revision: REVISION,
      complete: false,
      routeChange: { ...TABLE, fromRevisions: [15, 16], removedRoutes: ['old'], digest: 0x89abcdef },
    },
  },
  backends: {
    topic: 'backends',
    since: 3,
    update: {
      ...NO_CHANGES,
      revision: REVISION,
      complete: false,
      backends: [BACKEND, { ...BACKEND, id: 'srv-2', draining: false, coldMs: 0 }],
      removals: [{ id: 'srv-3', revision: 9 }],
      departed: [{ record: { ...BACKEND, id: 'srv-4' }, departedAtMs: SENT_AT_MS - 4_000 }],
    },
  },
  cordons: {
    topic: 'cordons',
    since: 0,
    update: {
      ...NO_CHANGES,
      revision: 8,
      complete: false,
      cordons: [{ zone: 'b', revision: 7 }],
      cordonRemovals: [{ zone: 'c', revision: 8 }],
    },
  },
  nothingNew: { topic: 'backends', since: 8, update: { ...NO_CHANGES, revision: 9, complete: false } },
};

const FULL: Message = {
  type: 'news',
  senderId: 'daemon-1',
  senderZone: 'a',
  leaving: true,
  departedCount: 3,
  unsettled: false,
  confirmations: {
    routes: { revision: REVISION, changedRevision: 12, confirmedAtMs: SENT_AT_MS - 40.5 },
    backends: { revision: 21, changedRevision: 20, confirmedAtMs: SENT_AT_MS },
    cordons: { revision: -1, changedRevision: -1, confirmedAtMs: Number.NEGATIVE_INFINITY },
  },
  readers: [{ id: 'daemon-2', confirmedAtMs: SENT_AT_MS - 150 }],
  peers: [{ endpoint: { host: '10.0.0.9', port: 9_101 }, zone: 'b', heardAtMs: SENT_AT_MS - 900 }],
  updates: Object.values(UPDATES),
  suspicions: [{ backendId: 'srv-5', atMs: SENT_AT_MS - 250 }],
  loads: [
    {
      page: 2,
      measuredAtMs: SENT_AT_MS - 700,
      validMs: 9_000,
      busy: [
        { tag: 0xabc, level: 2.5 },
        { tag: 1, level: 1.26 },
      ],
    },
  ],
  badAnswers: [{ backendId: 'srv-6', observer: 0xfedcba98, atMs: SENT_AT_MS - 35 }],
  tableRevision: REVISION,
};

const MINIMAL: Message = {
  type: 'news',
  senderId: 'd',
  senderZone: '',
  leaving: false,
  departedCount: 0,
  unsettled: false,
  tableRevision: -1,
  confirmations: {},
  readers: [],
  peers: [],
  updates: [],
  suspicions: [],
  loads: [],
  badAnswers: [],
};

const PULL: Message = { ...MINIMAL, type: 'pull', confirmations: FULL.confirmations, tableRevision: 15 };

const MESSAGES: Readonly<Record<string, Message>> = {
  news: FULL,
  pull: PULL,
  state: { ...FULL, type: 'state', leaving: false },
  minimalNews: MINIMAL,
  minimalPull: { ...MINIMAL, type: 'pull' },
  minimalState: { ...MINIMAL, type: 'state' },
  newsFromTheFuture: { ...MINIMAL, readers: [{ id: 'daemon-2', confirmedAtMs: SENT_AT_MS + 10 }] },
  ...Object.fromEntries(
    Object.entries(UPDATES).map(([name, update]) => [`update: ${name}`, { ...MINIMAL, updates: [update] }]),
  ),
};

/** Messages that others may send: an unknown kind, no sender, an unknown field, cut off. */
const STRANGE_MESSAGES = {
  unknownKind: '0809 120164',
  noSender: '0801',
  unknownField: '0801 120164 a20604 01020304',
  cut: '0801 120564',
} as const;

const decode = (bytes: Uint8Array): unknown => decodePeerMessage(bytes, ARRIVED_AT_MS) ?? 'malformed';

/** The messages by their kinds. */
export function computeGossip(): Promise<unknown> {
  const encode = (message: Message): unknown =>
    encodedAndDecoded(encodePeerMessage(message, SENT_AT_MS), decode);
  return Promise.resolve({
    messages: mapValues(MESSAGES, encode),
    strange: mapValues(STRANGE_MESSAGES, (digits) => toPlain(decode(fromHex(digits)))),
  });
}
