/** Cache of the class of datagram sources, so that most packets cause no look-up. Relies on its owner to clear it. */
import type { Endpoint } from '../common/types.js';
import { SOURCE_CACHE_ENTRIES } from './constants.js';

/** Who sends from an endpoint. */
type SourceKind = 'balancer' | 'backend' | 'fabric';

/** A known source; one object for each endpoint while it is remembered. */
export interface Source {
  readonly endpoint: Endpoint;
  readonly kind: SourceKind;
}

/** Answers whether an endpoint is a balancer's or a back end's data address. */
export interface SourceRules {
  isPeer(endpoint: Endpoint): boolean;
  isBackend(endpoint: Endpoint): boolean;
}

/** A bounded cache over `SourceRules`; `clear` makes it ask again. */
export class SourceCache {
  private readonly byHost = new Map<string, Map<number, Source>>();
  private entries = 0;
  /** Most packets come from the same source as the one before. */
  private last: Source | undefined;

  constructor(private readonly rules: SourceRules) {}

  find(host: string, port: number): Source {
    const { last } = this;
    if (last && last.endpoint.port === port && last.endpoint.host === host) return last;
    this.last = this.byHost.get(host)?.get(port) ?? this.add(host, port);
    return this.last;
  }

  clear(): void {
    this.byHost.clear();
    this.last = undefined;
    this.entries = 0;
  }

  private add(host: string, port: number): Source {
    if (this.entries >= SOURCE_CACHE_ENTRIES) this.clear();
    const endpoint = { host, port };
    const source = { endpoint, kind: this.classify(endpoint) };
    const ports = this.byHost.get(host) ?? new Map<number, Source>();
    this.byHost.set(host, ports.set(port, source));
    this.entries += 1;
    return source;
  }

  private classify(endpoint: Endpoint): SourceKind {
    if (this.rules.isBackend(endpoint)) return 'backend';
    return this.rules.isPeer(endpoint) ? 'balancer' : 'fabric';
  }
}
