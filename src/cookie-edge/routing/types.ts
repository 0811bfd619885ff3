/**
 * Data model of the cookie edge: routes, the back ends that serve them, and cordoned zones. All of it comes from a
 * `RoutingSource`, directly or by gossip from other daemons. The source's revisions order all records within an
 * epoch; a restore of the source from an older backup starts a new epoch (`source-epoch.ts`).
 */
import type Result from 'true-myth/result';
import type { Endpoint } from '../../common/types.js';
import type { RoutingSourceError } from './errors.js';

/** A service that gets a share of a route's new flows. */
export interface RouteTarget {
  readonly service: string;
  /** Relative share of the route's new flows, > 0. */
  readonly weight: number;
}

/** A service address that callers use, and the services behind it. */
export interface Route {
  readonly name: string;
  /** Address that callers use: IPv4 as an unsigned 32-bit integer, port 1–65535. */
  readonly address: number;
  readonly port: number;
  /** Not empty; a route without a split has one target. */
  readonly targets: readonly RouteTarget[];
  /** Regions whose back ends may serve the route; undefined: all. */
  readonly allowedRegions?: readonly string[];
  /** Priority of its requests: 0 is the highest; undefined: the lowest. */
  readonly priority?: number;
  /** Target time in ms from the caller's first packet to the response; undefined: none. */
  readonly targetLatencyMs?: number;
}

/** Settings of one service. */
export interface RoutedService {
  readonly name: string;
  /** Maximum number of open flows per back end. */
  readonly maxConnections: number;
  /** Maximum request rate (per second) per back end during slow start; undefined: no limit. */
  readonly coldRequestsPerSecond?: number;
}

/** All routes and service settings of one version. */
export interface RouteTable {
  /** Version set by the operator; increases in irregular steps. */
  readonly version: number;
  /** Epoch of the source's history to which `revision` belongs; absent: 0. */
  readonly epoch?: number;
  /** Source revision of this table; orders tables of one epoch. */
  readonly revision: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  /** An open flow without packets for this long may be discarded. */
  readonly idleTimeoutMs: number;
}

/** A delta that turns any table of `fromRevisions`, and no other, into the table of `revision`. */
export interface RouteTableChange {
  /** Revisions of the tables from which the change can start: one for a single change, several for merged ones. */
  readonly fromRevisions: readonly number[];
  readonly version: number;
  readonly revision: number;
  readonly idleTimeoutMs: number;
  /** All services of the new table, because there are few. */
  readonly services: readonly RoutedService[];
  /** Routes that are new or differ. */
  readonly routes: readonly Route[];
  /** Names of removed routes. */
  readonly removedRoutes: readonly string[];
  /** `digestOfRoutes` of the new table, to verify the result. */
  readonly digest: number;
  /** `digestOfRequirements` of the new table; absent if the sender does not support this field. */
  readonly requirementDigest?: number;
}

/** Record of a back end process. The process may restart under the same id, as another incarnation. */
export interface RoutedBackend {
  readonly id: string;
  /** Start time of the process, in Unix ms of its own machine's clock; undefined when the record has none. */
  readonly incarnation?: number;
  readonly service: string;
  readonly endpoint: Endpoint;
  readonly zone: string;
  /** Number of requests that it processes concurrently. */
  readonly capacity: number;
  /** True while it is shutting down: it gets no new flows, and open flows continue. */
  readonly draining: boolean;
  /** Remaining slow start time in ms when this record was written. */
  readonly coldMs: number;
  /**
   * Source revision at which the record was created; -1: in an earlier epoch. A record may be created again while the
   * process runs, so this does not tell when the process started. A daemon keeps the lowest value that it receives.
   */
  readonly createdRevision: number;
  /** Source revision of the last change of this record; orders records of one id. */
  readonly revision: number;
}

/** Removal of a back end's record from the source. */
export interface BackendRemoval {
  readonly id: string;
  /** Revision of its last record. A removal wins over a record of the same revision. */
  readonly revision: number;
}

/** A departed back end as sent by another daemon. */
export interface DepartedBackend {
  /** Its last record. */
  readonly record: RoutedBackend;
  /** Monotonic ms at which it departed. */
  readonly departedAtMs: number;
  /** True when its record may only have expired; absent: it left. */
  readonly lapsed?: boolean;
}

/** A cordon: the zone's back ends get no new flows until the operator removes it. */
export interface ZoneCordon {
  readonly zone: string;
  /** Source revision at which it was recorded. */
  readonly revision: number;
}

/** Removal of a cordon. */
export interface CordonRemoval {
  readonly zone: string;
  /** Revision of its last record or of the removal. A removal wins over a record of the same revision. */
  readonly revision: number;
}

/** A problem with a record of the source. */
export interface RecordProblem {
  /** Name of the record, and the revision of its last change. */
  readonly name: string;
  readonly revision: number;
  /** Description of the problem and of how the record is treated. */
  readonly problem: string;
}

/** Part of the source's data that is read and watched separately. Some deployments have no cordons. */
export type RoutingTopic = 'routes' | 'backends' | 'cordons';

/** Records and removals of one topic up to `revision`. */
export interface RoutingUpdate {
  /** Epoch of all revisions in the update, except those of route tables, which have their own; absent: 0. */
  readonly epoch?: number;
  /** The update, with the earlier ones, covers the topic up to this source revision. */
  readonly revision: number;
  /** True: unlisted back ends and cordons are gone. False: it contains only changes since the requested revision. */
  readonly complete: boolean;
  readonly routes: readonly RouteTable[];
  /** Delta instead of a whole table; only in updates from other daemons. */
  readonly routeChange?: RouteTableChange;
  readonly backends: readonly RoutedBackend[];
  readonly removals: readonly BackendRemoval[];
  /** Only in updates of the topic `cordons`, as are `cordonRemovals`. */
  readonly cordons?: readonly ZoneCordon[];
  readonly cordonRemovals?: readonly CordonRemoval[];
  /** Departed back ends, for daemons that never received them; only in updates from other daemons. */
  readonly departed?: readonly DepartedBackend[];
  /** Problems with records that the update omits or corrects; only in updates from the source. */
  readonly problems?: readonly RecordProblem[];
}

/**
 * Who confirmed a topic: a response of the source about the named topic, which confirms other topics as well, or a peer
 * (`host:port`).
 */
export type ConfirmationOrigin = `source-${RoutingTopic}` | `peer-${string}`;

/** Revision up to which a topic is known, and when this was last confirmed as current. */
export interface TopicConfirmation {
  /** Epoch of the source's history to which the revisions belong; absent: 0. */
  readonly epoch?: number;
  /** The topic is known up to this source revision; -1 before the first complete update. */
  readonly revision: number;
  /** The topic did not change between this revision and `revision`. */
  readonly changedRevision: number;
  /** Monotonic ms at which the source had nothing newer than `revision`; -Infinity before the first confirmation. */
  readonly confirmedAtMs: number;
}

/** Required freshness of a response. `any`: it may be seconds old, which is cheaper for the source. */
export type ReadFreshness = 'current' | 'any';

/** Store of routes, back ends and cordons. All calls end when `signal` aborts. */
export interface RoutingSource {
  /** Reads the whole topic. */
  read(
    topic: RoutingTopic,
    freshness: ReadFreshness,
    signal: AbortSignal,
  ): Promise<Result<RoutingUpdate, RoutingSourceError>>;
  /** Waits up to `waitMs` for changes after `revision`; an update without content confirms that there were none. */
  watch(
    topic: RoutingTopic,
    revision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<RoutingUpdate, RoutingSourceError>>;
}
