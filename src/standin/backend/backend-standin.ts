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
      return reply.code(healthy ? 200 : 503).send({ healthy, draining: backend.draining });
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

/** Starts back ends in this process. */
export async function startBackendStandin(options: BackendStandinOptions): Promise<BackendStandin> {
  const clock = options.clock ?? new SystemClock();
  const executions = new ExecutionLog();
  const byName = new Map<string, Backend>();
  const running: RunningBackend[] = [];
  const closers: (() => Promise<void>)[] = [];
  for (const definition of options.backends) {
    const random = seededRandom((options.seed ?? 1) ^ hashString(definition.name));
    const backend = new Backend(definition, clock, random, executions);
    await backend.start();
    const server = await startControlServer(definition.health, (http) => backendRoutes(http, backend));
    byName.set(definition.name, backend);
    running.push({ name: definition.name, endpoint: backend.endpoint, health: server.endpoint });
    closers.push(server.close, () => backend.close());
  }
  const find = (name: string): Backend => {
    const backend = byName.get(name);
    if (!backend) throw new RangeError(`no back end named ${name} in this process`);
    return backend;
  };
  const standin = {
    backends: running,
    control: options.control,
    setFaults: (name: string, faults: Partial<BackendFaults>) => find(name).setFaults(faults),
    setDraining: (name: string, draining: boolean) => {
      find(name).draining = draining;
    },
    report: (): BackendStandinReport => {
      const backends = [...byName.values()].map((backend) => backend.report());
      return {
        backends,
        unrepeatableRunTwice: executions.runTwice(),
        misdelivered: total(backends.map((backend) => backend.misdelivered)),
        strays: total(backends.map((backend) => backend.strays)),
      };
    },
    executedOf: (ids: readonly string[]) => executions.executedOf(ids),
    unrepeatableIds: () => executions.unrepeatableIds(),
    close: async () => {
      await Promise.all(closers.map((close) => close()));
    },
  };
  const control = await startControlServer(options.control, (server) => processRoutes(server, standin));
  standin.control = control.endpoint;
  closers.push(control.close);
  return standin;
}
