/** Forwarder harnesses with simulated probe outcomes. For tests only. */
import { VirtualClock } from '../../common/clock.js';
import type { Endpoint } from '../../common/types.js';
import { backends, ForwarderHarness, type HarnessOptions } from '../forwarding/cookie-test-support.js';
import type { ProbeOutcome } from './backend-prober.js';

/** Time after which a caller retransmits data, in ms. */
const RETRANSMISSION_DELAY_MS = 200;
export const REQUEST = { payloadBytes: 100, sequence: 500 };

/** Configured services. Two, because a successor at an address may belong to another service. */
export const SERVICES = ['alpha', 'beta'].map((name) => ({ name, maxConnections: 2_000 }));

/** Probe outcome by host, for the hosts whose probes fail. */
export type UnreachableHosts = Map<string, ProbeOutcome>;

/**
 * A harness whose probes take no time. Probes of a host in `unreachable` end with the outcome given there, all others
 * are answered. `probed` lists the probed hosts.
 */
export function createHarnessWithProbes(
  count: number,
  options: HarnessOptions = {},
): { harness: ForwarderHarness; unreachable: UnreachableHosts; probed: string[] } {
  const unreachable: UnreachableHosts = new Map();
  const probed: string[] = [];
  const probe = ({ host }: Endpoint): Promise<ProbeOutcome> => {
    probed.push(host);
    return Promise.resolve(unreachable.get(host) ?? 'answered');
  };
  const harness = new ForwarderHarness(new VirtualClock(), 1, [], { probe, ...options });
  harness.applyRecords(backends(count), { services: SERVICES });
  return { harness, unreachable, probed };
}

/** Host of the back end with id `a`, `b`, ... */
export function hostOf(id: string): string {
  return `10.128.0.${id.charCodeAt(0) - 96}`;
}

/** Waits until probes that take no time have ended and were evaluated. */
export function waitForProbes(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Advances the clock in small steps, so that probes that end meanwhile are evaluated at their time. */
export async function advanceInSteps(clock: VirtualClock, milliseconds: number): Promise<void> {
  const STEP_MS = 50;
  for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += STEP_MS) {
    clock.advance(STEP_MS);
    await waitForProbes();
  }
}

/** Opens 12 flows; returns the port and cookie of the last one at each back end. */
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

/** Sends a request on `flow` and retransmits it; the callers of `aliveFlows` acknowledge new data, a sign of life. */
export async function retransmitRequest(
  harness: ForwarderHarness,
  flow: { port: number; cookie: number },
  aliveFlows: readonly { port: number; cookie: number }[],
): Promise<void> {
  harness.sendMidFlow(flow.port, flow.cookie, REQUEST);
  harness.clock.advance(RETRANSMISSION_DELAY_MS);
  harness.sendMidFlow(flow.port, flow.cookie, REQUEST);
  for (const [index, { port, cookie }] of aliveFlows.entries()) {
    harness.sendMidFlow(port, cookie, { acknowledgement: 1_000 + index + harness.clock.now() });
  }
  await waitForProbes();
}
