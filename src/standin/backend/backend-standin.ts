/** A process of one or many back ends with their HTTP addresses. */
import type { FastifyInstance, FastifyReply } from 'fastify';
import { SystemClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import { hashString } from '../../common/hash.js';
import type { Endpoint } from '../../common/types.js';
import { startControlServer } from '../common/control-server.js';
import { Backend } from './backend.js';
import { ExecutionLog } from './execution-log.js';
import type { BackendFaults, BackendStandinOptions, BackendStandinReport } from './types.js';

/** Status of a health check's answer. */
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Addresses of a running back end. */
interface RunningBackend {
  readonly name: string;
  readonly endpoint: Endpoint;
  readonly health: Endpoint;
}

/** A running process of back ends. */
export interface BackendStandin {
  readonly backends: readonly RunningBackend[];
  readonly control: Endpoint;
  setFaults(name: string, faults: Partial<BackendFaults>): void;
  setDraining(name: string, draining: boolean): void;
  report(): BackendStandinReport;
  /** Those of `ids` that ran here. */
  executedOf(ids: readonly string[]): string[];
  /** Ids of requests that must not run twice and ran here. */
  unrepeatableIds(): string[];
  close(): Promise<void>;
}

function backendRoutes(server: FastifyInstance, backend: Backend): void {
  const whileUp = (reply: FastifyReply, answer: () => unknown): unknown => {
    if (!backend.faults.crash) return answer();
    reply.hijack();
    reply.raw.socket?.destroy();
    return undefined;
  };
  server.get('/health', (_request, reply) =>
    whileUp(reply, () => {
      const healthy = backend.saysHealthy();
      return reply.code(healthy ? HTTP_OK : HTTP_UNAVAILABLE).send({ healthy, draining: backend.draining });
    }),
  );
  server.get('/load', (_request, reply) => whileUp(reply, () => reply.send(backend.saidLoad())));
  server.get('/report', () => backend.report());
  server.put('/faults', (request) => {
    backend.setFaults(request.body as Partial<BackendFaults>);
    return backend.faults;
  });
  server.put('/drain', (request) => {
    backend.draining = (request.body as { draining: boolean }).draining;
    return { draining: backend.draining };
  });
}

function processRoutes(server: FastifyInstance, standin: BackendStandin): void {
  server.get('/report', () => standin.report());
  server.get('/executed-unrepeatable', () => standin.unrepeatableIds());
  server.post('/executed', (request) => standin.executedOf((request.body as { ids: string[] }).ids));
}

function total(counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0);
}

/** The back ends of one process. */
class BackendGroup implements BackendStandin {
  readonly backends: RunningBackend[] = [];
  control: Endpoint;
  private readonly executions = new ExecutionLog();
  private readonly byName = new Map<string, Backend>();
  private readonly closers: (() => Promise<void>)[] = [];

  constructor(private readonly options: BackendStandinOptions) {
    this.control = options.control;
  }

  /** Starts the back ends in their order, then the control address of the process. */
  async start(): Promise<void> {
    const clock = this.options.clock ?? new SystemClock();
    for (const definition of this.options.backends) {
      const random = seededRandom((this.options.seed ?? 1) ^ hashString(definition.name));
      const backend = new Backend(definition, clock, random, this.executions);
      await backend.start();
      const server = await startControlServer(definition.health, (http) => backendRoutes(http, backend));
      this.byName.set(definition.name, backend);
      this.backends.push({ name: definition.name, endpoint: backend.endpoint, health: server.endpoint });
      this.closers.push(server.close, () => backend.close());
    }
    const control = await startControlServer(this.control, (server) => processRoutes(server, this));
    this.control = control.endpoint;
    this.closers.push(control.close);
  }

  setFaults(name: string, faults: Partial<BackendFaults>): void {
    this.find(name).setFaults(faults);
  }

  setDraining(name: string, draining: boolean): void {
    this.find(name).draining = draining;
  }

  report(): BackendStandinReport {
    const backends = [...this.byName.values()].map((backend) => backend.report());
    return {
      backends,
      unrepeatableRunTwice: this.executions.runTwice(),
      misdelivered: total(backends.map((backend) => backend.misdelivered)),
      strays: total(backends.map((backend) => backend.strays)),
    };
  }

  executedOf(ids: readonly string[]): string[] {
    return this.executions.executedOf(ids);
  }

  unrepeatableIds(): string[] {
    return this.executions.unrepeatableIds();
  }

  async close(): Promise<void> {
    await Promise.all(this.closers.map((close) => close()));
  }

  /** Throws `RangeError` for a name that is not in this process. */
  private find(name: string): Backend {
    const backend = this.byName.get(name);
    if (!backend) throw new RangeError(`no back end named ${name} in this process`);
    return backend;
  }
}

/** Starts back ends in this process. */
export async function startBackendStandin(options: BackendStandinOptions): Promise<BackendStandin> {
  const group = new BackendGroup(options);
  await group.start();
  return group;
}
