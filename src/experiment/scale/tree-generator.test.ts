import test from 'ava';
import { resolveSettings } from '../../settings/index.js';
import { generateTree, servicesFor } from './tree-generator.js';

const SIZES = [
  { backends: 1, services: 1 },
  { backends: 13, services: 2 },
  { backends: 150, services: 100 },
  { backends: 6_300, services: 4_300 },
] as const;
for (const { backends, services } of SIZES) {
  test(`a tree of ${backends} back ends behind ${services} services is valid and complete`, (t) => {
    const zones = ['a', 'b', 'c'];
    const document = generateTree({ services, backends, zones, probers: 12 });
    const resolved = resolveSettings(document, 1);
    if (resolved.isErr) return t.fail(JSON.stringify(resolved.error.slice(0, 3)));
    const all = resolved.value.services.flatMap((service) => service.backends);
    t.is(resolved.value.services.length, services);
    t.is(all.length, backends);
    t.is(new Set(all.map(({ zone }) => zone)).size, Math.min(backends, zones.length));
    t.true(resolved.value.services.every((service) => service.backends.length >= 1));
    const first = resolved.value.services.find(({ name }) => name === 'site-0/service-0');
    t.is(first?.backends.length, Math.min(10, backends));
    return undefined;
  });
}

test('a daemon of a small fleet sends no more probes a second than one of a full region', (t) => {
  for (const probers of [3, 6, 12, 100, 367]) {
    const document = generateTree({ services: 10, backends: 6_300, zones: ['a'], probers });
    const resolved = resolveSettings(document, 1);
    if (resolved.isErr) return t.fail(`${probers} probers`);
    const intervalMs = resolved.value.services[0]!.healthPolicy.probeIntervalMs;
    const probesPerSecond = (3 * 6_300 * 1_000) / probers / intervalMs;
    t.true(probesPerSecond > 100 && probesPerSecond < 105, `${probers} probers: ${probesPerSecond}/s`);
  }
  return undefined;
});

test('services stand in the proportion of the size to design for', (t) => {
  t.deepEqual([1, 150, 6_300].map(servicesFor), [1, 102, 4_300]);
});
