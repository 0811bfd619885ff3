import { createServer, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import type { EffectiveBackend, HealthPolicy } from '../../settings/types.js';
import { REMOTE_PROBE_INTERVAL_FACTOR } from './constants.js';
import { httpProbe } from './probe.js';
import { Prober, type ProbeTarget } from './prober.js';

const ANSWERS: readonly { name: string; serve: RequestListener; expected: string | RegExp }[] = [
  {
    name: 'whole',
    serve: (_request, response) => response.end('{"openFlows":1}'),
    expected: '{"openFlows":1}',
  },
  {
    name: 'too long',
    serve: (_request, response) => response.end('x'.repeat(5_000)),
    expected: /fail|too long|prob/i,
  },
  { name: 'cut off', serve: (_request, response) => response.destroy(), expected: /fail|prob/i },
];
for (const { name, serve, expected } of ANSWERS) {
  test(`a probe over HTTP, answer ${name}`, async (t) => {
    const server = createServer(serve);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const probe = httpProbe({ host: '127.0.0.1', port }, '/health', 30_000);
    if (typeof expected === 'string') t.like(await probe, { status: 200, body: expected });
    else await t.throwsAsync(probe, { message: expected });
    server.closeAllConnections();
    server.close();
  });
}

const BACKEND = { id: 7, health: { host: '127.0.0.1', port: 1 } } as EffectiveBackend;
const POLICY = {
  probeIntervalMs: 1_000,
  probeTimeoutMs: 500,
  unhealthyThreshold: 2,
  healthyThreshold: 2,
} as HealthPolicy;

/** Health and load probes of one back end in 60 s. */
async function probesIn60s(target: Partial<ProbeTarget>, backendCount: number): Promise<[number, number]> {
  const clock = new VirtualClock();
  const prober = new Prober({
    clock,
    random: seededRandom(3),
    probe: async () => ({ status: 200, body: '{"openFlows":5,"busySlots":1,"capacity":9}' }),
    vote: () => undefined,
  });
  prober.assign(
    [{ backend: BACKEND, policy: POLICY, readsLoad: true, intervalFactor: 1, ...target }],
    backendCount,
  );
  await clock.advanceAsync(60_000, 50);
  prober.stop();
  const { healthProbes, loadProbes } = prober.statistics();
  return [healthProbes, loadProbes];
}

test('loads are read only when they could be passed on, and remote back ends are probed less often', async (t) => {
  const [health, load] = await probesIn60s({}, 10);
  const [healthOfMany, loadOfMany] = await probesIn60s({}, 6_300);
  const [remote] = await probesIn60s({ intervalFactor: REMOTE_PROBE_INTERVAL_FACTOR }, 10);
  t.true(health >= 55 && health <= 75, String(health));
  t.is(healthOfMany, health);
  t.true(load > 2 * loadOfMany && loadOfMany >= 1, `${load} and ${loadOfMany}`);
  t.true(Math.abs(remote - health / REMOTE_PROBE_INTERVAL_FACTOR) <= 5, `${remote} of ${health}`);
});
