/** Forwarders whose probes of back ends fail as a test says. For tests only. */
import { VirtualClock } from '../../common/clock.js';
import type { Endpoint } from '../../common/types.js';
import { backends, ForwarderHarness, type HarnessSurroundings } from '../forwarding/cookie-test-support.js';
import type { ProbeOutcome } from './backend-prober.js';

/** A caller repeats data after this long, in ms. */
const RETRANSMISSION_DELAY_MS = 200;
export const REQUEST = { payloadBytes: 100, sequence: 500 };

/** Services that the configuration names: a successor at an address may be of another one. */
export const SERVICES = ['alpha', 'beta'].map((name) => ({ name, maxConnections: 2_000 }));

/** Addresses of back ends that a probe does not reach, and how it fails there. */
export type UnreachableHosts = Map<string, ProbeOutcome>;

/** A harness in which probes take no time and fail as `unreachable` says; `probed` lists their addresses. */
export function setUp(
  count: number,
  surroundings: HarnessSurroundings = {},
): { harness: ForwarderHarness; unreachable: UnreachableHosts; probed: string[] } {
  const unreachable: UnreachableHosts = new Map();
  const probed: string[] = [];
  const probe = ({ host }: Endpoint): Promise<ProbeOutcome> => {
    probed.push(host);
    return Promise.resolve(unreachable.get(host) ?? 'answered');
  };
  const harness = new ForwarderHarness(new VirtualClock(), 1, [], { probe, ...surroundings });
  harness.know(backends(count), { services: SERVICES });
  return { harness, unreachable, probed };
}

/** Address of back end `a`, `b`, ... */
export function hostOf(id: string): string {
  return `10.128.0.${id.charCodeAt(0) - 96}`;
}

/** Lets probes that take no time end. */
export function waitForProbes(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Lets `milliseconds` pass in small steps; probes that end meanwhile are dealt with. */
export async function advanceInSteps(clock: VirtualClock, milliseconds: number): Promise<void> {
  const STEP_MS = 50;
  for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += STEP_MS) {
    clock.advance(STEP_MS);
    await waitForProbes();
  }
}

/** Opens flows until each of the `ids` has one; ports and cookies by back end. */
export function openFlowAtEach(
  harness: ForwarderHarness,
  fromPort = 41_000,
): Map<string, { port: number; cookie: number }> {
  const flows = new Map<string, { port: number; cookie: number }>();
  for (let port = fromPort; port < fromPort + 12; port += 1) {
    const { backend, cookie } = harness.establish(port);
    if (backend !== undefined) flows.set(backend, { port, cookie });
  }
  return flows;
}

/** The caller of a flow sends a request and repeats it; others of the harness's flows show signs of life. */
export async function retransmitRequest(
  harness: ForwarderHarness,
  flow: { port: number; cookie: number },
  aliveFlows: readonly { port: number; cookie: number }[],
): Promise<void> {
  harness.goOn(flow.port, flow.cookie, REQUEST);
  harness.clock.advance(RETRANSMISSION_DELAY_MS);
  harness.goOn(flow.port, flow.cookie, REQUEST);
  for (const [index, { port, cookie }] of aliveFlows.entries()) {
    harness.goOn(port, cookie, { acknowledgement: 1_000 + index + harness.clock.now() });
  }
  await waitForProbes();
}
