/** Builders of routes, back ends and updates, and a scripted source, for tests. */
import Result from 'true-myth/result';
import { hashString } from '../../common/hash.js';
import type { Endpoint } from '../../common/types.js';
import { RoutingSourceError, type RoutingSourceErrorKind } from './errors.js';
import type {
  ReadFreshness,
  RoutedBackend,
  RouteTable,
  RoutingSource,
  RoutingTopic,
  RoutingUpdate,
} from './types.js';

/** 198.18.0.1 */
export const SERVICE_ADDRESS = 0xc6120001;
export const SERVICE_PORT = 8443;

/** A peer that sends confirmations. */
export const PEER = '10.1.0.1:7720';

/** Builds a table with one route to `alpha` at `SERVICE_ADDRESS`. */
export function tableAt(revision: number, overrides: Partial<RouteTable> = {}): RouteTable {
  const targets = [{ service: 'alpha', weight: 1 }];
  return {
    version: revision,
    revision,
    idleTimeoutMs: 15_000,
    routes: [{ name: 'route-1', address: SERVICE_ADDRESS, port: SERVICE_PORT, targets }],
    services: [{ name: 'alpha', maxConnections: 2_000 }],
    ...overrides,
  };
}

/** Builds a back end of `alpha` that was recorded at `revision`. Its address is derived from the id. */
export function backendAt(
  id: string,
  revision: number,
  overrides: Partial<RoutedBackend> = {},
): RoutedBackend {
  return {
    id,
    service: 'alpha',
    endpoint: endpointOf(id),
    zone: 'north',
    capacity: 2,
    draining: false,
    coldMs: 0,
    createdRevision: revision,
    revision,
    ...overrides,
  };
}

function endpointOf(id: string): Endpoint {
  const hash = hashString(id);
  return { host: `10.129.${hash >>> 24}.${hash & 0xff}`, port: 1_024 + ((hash >>> 8) & 0x7fff) };
}

/** Builds an update, without content unless `overrides` has some. */
export function updateAt(revision: number, overrides: Partial<RoutingUpdate> = {}): RoutingUpdate {
  return { revision, complete: false, routes: [], backends: [], removals: [], ...overrides };
}

/** A call to a scripted source. */
export interface SourceCall {
  readonly kind: 'read' | 'watch';
  readonly topic: RoutingTopic;
  readonly revision: number;
  readonly waitMs: number;
  /** Only set for a read. */
  readonly freshness?: ReadFreshness;
}

/** Returns the result of `respond` for each call; its promise may never settle. */
export class ScriptedSource implements RoutingSource {
  readonly calls: SourceCall[] = [];

  constructor(
    private readonly respond: (call: SourceCall) => Promise<RoutingUpdate | RoutingSourceErrorKind>,
  ) {}

  read(topic: RoutingTopic, freshness: ReadFreshness): Promise<Result<RoutingUpdate, RoutingSourceError>> {
    return this.call({ kind: 'read', topic, revision: -1, waitMs: 0, freshness });
  }

  watch(
    topic: RoutingTopic,
    revision: number,
    waitMs: number,
  ): Promise<Result<RoutingUpdate, RoutingSourceError>> {
    return this.call({ kind: 'watch', topic, revision, waitMs });
  }

  private async call(call: SourceCall): Promise<Result<RoutingUpdate, RoutingSourceError>> {
    this.calls.push(call);
    const response = await this.respond(call);
    return typeof response === 'string'
      ? Result.err(new RoutingSourceError(response, 'scripted'))
      : Result.ok(response);
  }
}
