/**
 * Settings of simulated services: the back ends and services that the balance simulation, the health simulation and
 * the flow model are run with. Ids are those that the settings tree would give: hashes of the names.
 */
import { hashString } from '../../common/hash.js';
import {
  UNLIMITED_SERVICE,
  type EffectiveBackend,
  type EffectiveService,
  type HealthPolicy,
} from '../../settings/types.js';

const SIMULATED_ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;

/** Health policy of a simulated service: the defaults of the settings tree. */
export const SIMULATED_HEALTH_POLICY: HealthPolicy = {
  probeIntervalMs: 1_000,
  probeTimeoutMs: 500,
  unhealthyThreshold: 2,
  healthyThreshold: 2,
  maxEjectedShare: 0.3,
  panicShare: 0.3,
  slowStartMs: 10_000,
};

/** Zone of the balancer or back end with this number: the zones in turn. */
export function simulatedZone(number: number): string {
  return SIMULATED_ZONES[number % SIMULATED_ZONES.length]!;
}

/** A back end of weight 1 that does not drain; `changes` replaces any of its fields. */
export function simulatedBackend(name: string, changes: Partial<EffectiveBackend>): EffectiveBackend {
  const host = '127.0.0.1';
  return {
    name,
    id: hashString(name),
    zone: simulatedZone(0),
    endpoint: { host, port: 20_000 },
    health: { host, port: 40_000 },
    weight: 1,
    maxConnections: 2_000,
    slots: 2,
    draining: false,
    ...changes,
  };
}

/** A service without limits or back ends; `changes` replaces any of its fields. */
export function simulatedService(name: string, changes: Partial<EffectiveService>): EffectiveService {
  return {
    name,
    id: hashString(name),
    site: 'simulation',
    address: { host: '127.0.0.1', port: 9_000 },
    unknownFlow: 'reset',
    idleTimeoutMs: 3_600_000,
    zonePreference: 0,
    limits: UNLIMITED_SERVICE,
    healthPolicy: SIMULATED_HEALTH_POLICY,
    backends: [],
    ...changes,
  };
}
