/** Choice of a back end for an opening. */
import type { EffectiveBackend, EffectiveService } from '../../settings/types.js';
import type { HealthFeed } from '../health/types.js';

/** Two 32-bit halves of a flow's hash; equal flows have equal fingerprints on every balancer. */
export interface FlowFingerprint {
  readonly high: number;
  readonly low: number;
}

/** Open flows per back end, as this balancer counts them. */
export interface LoadView {
  /** Flows this balancer keeps at the back end, openings in progress included. */
  openFlows(backendId: number): number;
}

/** Why an opening is refused. The caller sees a reset; nothing has reached a back end. */
export type RefusalReason =
  | 'no-eligible-backend'
  | 'service-connections'
  | 'service-openings'
  | 'client-openings'
  | 'balancer-flow-limit'
  | 'balancer-memory-limit';

/** Result of a choice. */
export type PlacementDecision =
  | {
      readonly outcome: 'place';
      readonly backend: EffectiveBackend;
      /** True when the back end is the first choice of the base set, so that anyone can reconstruct it. */
      readonly firstChoice: boolean;
    }
  | { readonly outcome: 'refuse'; readonly reason: RefusalReason };

/** What a policy may look at. */
export interface PlacementRequest {
  readonly fingerprint: FlowFingerprint;
  /** The service as it is in force now. */
  readonly service: EffectiveService;
  /** Back ends of the shard's base generation: the set that the reconstructible first choice is taken from. */
  readonly baseBackends: readonly EffectiveBackend[];
  /** False while an exception could not be replicated: only a first choice may be returned then. */
  readonly exceptionsAllowed: boolean;
  readonly load: LoadView;
  readonly health: HealthFeed;
  /** Zone of the deciding balancer. */
  readonly zone: string;
  /** Back ends already tried by this opening. */
  readonly exclude?: ReadonlySet<number>;
}

/** A way of choosing; the product's is bounded load, the others are baselines for the experiments. */
export interface PlacementPolicy {
  readonly name: PlacementMode;
  choose(request: PlacementRequest): PlacementDecision;
}

/**
 * bounded-load: the product. rendezvous: first choice, no flow state (baseline). local-table: each balancer keeps
 * its own flow table and shares nothing (baseline). random, least-reported-load: baselines with keepers.
 */
export type PlacementMode = 'bounded-load' | 'rendezvous' | 'local-table' | 'random' | 'least-reported-load';
