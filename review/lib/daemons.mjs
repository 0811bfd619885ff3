/** Starts the daemons with the command and the configuration template of the deploy file, and plays the routers. */
import { spawn } from 'node:child_process';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval } from 'node:timers';
import { hash } from './packet.mjs';
import { delay } from './record.mjs';

const PROBE_INTERVAL_MS = 500;
const RESTART_DELAY_MS = 300;
const GRACE_MS = 6000;

/** Returns a TCP port that is free on loopback. */
export async function freePort() {
  const server = createServer();
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Fills the gaps and sections of the configuration template, as far as the template uses them. */
function fill(template, settings) {
  const find = (path) => path.split('.').reduce((value, key) => value?.[key], settings);
  const withSections = template.replace(
    /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g,
    (_text, sign, path, body) => {
      const value = find(path);
      const isGiven = value !== undefined && value !== false;
      return (sign === '#') === isGiven ? body : '';
    },
  );
  return withSections.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_text, path, json) => {
    const value = find(path);
    if (value === undefined) return '';
    return json ? JSON.stringify(value) : String(value);
  });
}

/** Returns the command of the role in the deploy file. */
function readCommand(root) {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const [, command] = /^run = "(.+)"$/m.exec(text) ?? [];
  if (!command) throw new Error('deploy/system.toml names no command');
  return command.split(' ');
}

/** Bounds of the sheet of isartal-pick. */
export const BOUNDS = {
  seed_lag_s: 3,
  address_reuse_s: 2,
  contact_ms: 4000,
  drain_timeout_ms: 3000,
  grace_period_s: 6,
  config_apply_ms: 3000,
  rollback_slack_ms: 250,
  recovery_s: 12,
  flow_ms: 2000,
  max_flow_s: 60,
};

/** One machine with a daemon, which is started again whenever it ends. */
class Daemon {
  misses = 0;
  isIn = false;
  isClosed = false;
  starts = 0;

  constructor(fleet, { name, ip, zone }) {
    Object.assign(this, { fleet, name, ip, zone });
    this.configPath = join(fleet.directory, `${name}.json`);
    writeFileSync(this.configPath, fill(fleet.template, fleet.settingsOf(this)));
    this.start();
  }

  start() {
    const { root, record, command } = this.fleet;
    const [program, ...args] = command;
    const { PATH, HOME, LANG } = process.env;
    this.starts += 1;
    this.child = spawn(program, args, {
      cwd: root,
      env: { PATH, HOME, LANG, SAILQUAY_CONFIG: this.configPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child.stdout.on('data', (text) => (this.log = `${this.log ?? ''}${text}`));
    this.child.stderr.on('data', (text) => (this.log = `${this.log ?? ''}${text}`));
    record.note(`${this.name} starts, process ${this.child.pid}`);
    this.child.once('exit', (code, signal) => {
      record.note(`${this.name} ends (code ${code}, signal ${signal})`);
      setTimeout(() => {
        if (!this.isClosed) this.start();
      }, RESTART_DELAY_MS);
    });
  }

  signal(name) {
    this.fleet.record.note(`${name} to ${this.name}`);
    this.child.kill(name);
  }

  /** Asks for readiness as the platform does. */
  async probe() {
    const isReady = await isAnswered(`http://${this.ip}:${this.fleet.ports.ready}/readyz`);
    const wasIn = this.isIn;
    this.misses = isReady ? 0 : this.misses + 1;
    if (isReady) this.isIn = true;
    else if (this.misses >= 2) this.isIn = false;
    if (wasIn !== this.isIn) this.fleet.record.note(`routers: ${this.name} is ${this.isIn ? 'in' : 'out'}`);
  }

  async close() {
    this.isClosed = true;
    const { child } = this;
    if (child.exitCode !== null || child.signalCode !== null) return;
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGCONT');
    child.kill('SIGKILL');
    await ended;
  }
}

/** Returns true if a GET is answered with 200 within the time between two probes. */
function isAnswered(url) {
  return new Promise((resolve) => {
    const request = get(url, { timeout: PROBE_INTERVAL_MS - 50, agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(false));
  });
}

/** The daemons of a deployment and the routers before them. */
export class Fleet {
  daemons = [];

  constructor({ root, directory, record, storeAddress, ports, flowHash = 'steady', heartbeatMs = 1200 }) {
    if (!existsSync(join(root, 'target/sailquay-daemon.cjs'))) throw new Error('the daemon is not built');
    Object.assign(this, { root, directory, record, storeAddress, ports, flowHash, heartbeatMs });
    this.template = readFileSync(join(root, 'platform/daemon.json.template'), 'utf8');
    this.command = readCommand(root);
  }

  /** Starts the daemons of `machines`, each with a name, an IP address and a zone. */
  start(machines) {
    this.machines = machines;
    this.daemons = machines.map((machine) => new Daemon(this, machine));
    this.timer = setInterval(() => this.daemons.forEach((daemon) => void daemon.probe()), PROBE_INTERVAL_MS);
  }

  settingsOf({ name, ip, zone }) {
    const { ports, storeAddress, machines, flowHash, heartbeatMs } = this;
    const zones = Object.fromEntries(machines.map((machine) => [machine.zone, 'isartal']));
    return {
      node_name: name,
      zone,
      region: 'isartal',
      ip,
      zones,
      flow_hash: flowHash,
      heartbeat_ms: heartbeatMs,
      internal_port_range: [ports.internal, ports.internal + 15],
      seed_nodes: machines.slice(0, 3).map((machine) => `${machine.ip}:${ports.control}`),
      bind_addresses: {
        datagram_listener: `${ip}:${ports.data}`,
        ready: `${ip}:${ports.ready}`,
        control: `${ip}:${ports.control}`,
      },
      bounds: BOUNDS,
      platform: { address: storeAddress, value_bytes: 1048576 },
    };
  }

  /** The daemon that the routers of `zone` pick for a flow. */
  pick(zone, flowKey) {
    const own = this.daemons.filter((daemon) => daemon.zone === zone);
    const ownIn = own.filter(({ isIn }) => isIn);
    const othersIn = this.daemons.filter(({ isIn }) => isIn);
    const nearOrOwn = ownIn.length > 0 ? own : othersIn;
    const candidates = ownIn.length * 2 >= own.length && ownIn.length > 0 ? ownIn : nearOrOwn;
    if (this.flowHash === 'mod') return candidates[hash(flowKey) % candidates.length];
    const scoreOf = ({ name }) => hash(`${flowKey} ${name}`);
    return [...candidates].sort((left, right) => scoreOf(right) - scoreOf(left))[0];
  }

  /** Stops a daemon as planned; it is started again when it has ended. */
  async restart(daemon) {
    const { child } = daemon;
    daemon.signal('SIGTERM');
    const startedAtMs = performance.now();
    while (child.exitCode === null && child.signalCode === null) {
      if (performance.now() - startedAtMs > GRACE_MS) daemon.signal('SIGKILL');
      await delay(20);
    }
  }

  async close() {
    clearInterval(this.timer);
    await Promise.all(this.daemons.map((daemon) => daemon.close()));
  }
}
