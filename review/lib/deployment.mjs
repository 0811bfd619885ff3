/** A small deployment on loopback with the zones, services and bounds of isartal-pick. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Backend } from './backend.mjs';
import { Client } from './client.mjs';
import { Fleet, freePort } from './daemons.mjs';
import { Record, until } from './record.mjs';
import { Store } from './store.mjs';

export const ZONES = ['halle-nord', 'halle-mitte', 'halle-sued'];
const DAEMONS_A_ZONE = [3, 2, 2];
const START_LIMIT_MS = 15000;

/** Routes of the configuration: where clients send packets, and the service. */
export const CONFIRM = { dst: '198.18.0.1', dport: 8080, service: 'pickguide' };
export const SLIP = { dst: '198.18.0.2', dport: 8443, service: 'labeldruck' };

/** Returns a configuration as the operator writes it. */
export function configOf(version, routes) {
  const services = ['pickguide', 'labeldruck'].map((name) => ({
    name,
    health_check_path: '/health',
    max_connections: 2000,
    protocol: 'h1',
    tls: false,
  }));
  return {
    version,
    routes: routes.map(({ dst, dport, service }) => ({
      name: `r-${dst.replaceAll('.', '-')}-${dport}`,
      hostname: dst,
      path_prefix: `/${dport}/`,
      type: 'non_idempotent',
      timeout_ms: 2500,
      target_latency_ms: 152,
      priority: 1,
      service,
      max_attempts: 2,
    })),
    services,
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 262144,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
  };
}

/** The parts of a run. Close it in every case. */
export class Deployment {
  record = new Record();
  backends = [];
  clients = [];

  constructor(root) {
    this.root = root;
    this.directory = mkdtempSync(join(tmpdir(), 'sailquay-review-'));
    // Runs beside each other use different loopback addresses.
    this.network = `127.${10 + (process.pid % 200)}`;
  }

  /** Starts the store, the back ends and the daemons, and waits until the routers use all daemons. */
  async start({ backendsAZone, daemonsAZone = DAEMONS_A_ZONE, flowHash }) {
    const { record, network, root, directory } = this;
    this.ports = {
      data: await freePort(),
      ready: await freePort(),
      control: await freePort(),
      internal: await freePort(),
    };
    this.backendPort = await freePort();
    this.store = await Store.listen(`${network}.0.7`);
    this.store.put('config', 'main', configOf(7, [CONFIRM, SLIP]));
    for (const [service, counts] of Object.entries(backendsAZone)) {
      for (const [index, zone] of ZONES.entries()) {
        for (let count = 0; count < (counts[index] ?? 0); count += 1) await this.addBackend(service, zone);
      }
    }
    this.fleet = new Fleet({
      root,
      directory,
      record,
      storeAddress: this.store.address,
      ports: this.ports,
      flowHash,
    });
    const machines = ZONES.flatMap((zone, index) =>
      Array.from({ length: daemonsAZone[index] }, (_unused, count) => ({
        name: `frontend-${zone}-${count + 1}`,
        ip: `${network}.${index + 1}.${10 + count}`,
        zone,
      })),
    );
    this.fleet.start(machines);
    await until(() => this.fleet.daemons.every(({ isIn }) => isIn), START_LIMIT_MS, 'all daemons are ready');
  }

  async addBackend(service, zone, workMs = 29) {
    const number = this.backends.length + 1;
    const id = `i-${(0x31b174c200 + number * 7919).toString(16)}`;
    const { store, record, network } = this;
    const ip = `${network}.${100 + ZONES.indexOf(zone)}.${number}`;
    const backend = new Backend({
      id,
      service,
      ip,
      zone,
      workMs,
      store,
      record,
      clientPort: this.ports.data,
    });
    await backend.start(this.backendPort);
    record.note(`${id} (${service}, ${zone}) starts at ${backend.address}`);
    this.backends.push(backend);
    return backend;
  }

  async addClient(zone) {
    const ip = `${this.network}.${200 + ZONES.indexOf(zone)}.${this.clients.length + 1}`;
    const client = new Client({ ip, zone, port: this.ports.data, fleet: this.fleet, record: this.record });
    await client.start();
    this.clients.push(client);
    return client;
  }

  /** Ends all processes, closes all sockets and removes the temporary folder. */
  async close() {
    await Promise.all(this.clients.map((client) => client.close()));
    await this.fleet?.close();
    await Promise.all(this.backends.filter(({ isAlive }) => isAlive).map((backend) => backend.close()));
    await this.store?.close();
    rmSync(this.directory, { recursive: true, force: true });
  }
}
