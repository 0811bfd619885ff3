/** Shapes of the fabric stand-in. */
import type { Clock } from '../../common/clock.js';
import type { Endpoint } from '../../common/types.js';

/** A balancer that packets may be sprayed over. */
export interface FabricBalancer {
  readonly name: string;
  readonly data: Endpoint;
  /** HTTP address whose `/readyz` decides whether it gets packets. */
  readonly admin: Endpoint;
}

/** What the fabric does to packets; shares are 0–1, of packets in either direction. */
export interface FabricImpairments {
  readonly lossShare: number;
  readonly duplicateShare: number;
  /** Share of packets that wait another `reorderDelayMs`. */
  readonly reorderShare: number;
  readonly reorderDelayMs: number;
  readonly oneWayDelayMs: number;
}

export interface FabricOptions extends Partial<FabricImpairments> {
  /** Where callers send encapsulated packets. Ports may be 0. */
  readonly callerSide: Endpoint;
  /** Where balancers send packets towards callers; also the source of sprayed packets. */
  readonly balancerSide: Endpoint;
  readonly control: Endpoint;
  readonly balancers?: readonly FabricBalancer[];
  readonly seed?: number;
  readonly clock?: Clock;
}

/** Totals since start, in packets. */
export interface FabricCounters {
  readonly fromCallers: number;
  readonly sprayed: number;
  readonly toCallers: number;
  readonly lost: number;
  readonly duplicated: number;
  readonly reordered: number;
  readonly noBalancer: number;
  readonly unknownCaller: number;
  readonly malformed: number;
  /** Packets by balancer name. */
  readonly byBalancer: Readonly<Record<string, number>>;
  /** Names of the balancers in rotation now. */
  readonly inRotation: readonly string[];
}
