import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import type { Endpoint } from '../../common/types.js';
import type { ControlChannel, ControlKind, InboundControlMessage } from '../control/types.js';
import type { EventFields } from '../../observability/event.js';
import type { EdgePort, PacketView } from '../../fabric/types.js';
import type { EffectiveService } from '../../settings/types.js';
import { LIMIT_CHECK_INTERVAL_MS } from './constants.js';
import { EdgeGate, KnownSources } from './data-plane.js';
import { waitUntilQuiet } from '../../common/drain.js';
import { DAEMON_EVENTS } from './events.js';
import { FaultInjection } from './fault-injection.js';
import { LimitGuard } from './limit-guard.js';
import { LimitedAdmission } from './opening-admission.js';

const PEER: Endpoint = { host: '10.0.0.2', port: 7100 };
const OTHER: Endpoint = { host: '10.0.0.3', port: 7100 };
const SERVICE = {} as EffectiveService;

test('openings are refused from the memory limit on and accepted again below 90% of it', (t) => {
  const clock = new VirtualClock();
  const emitted: [number, EventFields | undefined][] = [];
  let residentMegabytes = 0;
  const guard = new LimitGuard({
    clock,
    events: { emit: (event, fields) => emitted.push([event.number, fields]) },
    limit: () => 100,
    measure: () => residentMegabytes,
    reached: DAEMON_EVENTS.memoryLimit,
    recovered: DAEMON_EVENTS.memoryRecovered,
  });
  const admission = new LimitedAdmission(() => guard.exceeded(), { admit: () => undefined });
  guard.start();
  const refusals = [99, 100, 95, 90, 89, 99].map((megabytes) => {
    residentMegabytes = megabytes;
    clock.advance(LIMIT_CHECK_INTERVAL_MS);
    return admission.admit(SERVICE, 1, 0);
  });
  const refused = 'balancer-memory-limit';
  t.deepEqual(refusals, [undefined, refused, refused, refused, undefined, undefined]);
  t.deepEqual(emitted, [
    [1011, { value: 100, limit: 100 }],
    [1012, { value: 89, limit: 100 }],
  ]);
  guard.stop();
});

test('a refusal of the limiter is passed on', (t) => {
  const admission = new LimitedAdmission(() => false, {
    admit: (_service, client) => (client === 1 ? 'client-openings' : undefined),
  });
  t.is(admission.admit(SERVICE, 1, 0), 'client-openings');
  t.is(admission.admit(SERVICE, 2, 0), undefined);
});

interface DrainCase {
  readonly name: string;
  /** Packets still arrive until then. */
  readonly packetsUntilMs: number;
  readonly quiet: boolean;
  readonly endsAtMs: number;
}

const DRAINS: readonly DrainCase[] = [
  { name: 'no packets', packetsUntilMs: 0, quiet: true, endsAtMs: 1_000 },
  { name: 'packets for a while', packetsUntilMs: 2_000, quiet: true, endsAtMs: 3_000 },
  { name: 'packets for ever', packetsUntilMs: Infinity, quiet: false, endsAtMs: 5_000 },
];

for (const { name, packetsUntilMs, quiet, endsAtMs } of DRAINS) {
  test(`a stopping daemon that sees ${name} ends after ${endsAtMs} ms`, async (t) => {
    const clock = new VirtualClock();
    let outcome: boolean | undefined;
    let endedAtMs = 0;
    const wait = waitUntilQuiet({
      clock,
      packetsReceived: () => Math.min(clock.now(), packetsUntilMs),
      quietMs: 1_000,
      maxMs: 5_000,
    }).then((result) => {
      outcome = result;
      endedAtMs = clock.now();
    });
    await clock.advanceAsync(6_000, 100);
    await wait;
    t.is(outcome, quiet);
    t.true(Math.abs(endedAtMs - endsAtMs) <= 200, `${endedAtMs} ms`);
  });
}

/** A channel that records what is sent and lets a test deliver messages. */
class RecordingChannel implements ControlChannel {
  readonly sent: Endpoint[] = [];
  deliver: (message: InboundControlMessage) => void = () => undefined;

  send(to: Endpoint): boolean {
    return this.sent.push(to) > 0;
  }

  handle(_kind: ControlKind, handler: (message: InboundControlMessage) => void): void {
    this.deliver = handler;
  }

  availableBytesPerSecond(): number {
    return 0;
  }
}

function messageFrom(from: Endpoint): InboundControlMessage {
  return { senderId: 'peer', senderIncarnation: 1, from, payload: new Uint8Array(), protocolVersion: 1 };
}

test('blocked balancers get and give nothing until they are unblocked; others are untouched', (t) => {
  const faults = new FaultInjection();
  const channel = new RecordingChannel();
  const control = faults.wrapControl(channel);
  const relayed: Endpoint[] = [];
  const edge = faults.wrapEdge({ relay: (_packet, to) => void relayed.push(to) } as EdgePort);
  const received: Endpoint[] = [];
  control.handle('membership', ({ from }) => received.push(from));
  const exchange = (): void => {
    for (const endpoint of [PEER, OTHER]) {
      t.true(control.send(endpoint, 'membership', new Uint8Array()));
      edge.relay({} as PacketView, endpoint);
      channel.deliver(messageFrom(endpoint));
    }
  };
  faults.set({ blocked: ['10.0.0.2:7100'] });
  exchange();
  faults.set({ blocked: [] });
  exchange();
  const expected = [OTHER, PEER, OTHER];
  t.deepEqual([channel.sent, relayed, received], [expected, expected, expected]);
  t.throws(() => faults.set({ block: [] }));
});

test('packets before the flow keeper exists are counted and dropped', (t) => {
  const gate = new EdgeGate();
  gate.onForward({} as PacketView);
  t.is(gate.onReturn({} as PacketView, PEER), false);
  gate.onDrop('truncated');
  gate.onDrop('truncated');
  t.is(gate.packetsReceived, 2);
  t.deepEqual(gate.drops(), { truncated: 2 });
});

test('only other members and configured back ends are known sources', (t) => {
  const sources = new KnownSources('self');
  const member = (id: string, port: number) => ({ id, data: { host: '10.0.0.1', port } });
  sources.setView({ members: [member('self', 1), member('peer', 2)] } as never);
  sources.setSettings({ services: [{ backends: [{ endpoint: { host: '10.0.0.1', port: 3 } }] }] } as never);
  const kinds = [1, 2, 3].map((port) => {
    const endpoint = { host: '10.0.0.1', port };
    return [sources.isPeer(endpoint), sources.isBackend(endpoint)];
  });
  t.deepEqual(kinds, [
    [false, false],
    [true, false],
    [false, true],
  ]);
});
