/** Stand-in of the platform: the object API of docs/PLATFORM.md in memory, with faults on demand. For tests only. */
import Fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import { z } from 'zod';
import { SystemClock, type Clock } from '../../common/clock.js';
import { seededRandom, type RandomSource } from '../../common/random.js';
import { CALLER_HEADER, WATCH_HEARTBEAT_MS } from '../../store/constants.js';
import { MACHINES } from '../../store/wire.js';
import { FAULT_SETTINGS, FaultState, type FaultSettings } from './faults.js';
import { LeaseTable } from './lease-table.js';
import { MachineList } from './machine-list.js';
import { ObjectStore, type StoreEntry } from './object-store.js';
import { WatchBody } from './watch-body.js';
import { RequestCounters, type CounterReport, type RequestKind } from './request-counters.js';

/** Largest object that is stored, bytes. Far above the tree of 6,300 back ends (1,368 KB). */
const BODY_LIMIT_BYTES = 32 * 1024 * 1024;
/** The machine list shows a change after this long, ms. The users' list lags, too. */
const DEFAULT_MACHINE_LAG_MS = 2_000;

interface PlatformStandinOptions {
  /** 0: chosen by the kernel. */
  readonly port: number;
  readonly host?: string;
  readonly clock?: Clock;
  readonly random?: RandomSource;
  /** How long a change of the machine list stays invisible. */
  readonly machineLagMs?: number;
  readonly heartbeatMs?: number;
  /** Objects that exist from the start, by key. */
  readonly objects?: Readonly<Record<string, unknown>>;
}

/** A running stand-in; the methods do what the HTTP interface does. */
export interface PlatformStandin {
  readonly url: string;
  readonly store: ObjectStore;
  setFaults(faults: Partial<z.input<typeof FAULT_SETTINGS>>): FaultSettings;
  counters(): CounterReport;
  close(): Promise<void>;
}

const PUT_BODY = z.object({ value: z.unknown() });
const PUT_QUERY = z.object({ expectedVersion: z.coerce.number().int().min(0) });
const WATCH_QUERY = z.object({ after: z.coerce.number().int().min(0).default(0) });
const LEASE_BODY = z.object({ holder: z.string().min(1), durationMs: z.number().positive() });
const RELEASE_QUERY = z.object({ fencingToken: z.coerce.number().int() });
const MACHINES_BODY = MACHINES.extend({ lagMs: z.number().min(0).optional() });

/** Starts a stand-in on loopback unless `host` says otherwise. */
export async function startPlatformStandin(options: PlatformStandinOptions): Promise<PlatformStandin> {
  const service = new PlatformService(options);
  const url = await service.listen(options.host ?? '127.0.0.1', options.port);
  return {
    url,
    store: service.store,
    setFaults: (faults) => service.setFaults(faults),
    counters: () => service.counters(),
    close: () => service.close(),
  };
}

function callerOf(request: FastifyRequest): string {
  return String(request.headers[CALLER_HEADER] ?? 'unnamed');
}

function nameOf(request: FastifyRequest): string {
  return (request.params as { '*': string })['*'];
}

class PlatformService {
  readonly store = new ObjectStore();
  private readonly clock: Clock;
  private readonly faults: FaultState;
  private readonly leases: LeaseTable;
  private readonly machines: MachineList;
  private readonly requests = new RequestCounters();
  private readonly server: FastifyInstance;
  private readonly watches = new Set<FastifyReply>();

  constructor(private readonly options: PlatformStandinOptions) {
    this.clock = options.clock ?? new SystemClock();
    this.faults = new FaultState(options.random ?? seededRandom(1));
    this.leases = new LeaseTable(this.clock, () => this.store.nextRevision());
    this.machines = new MachineList(this.clock, options.machineLagMs ?? DEFAULT_MACHINE_LAG_MS);
    for (const [key, value] of Object.entries(options.objects ?? {})) this.store.put(key, value, 0);
    this.server = Fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true });
    this.server.setErrorHandler((error, _request, reply) => this.answerError(error, reply));
    this.addObjectRoutes();
    this.addLeaseRoutes();
    this.addMachineRoutes();
    this.addControlRoutes();
  }

  listen(host: string, port: number): Promise<string> {
    return this.server.listen({ host, port });
  }

  setFaults(faults: unknown): FaultSettings {
    this.faults.set(FAULT_SETTINGS.parse(faults));
    if (this.faults.settings.down) this.cutWatches();
    return this.faults.settings;
  }

  counters(): CounterReport {
    return this.requests.report(this.leases.holdingCallers());
  }

  async close(): Promise<void> {
    this.cutWatches();
    await this.server.close();
  }

  private cutWatches(): void {
    for (const reply of this.watches) reply.raw.destroy();
  }

  private answerError(error: unknown, reply: FastifyReply): void {
    const message = error instanceof Error ? error.message : String(error);
    void reply.code(400).send({ error: message });
  }

  /** Counts the request and applies the faults that come before it; false when it was cut. */
  private async admit(kind: RequestKind, request: FastifyRequest, reply: FastifyReply): Promise<boolean> {
    this.requests.count(kind, callerOf(request));
    const { slowMs } = this.faults.settings;
    if (!this.faults.settings.down && slowMs > 0) {
      await new Promise<void>((resolve) => this.clock.schedule(slowMs, resolve));
    }
    if (!this.faults.settings.down) return true;
    cut(reply);
    return false;
  }

  private addObjectRoutes(): void {
    this.server.get('/objects/*', async (request, reply) => {
      if (!(await this.admit('get', request, reply))) return reply;
      const entry = this.store.get(nameOf(request));
      return entry ?? reply.code(404).send({ error: 'no such object' });
    });
    this.server.put('/objects/*', async (request, reply) => {
      if (!(await this.admit('put', request, reply))) return reply;
      const { expectedVersion } = PUT_QUERY.parse(request.query);
      const outcome = this.store.put(nameOf(request), PUT_BODY.parse(request.body).value, expectedVersion);
      if (!outcome.accepted) return reply.code(409).send({ version: outcome.version });
      if (this.faults.losesAnswer()) return cut(reply);
      return outcome.entry;
    });
    this.server.get('/watches/*', async (request, reply) => {
      if (!(await this.admit('watch', request, reply))) return reply;
      const { after } = WATCH_QUERY.parse(request.query);
      this.serveWatch(nameOf(request), after, request, reply);
      return reply;
    });
  }

  private serveWatch(key: string, after: number, request: FastifyRequest, reply: FastifyReply): void {
    const caller = callerOf(request);
    const body = new WatchBody(request, reply);
    this.watches.add(reply);
    this.requests.watchOpened(caller);
    let sentVersion = after;
    const sendNewest = (entry: StoreEntry | undefined): void => {
      if (this.faults.settings.watchStall || !entry || entry.version <= sentVersion) return;
      sentVersion = entry.version;
      body.writeLine(JSON.stringify(entry));
    };
    const unsubscribe = this.store.subscribe(key, sendNewest);
    sendNewest(this.store.get(key));
    // A write that fell into a stall is sent with the first heartbeat after it.
    const stopHeartbeat = this.startHeartbeat(body, () => sendNewest(this.store.get(key)));
    reply.raw.on('close', () => {
      stopHeartbeat();
      unsubscribe();
      this.watches.delete(reply);
      this.requests.watchClosed(caller);
    });
  }

  private startHeartbeat(body: WatchBody, beforeBeat: () => void): () => void {
    let stopped = false;
    const beat = (): void => {
      if (stopped) return;
      beforeBeat();
      if (!this.faults.settings.watchStall) body.writeLine('');
      this.clock.schedule(this.options.heartbeatMs ?? WATCH_HEARTBEAT_MS, beat);
    };
    beat();
    return () => {
      stopped = true;
    };
  }

  private addLeaseRoutes(): void {
    this.server.post('/leases/*', async (request, reply) => {
      if (!(await this.admit('lease', request, reply))) return reply;
      const name = nameOf(request);
      const { holder, durationMs } = LEASE_BODY.parse(request.body);
      const outcome = this.leases.acquire(name, holder, durationMs, callerOf(request));
      if (!outcome.granted) {
        return reply.code(409).send({ holder: outcome.holder, remainingMs: outcome.remainingMs });
      }
      if (this.faults.losesAnswer()) return cut(reply);
      return { name, holder, fencingToken: outcome.fencingToken, durationMs };
    });
    this.server.delete('/leases/*', async (request, reply) => {
      if (!(await this.admit('release', request, reply))) return reply;
      const { fencingToken } = RELEASE_QUERY.parse(request.query);
      const released = this.leases.release(nameOf(request), fencingToken);
      return released ? reply.code(204).send() : reply.code(409).send({ error: 'another token is in force' });
    });
  }

  private addMachineRoutes(): void {
    this.server.get('/machines', async (request, reply) => {
      if (!(await this.admit('machines', request, reply))) return reply;
      return { machines: this.machines.list() };
    });
    this.server.put('/machines', async (request) => {
      const { machines, lagMs } = MACHINES_BODY.parse(request.body);
      this.machines.set(machines, lagMs);
      return {};
    });
  }

  /** The routes of the tests: not subject to faults, not counted. */
  private addControlRoutes(): void {
    this.server.put('/faults', async (request) => this.setFaults(request.body));
    this.server.get('/faults', async () => this.faults.settings);
    this.server.get('/counters', async () => this.counters());
  }
}

/** Ends the connection without an answer. */
function cut(reply: FastifyReply): FastifyReply {
  reply.hijack();
  reply.raw.destroy();
  return reply;
}
