/** A process that hosts many hollow daemons, steered over HTTP by the scale run. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { readFileSync } from 'node:fs';
import type { AddressInfo } from 'node:net';
import { z } from 'zod';
import { SystemClock } from '../../common/clock.js';
import { hashString } from '../../common/hash.js';
import { seededRandom } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { createStoreClient } from '../../store/index.js';
import { FlowPool, numericEndpoint } from './flow-generator.js';
import { HollowDaemon, type HollowSurroundings } from './hollow-daemon.js';
import { IDLE_LOAD } from './stub-probe.js';
import type { HostConfiguration, HostSample } from './types.js';

const IDLE_BODY = JSON.stringify(IDLE_LOAD);
const ENDPOINT = z.object({ host: z.string(), port: z.number() });
const CONFIGURATION = z.object({
  keyFile: z.string(),
  platformUrl: z.string(),
  seed: z.number(),
  service: ENDPOINT,
});
const START_BODY = z.object({
  daemons: z.array(z.object({ id: z.string(), region: z.string(), zone: z.string() })),
  seeds: z.array(ENDPOINT),
});
const IDS_BODY = z.object({ ids: z.array(z.string()) });
const LOAD_BODY = z.object({
  openingsPerSecond: z.number(),
  preloadedFlows: z.number(),
  lifetimeMs: z.number(),
});
const LISTEN_BODY = z.object({ count: z.number() });
const PLATFORM_BODY = z.object({ ids: z.array(z.string()), blocked: z.boolean() });

/** Everything a host process does. */
export class HollowHost {
  private readonly daemons = new Map<string, HollowDaemon>();
  private readonly pool: FlowPool;
  private readonly service: { readonly address: number; readonly port: number };

  constructor(private readonly configuration: HostConfiguration & { readonly service: Endpoint }) {
    this.service = numericEndpoint(configuration.service);
    this.pool = new FlowPool(this.service, seededRandom(configuration.seed));
  }

  /** Handles one request; the result is the answer's JSON. */
  async handle(path: string, body: unknown): Promise<unknown> {
    switch (path) {
      case '/start':
        return this.start(START_BODY.parse(body));
      case '/crash':
        return this.end(IDS_BODY.parse(body).ids, (daemon) => daemon.crash());
      case '/leave':
        return this.end(IDS_BODY.parse(body).ids, (daemon) => daemon.leave());
      case '/load':
        return this.forAll((daemon) => daemon.setLoad(LOAD_BODY.parse(body)));
      case '/platform':
        return this.setPlatform(PLATFORM_BODY.parse(body));
      case '/mark':
        return this.forAll((daemon) => daemon.mark());
      case '/listen':
        return listenForProbes(LISTEN_BODY.parse(body).count);
      default:
        return this.sample();
    }
  }

  private async start({ daemons, seeds }: z.output<typeof START_BODY>): Promise<unknown> {
    const started: { id: string; control: Endpoint }[] = [];
    for (const specification of daemons) {
      const daemon = await HollowDaemon.start(specification, this.surroundings(specification.id, seeds));
      this.daemons.set(specification.id, daemon);
      started.push({ id: specification.id, control: daemon.control });
    }
    return { started };
  }

  private surroundings(id: string, seeds: readonly Endpoint[]): HollowSurroundings {
    const { keyFile, platformUrl, seed } = this.configuration;
    const ownSeed = hashString(`${id} ${seed}`);
    const platform = createStoreClient({
      baseUrl: platformUrl,
      clock: new SystemClock(),
      random: seededRandom(ownSeed),
      events: SILENT_EVENT_LOG,
      caller: id,
    });
    return { keyFile, platform, seed: ownSeed, seeds, pool: this.pool, service: this.service };
  }

  private async end(ids: readonly string[], how: (daemon: HollowDaemon) => Promise<void>): Promise<unknown> {
    const chosen = ids.flatMap((id) => this.daemons.get(id) ?? []);
    for (const daemon of chosen) this.daemons.delete(daemon.specification.id);
    await Promise.all(chosen.map(how));
    return { ended: chosen.length };
  }

  private setPlatform({ ids, blocked }: z.output<typeof PLATFORM_BODY>): unknown {
    for (const id of ids) this.daemons.get(id)?.setPlatformBlocked(blocked);
    return {};
  }

  private forAll(action: (daemon: HollowDaemon) => void): unknown {
    for (const daemon of this.daemons.values()) action(daemon);
    return {};
  }

  private sample(): HostSample {
    const { user, system } = process.cpuUsage();
    return {
      atWallMs: Date.now(),
      cpuMs: (user + system) / 1_000,
      residentBytes: process.memoryUsage.rss(),
      daemons: [...this.daemons.values()].map((daemon) => daemon.sample()),
    };
  }
}

/** Opens listeners that answer health and load probes as an idle back end does. */
async function listenForProbes(count: number): Promise<{ readonly endpoints: Endpoint[] }> {
  const endpoints: Endpoint[] = [];
  for (let index = 0; index < count; index += 1) {
    const server = createServer((_request, response) => response.end(IDLE_BODY));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    endpoints.push({ host: '127.0.0.1', port: (server.address() as AddressInfo).port });
  }
  return { endpoints };
}

/** Serves a host on a port chosen by the kernel, prints the ready line and runs until the process is ended. */
export async function runHollowHost(configurationFile: string): Promise<void> {
  const configuration = CONFIGURATION.parse(JSON.parse(readFileSync(configurationFile, 'utf8')));
  const host = new HollowHost(configuration);
  const server = createServer((request, response) => void answer(host, request, response));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  process.stdout.write(
    `${JSON.stringify({ ready: true, control: `127.0.0.1:${port}`, pid: process.pid })}\n`,
  );
  process.on('SIGTERM', () => process.exit(0));
  await new Promise(() => undefined);
}

async function answer(host: HollowHost, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  try {
    const result = await host.handle(request.url ?? '/', text ? JSON.parse(text) : {});
    response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(result));
  } catch (error) {
    response.writeHead(400).end(String(error instanceof Error ? error.message : error));
  }
}
