/**
 * Processor time of health probes: the real prober with HTTP probes against listeners in another process, and with the
 * stub of the hollow daemons, at several rates. No fleet runs meanwhile.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { SystemClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import { httpProbe, type Probe } from '../../health/index.js';
import { Prober, type ProbeTarget } from '../../health/prober.js';
import type { EffectiveBackend, HealthPolicy } from '../../settings/types.js';
import { ControlClient, readEndpoint } from '../http-control.js';
import { ProcessLauncher } from '../process-launcher.js';
import { RunDirectory } from '../run-directory.js';
import { stubProbe } from './stub-probe.js';
import { writeHostConfiguration } from './host-configuration.js';
import type { ProbeCost } from './types.js';

const PROBED_BACKENDS: readonly number[] = [25, 100, 400];
const WARM_UP_MS = 4_000;
const REQUEST_TIMEOUT_MS = 20_000;
const US_PER_SECOND = 1_000_000;

/** Intervals that give rates below and above those of the size to design for. */
const POLICY: HealthPolicy = {
  probeIntervalMs: 3_000,
  probeTimeoutMs: 1_000,
  unhealthyThreshold: 3,
  healthyThreshold: 2,
  maxEjectedShare: 0.5,
  panicShare: 0.5,
  slowStartMs: 0,
};

/** Measures every rate, each for `seconds`. */
export async function measureProbeCost(seconds: number): Promise<ProbeCost[]> {
  const launcher = new ProcessLauncher();
  const directory = new RunDirectory();
  const client = new ControlClient();
  try {
    const file = writeHostConfiguration(directory, { seed: 1, platformUrl: '', service: NO_SERVICE });
    const host = launcher.start('probe target', ['experiment', 'hollow-host', file]);
    const endpoint = readEndpoint((await host.ready())['control'], 'probe target');
    const count = PROBED_BACKENDS.at(-1)!;
    const answer = (await client.post(endpoint, '/listen', { count }, REQUEST_TIMEOUT_MS)) as {
      endpoints: Endpoint[];
    };
    const costs: ProbeCost[] = [];
    for (const backends of PROBED_BACKENDS) {
      const targets = probeTargets(answer.endpoints.slice(0, backends));
      const http = await measureProber(httpProbe, targets, seconds);
      const stub = await measureProber(stubProbe({ count: 0 }), targets, seconds);
      costs.push({
        backends,
        seconds,
        httpProbesPerSecond: http.probesPerSecond,
        httpCpuFraction: http.cpuFraction,
        stubCpuFraction: stub.cpuFraction,
      });
    }
    return costs;
  } finally {
    await launcher.stopAll();
    await client.close();
    directory.remove();
  }
}

const NO_SERVICE: Endpoint = { host: '127.0.0.1', port: 9 };

function probeTargets(endpoints: readonly Endpoint[]): ProbeTarget[] {
  return endpoints.map((endpoint, index): ProbeTarget => {
    const backend: EffectiveBackend = {
      ...{ id: index + 1, name: `backend-${index}`, zone: '', endpoint, health: endpoint },
      ...{ weight: 1, maxConnections: 0, slots: 0, draining: false },
    };
    return { backend, policy: POLICY, readsLoad: index % 3 === 0, intervalFactor: 1 };
  });
}

async function measureProber(
  probe: Probe,
  targets: readonly ProbeTarget[],
  seconds: number,
): Promise<{ readonly probesPerSecond: number; readonly cpuFraction: number }> {
  const prober = new Prober({
    clock: new SystemClock(),
    random: seededRandom(1),
    probe,
    vote: () => undefined,
  });
  prober.assign(targets, targets.length);
  await sleep(WARM_UP_MS);
  const before = { cpu: process.cpuUsage(), probes: probesOf(prober), atMs: performance.now() };
  await sleep(seconds * 1_000);
  const used = process.cpuUsage(before.cpu);
  const elapsedSeconds = (performance.now() - before.atMs) / 1_000;
  const probes = probesOf(prober) - before.probes;
  prober.stop();
  return {
    probesPerSecond: Number((probes / elapsedSeconds).toFixed(1)),
    cpuFraction: Number(((used.user + used.system) / US_PER_SECOND / elapsedSeconds).toFixed(5)),
  };
}

function probesOf(prober: Prober): number {
  const { healthProbes, loadProbes } = prober.statistics();
  return healthProbes + loadProbes;
}
