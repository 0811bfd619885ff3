/** Settings versions for the model check: two services whose back ends come, go, drain and change weight. */
import type { RandomSource } from '../../../common/random.js';
import { simulatedBackend, simulatedService } from '../../placement/simulated-service.js';
import {
  UNLIMITED_SERVICE,
  type EffectiveBackend,
  type EffectiveService,
  type EffectiveSettings,
} from '../../../settings/types.js';

/** A back end of the model; the endpoint's port is unique over all services. */
export interface ModelBackend {
  readonly name: string;
  readonly service: string;
  readonly port: number;
  weight: number;
  draining: boolean;
  removed: boolean;
}

const SERVICE_NAMES = ['site/push', 'site/label'];
const BACKEND_HOST = '127.0.1.1';
const FIRST_BACKEND_PORT = 20_000;

/** Address of a service: 10.0.0.1, 10.0.0.2 and port 80. */
export function serviceAddress(serviceIndex: number): number {
  return 0x0a00_0001 + serviceIndex;
}

/** The tree under edit. */
export class SettingsScript {
  version = 1;
  readonly backends: ModelBackend[] = [];

  constructor(backendsPerService: number) {
    for (const service of SERVICE_NAMES) {
      for (let index = 0; index < backendsPerService; index += 1) this.add(service);
    }
  }

  /** Service that a back end belongs to, by the port of its endpoint. */
  serviceOfPort(port: number): number {
    const backend = this.backends.find((candidate) => candidate.port === port);
    return backend ? SERVICE_NAMES.indexOf(backend.service) : -1;
  }

  /** Makes one random edit and raises the version. */
  edit(random: RandomSource): void {
    this.version += 1;
    const service = SERVICE_NAMES[Math.floor(random() * SERVICE_NAMES.length)]!;
    const present = this.backends.filter((backend) => backend.service === service && !backend.removed);
    const chosen = present[Math.floor(random() * present.length)]!;
    const draw = random();
    if (draw < 0.35 || present.length < 3) this.add(service);
    else if (draw < 0.6) chosen.removed = true;
    else if (draw < 0.85) chosen.draining = !chosen.draining;
    else chosen.weight = 1 + Math.floor(random() * 4);
  }

  /** The tree in force at this version. */
  snapshot(): EffectiveSettings {
    const services = SERVICE_NAMES.map((name, index) => this.service(name, index));
    return { version: this.version, services: services.sort((left, right) => left.id - right.id) };
  }

  private add(service: string): void {
    const port = FIRST_BACKEND_PORT + this.backends.length;
    const name = `${service}/backend-${this.backends.length}`;
    this.backends.push({ name, service, port, weight: 1, draining: false, removed: false });
  }

  private service(name: string, index: number): EffectiveService {
    const backends = this.backends.filter((backend) => backend.service === name && !backend.removed);
    return simulatedService(name, {
      address: { host: `10.0.0.${index + 1}`, port: 80 },
      limits: { ...UNLIMITED_SERVICE, retryBudgetShare: 0.5 },
      backends: backends.map(describe).sort((left, right) => left.id - right.id),
    });
  }
}

function describe({ name, port, weight, draining }: ModelBackend): EffectiveBackend {
  const endpoint = { host: BACKEND_HOST, port };
  return simulatedBackend(name, { endpoint, health: endpoint, weight, draining });
}
