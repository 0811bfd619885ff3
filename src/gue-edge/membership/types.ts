/** Membership of the balancers of one region, as the other slices see it. */
import type { Endpoint } from '../../common/types.js';

/**
 * joining: known, takes no shards yet. active: takes shards. suspect: failed probes, still counted as owner.
 * leaving: handing its shards over, owns none in the view. gone: left or confirmed failed.
 */
export type MemberState = 'joining' | 'active' | 'suspect' | 'leaving' | 'gone';

/** One balancer. */
export interface Member {
  /** Configured name, unique in the region. */
  readonly id: string;
  readonly region: string;
  readonly zone: string;
  /** Authenticated control messages. */
  readonly control: Endpoint;
  /** HTTP admin address: metrics, status, liveness and readiness. */
  readonly admin: Endpoint;
  /** Data packets: from the fabric, and relayed ones from other balancers. */
  readonly data: Endpoint;
  /**
   * Milliseconds since the epoch at process start: a rise means that the process was restarted and holds nothing.
   * Refuted suspicions do not change it.
   */
  readonly incarnation: number;
  readonly state: MemberState;
  /** Tree version the member last said it has in force; 0 when unknown. */
  readonly settingsVersion: number;
}

/** An immutable snapshot of what this balancer believes. */
export interface MembershipView {
  /** Rises with every change of this balancer's own view. */
  readonly sequence: number;
  /** Sorted by id; includes self; members that are gone are left out. */
  readonly members: readonly Member[];
  /**
   * Hash of the ids and incarnations of the members that own shards (active and suspect). Equal digests mean
   * equal ownership.
   */
  readonly digest: number;
  /** False when fewer than half of the members last known together can be reached: see docs/DESIGN.md. */
  readonly quorate: boolean;
}

/** What other slices use of membership. */
export interface MembershipFeed {
  readonly selfId: string;
  view(): MembershipView;
  /** Calls `listener` on each new view; returns the function that ends the subscription. */
  subscribe(listener: (view: MembershipView) => void): () => void;
}
