import test from 'ava';
import { VirtualClock } from '../../../common/clock.js';
import { seededRandom } from '../../../common/random.js';
import type { PacketView } from '../../../fabric/types.js';
import { SILENT_EVENT_LOG } from '../../../observability/event.js';
import { createPlacementPolicy } from '../../placement/index.js';
import type { PlacementMode } from '../../placement/types.js';
import type { EffectiveSettings } from '../../../settings/types.js';
import { createForwarder } from '../create-forwarder.js';
import { FlowKeeper } from '../flow-keeper.js';
import { serviceAddress, SettingsScript } from '../../testing/flow-model/settings-script.js';
import type { FlowComponents } from '../packet-forwarder.js';
import { LocalTableForwarder } from './local-table-forwarder.js';
import { RendezvousForwarder } from './rendezvous-forwarder.js';

interface Fixture {
  readonly components: FlowComponents;
  readonly sent: { readonly caller: number; readonly port: number }[];
  readonly resets: number[];
  readonly apply: (settings: EffectiveSettings) => void;
}

/** Health that calls every back end healthy. */
function healthFeed(): FlowComponents['health'] {
  return {
    health: (backendId) => ({
      backendId,
      condition: 'healthy',
      eligible: true,
      warmup: 1,
      reportedLoad: undefined,
      evidence: [],
    }),
    recordPassive: () => undefined,
  };
}

function fixture(script: SettingsScript): Fixture {
  const clock = new VirtualClock();
  const random = seededRandom(11);
  const sent: { caller: number; port: number }[] = [];
  const resets: number[] = [];
  let listener: (settings: EffectiveSettings) => void = () => undefined;
  const components: FlowComponents = {
    selfId: 'node-1',
    zone: 'zone-a',
    clock,
    random,
    membership: {
      selfId: 'node-1',
      view: () => ({ sequence: 1, members: [], digest: 0, quorate: true }),
      subscribe: () => () => undefined,
    },
    control: { send: () => true, handle: () => undefined, availableBytesPerSecond: () => 28_000 },
    edge: {
      sendToBackend: (packet, backend) => sent.push({ caller: packet.sourceAddress, port: backend.port }),
      relay: () => undefined,
      sendReset: (packet) => resets.push(packet.sourceAddress),
      retain: (packet) => ({ ...packet }),
      close: () => Promise.resolve(),
    },
    health: healthFeed(),
    policy: createPlacementPolicy('rendezvous', { clock, random }),
    settings: {
      current: () => script.snapshot(),
      subscribe: (added) => {
        listener = added;
        return () => undefined;
      },
    },
    events: SILENT_EVENT_LOG,
    limits: { maxFlows: 1_000, maxPendingOpenings: 100 },
  };
  return { components, sent, resets, apply: (settings) => listener(settings) };
}

function packetOf(caller: number, flags: Partial<PacketView> = {}): PacketView {
  return {
    bytes: Buffer.alloc(0),
    sourceAddress: caller,
    destinationAddress: serviceAddress(0),
    sourcePort: 1_000,
    destinationPort: 80,
    syn: false,
    ack: true,
    fin: false,
    rst: false,
    hops: 0,
    relayedFrom: undefined,
    ...flags,
  };
}

test('each mode has its forwarder', (t) => {
  const { components } = fixture(new SettingsScript(2));
  const cases: [PlacementMode, abstract new (...values: never[]) => unknown][] = [
    ['rendezvous', RendezvousForwarder],
    ['local-table', LocalTableForwarder],
    ['bounded-load', FlowKeeper],
    ['random', FlowKeeper],
    ['least-reported-load', FlowKeeper],
  ];
  for (const [mode, type] of cases) t.true(createForwarder(mode, components) instanceof type, mode);
});

test('rendezvous moves open flows when the back ends change, the local table does not', (t) => {
  for (const [mode, moves] of [
    ['rendezvous', true],
    ['local-table', false],
  ] as const) {
    const script = new SettingsScript(4);
    const { components, sent, apply } = fixture(script);
    const forwarder = createForwarder(mode, components);
    forwarder.start(new AbortController().signal);
    for (let caller = 0; caller < 100; caller += 1)
      forwarder.handlePacket(packetOf(caller, { syn: true, ack: false }));
    const before = sent.splice(0).map((delivery) => delivery.port);
    script.backends[0]!.removed = true;
    script.version += 1;
    apply(script.snapshot());
    for (let caller = 0; caller < 100; caller += 1) forwarder.handlePacket(packetOf(caller));
    const after = sent.map((delivery) => delivery.port);
    t.is(
      after.some((port, caller) => port !== before[caller]),
      moves,
      mode,
    );
  }
});

test('the local table balances by its own count and counts flows until they end', (t) => {
  const script = new SettingsScript(4);
  const { components, sent } = fixture(script);
  const forwarder = createForwarder('local-table', components);
  forwarder.start(new AbortController().signal);
  for (let caller = 0; caller < 80; caller += 1)
    forwarder.handlePacket(packetOf(caller, { syn: true, ack: false }));
  const counts = new Map<number, number>();
  for (const { port } of sent) counts.set(port, (counts.get(port) ?? 0) + 1);
  t.deepEqual([...counts.values()], [20, 20, 20, 20]);
  t.is(forwarder.statistics().open, 80);
  forwarder.handlePacket(packetOf(3, { rst: true }));
  t.is(forwarder.statistics().open, 79);
});

test('a packet of an unknown service is refused', (t) => {
  for (const mode of ['rendezvous', 'local-table'] as const) {
    const { components, sent, resets } = fixture(new SettingsScript(2));
    const forwarder = createForwarder(mode, components);
    forwarder.start(new AbortController().signal);
    forwarder.handlePacket(packetOf(1, { destinationPort: 81, syn: true, ack: false }));
    t.deepEqual([sent.length, resets], [0, [1]], mode);
    t.is(forwarder.statistics().refused, 1);
  }
});
