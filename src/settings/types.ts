/**
 * The effective settings: what every other slice reads. Produced from a settings tree by `resolveSettings`.
 * A tree is identified by its version, the platform's object version of the tree document (source: platform/).
 */
import type { Endpoint } from '../common/types.js';

/** How a mid-flow packet whose back end cannot be established is answered. */
type UnknownFlowAction = 'drop' | 'reset';

/** Probe, ejection and warm-up settings of a service's back ends; times in ms. */
export interface HealthPolicy {
  readonly probeIntervalMs: number;
  readonly probeTimeoutMs: number;
  /** Consecutive failed probes before a back end is unhealthy, and good ones before it is healthy again. */
  readonly unhealthyThreshold: number;
  readonly healthyThreshold: number;
  /** Share (0–1) of a service's back ends that passive ejection may take out at once. */
  readonly maxEjectedShare: number;
  /** Below this share (0–1) of healthy back ends all of them are used (panic). */
  readonly panicShare: number;
  readonly slowStartMs: number;
}

/** Limits of a service; `undefined` means unlimited. Refusals happen at the opening only. */
export interface ServiceLimits {
  readonly maxConnections: number | undefined;
  readonly openingsPerSecond: number | undefined;
  readonly openingsPerSecondPerClient: number | undefined;
  /** Share (0–1) of openings that may be retried on another back end. */
  readonly retryBudgetShare: number;
}

/** A service without limits and without retries. */
export const UNLIMITED_SERVICE: ServiceLimits = {
  maxConnections: undefined,
  openingsPerSecond: undefined,
  openingsPerSecondPerClient: undefined,
  retryBudgetShare: 0,
};

/** One back end as it is used: inherited and overridden fields already merged. */
export interface EffectiveBackend {
  /** Full node path, e.g. `isartal/pickguide/pick-01`. */
  readonly name: string;
  /** `hashString(name)`: the compact identifier used in internal messages; unique in a tree. */
  readonly id: number;
  readonly zone: string;
  /** Where encapsulated packets of its flows are sent. */
  readonly endpoint: Endpoint;
  /** Base of its HTTP health (`/health`) and load (`/load`) endpoints. */
  readonly health: Endpoint;
  /** Relative share of first choices, > 0. */
  readonly weight: number;
  /** Open flows it takes. */
  readonly maxConnections: number;
  /** Requests it runs at once. */
  readonly slots: number;
  /** A draining back end gets no new flow; its open flows stay. */
  readonly draining: boolean;
}

/** One service address and its back ends. */
export interface EffectiveService {
  /** Full node path, e.g. `isartal/pickguide`. */
  readonly name: string;
  /** `hashString(name)`. */
  readonly id: number;
  readonly site: string;
  /** Service address (IPv4) and port that callers use; TCP. */
  readonly address: Endpoint;
  readonly unknownFlow: UnknownFlowAction;
  /** An open flow without packets for this long is forgotten. */
  readonly idleTimeoutMs: number;
  /** 0–1: how much load imbalance zone preference may cost; 0 turns it off. */
  readonly zonePreference: number;
  readonly limits: ServiceLimits;
  readonly healthPolicy: HealthPolicy;
  /** Sorted by id. */
  readonly backends: readonly EffectiveBackend[];
}

/** The whole tree as it is in force. */
export interface EffectiveSettings {
  /** The platform's version of the tree document; rises with every accepted edit. */
  readonly version: number;
  /** Sorted by id. */
  readonly services: readonly EffectiveService[];
}
