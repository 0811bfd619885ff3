import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import type { PacketView } from '../../fabric/types.js';
import type { Member } from '../membership/types.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { createPlacementPolicy } from '../placement/index.js';
import type { RefusalReason } from '../placement/types.js';
import { ORPHAN_WAIT_MS } from './constants.js';
import { FlowKeeper } from './flow-keeper.js';
import type { FlowComponents } from './packet-forwarder.js';
import { serviceAddress, SettingsScript } from '../testing/flow-model/settings-script.js';
import type { RefusalCause } from './types.js';

const ENDPOINT = { host: '127.0.0.1', port: 1 };
const SELF: Member = {
  id: 'node-1',
  region: 'region',
  zone: 'zone-a',
  incarnation: 1,
  state: 'active',
  settingsVersion: 1,
  control: ENDPOINT,
  data: ENDPOINT,
  admin: ENDPOINT,
};

interface Options {
  readonly maxFlows?: number;
  readonly eligible?: boolean;
  readonly limit?: RefusalReason;
}

/** Health that calls every back end healthy, eligible or not. */
function healthFeed(eligible: boolean): FlowComponents['health'] {
  return {
    health: (backendId) => ({
      backendId,
      condition: 'healthy',
      eligible,
      warmup: 1,
      reportedLoad: undefined,
      evidence: [],
    }),
    recordPassive: () => undefined,
  };
}

/** A lone balancer that serves, and the callers whose openings it reset. */
function loneKeeper({ maxFlows = 100, eligible = true, limit }: Options): {
  keeper: FlowKeeper;
  resets: number[];
} {
  const clock = new VirtualClock();
  const random = seededRandom(5);
  const resets: number[] = [];
  const settings = new SettingsScript(4).snapshot();
  const keeper = new FlowKeeper({
    selfId: SELF.id,
    zone: SELF.zone,
    clock,
    random,
    events: SILENT_EVENT_LOG,
    membership: {
      selfId: SELF.id,
      view: () => ({ sequence: 1, members: [SELF], digest: 1, quorate: true }),
      subscribe: () => () => undefined,
    },
    control: { send: () => true, handle: () => undefined, availableBytesPerSecond: () => 28_000 },
    edge: {
      sendToBackend: () => undefined,
      relay: () => undefined,
      sendReset: (packet) => resets.push(packet.sourceAddress),
      retain: (packet) => ({ ...packet }),
      close: () => Promise.resolve(),
    },
    health: healthFeed(eligible),
    policy: createPlacementPolicy('bounded-load', { clock, random }),
    settings: { current: () => settings, subscribe: () => () => undefined },
    limiter: { admit: () => limit },
    limits: { maxFlows, maxPendingOpenings: 100 },
  });
  keeper.start(new AbortController().signal);
  clock.advance(2 * ORPHAN_WAIT_MS);
  return { keeper, resets };
}

function syn(caller: number, destinationAddress: number): PacketView {
  return {
    bytes: Buffer.alloc(0),
    sourceAddress: caller,
    sourcePort: 1_024,
    destinationAddress,
    destinationPort: 80,
    syn: true,
    ack: false,
    fin: false,
    rst: false,
    hops: 0,
    relayedFrom: undefined,
  };
}

const CASES: readonly (Options & { name: RefusalCause; service?: number; opened: number })[] = [
  { name: 'balancer-flow-limit', maxFlows: 4, opened: 4 },
  { name: 'client-openings', limit: 'client-openings', opened: 0 },
  { name: 'no-eligible-backend', eligible: false, opened: 0 },
  { name: 'no-service', service: 9, opened: 0 },
];
for (const { name, service = 0, opened, ...options } of CASES) {
  test(`ten openings, ${opened} accepted, the others reset and counted as ${name}`, (t) => {
    const { keeper, resets } = loneKeeper(options);
    for (let caller = 1; caller <= 10; caller += 1) keeper.handlePacket(syn(caller, serviceAddress(service)));
    const statistics = keeper.statistics();
    t.is(statistics.opened, opened);
    t.is(statistics.refused, 10 - opened);
    t.deepEqual(statistics.refusals, { [name]: 10 - opened });
    t.is(resets.length, 10 - opened);
  });
}
