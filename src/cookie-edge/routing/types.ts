/**
 * What a daemon of the cookie edge knows: routes, the back ends that serve them, and zones that get no new flows. All
 * of it comes from a `RoutingSource` or from other daemons that read it there. The source's revisions order everything
 * within an epoch, which ends when the source is restored from an older copy (`source-epoch.ts`).
 */
import type Result from 'true-myth/result';
import type { Endpoint } from '../../common/types.js';
import type { RoutingSourceError } from './errors.js';

/** One part of a route's traffic. */
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
  /** Regions whose back ends may serve it; undefined: all. */
  readonly allowedRegions?: readonly string[];
  /** Urgency of its requests: 0 is the most urgent; undefined: the least. */
  readonly priority?: number;
  /** Time in ms from the caller's first packet within which its requests should be answered; undefined: none. */
  readonly targetLatencyMs?: number;
}

/** Settings of one service. */
export interface RoutedService {
  readonly name: string;
  /** Open flows that one back end of it holds. */
  readonly maxConnections: number;
  /** Requests a second that one back end of it bears while it is cold from its start; undefined: no limit. */
  readonly coldRequestsPerSecond?: number;
}

/** All routes as they are in force together. */
export interface RouteTable {
  /** Version as the operator counts it; rises in irregular steps. */
  readonly version: number;
  /** Epoch of the source's history to which `revision` belongs; absent: 0. */
  readonly epoch?: number;
  /** Revision of the source that brought it; orders tables of one epoch. */
  readonly revision: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  /** An open flow without packets for this long may be forgotten. */
  readonly idleTimeoutMs: number;
}

/** Leads from each table of `fromRevisions`, and from no other, to the table of `revision`. */
export interface RouteTableChange {
  /** Tables between which the joined changes lead; one for a single change. */
  readonly fromRevisions: readonly number[];
  readonly version: number;
  readonly revision: number;
  readonly idleTimeoutMs: number;
  /** All services of the new table: they are few. */
  readonly services: readonly RoutedService[];
  /** Routes that are new or differ. */
  readonly routes: readonly Route[];
  /** Names of routes that are gone. */
  readonly removedRoutes: readonly string[];
  /** `digestOfRoutes` of the new table, by which the outcome is checked. */
  readonly digest: number;
}

/** A back end process. It may start again under its id, as another incarnation. */
export interface RoutedBackend {
  readonly id: string;
  /** Start time of the process, Unix ms on its own machine's clock; undefined when the record names none. */
  readonly incarnation?: number;
  readonly service: string;
  readonly endpoint: Endpoint;
  readonly zone: string;
  /** Requests it works on at once. */
  readonly capacity: number;
  /** It is leaving: it gets no new flows, and open flows stay. */
  readonly draining: boolean;
  /** Milliseconds for which it is still slow from its start, when this record was written. */
  readonly coldMs: number;
  /**
   * Revision of the source at which the record was created; -1: in an earlier epoch. A record may be created anew, so
   * that it says nothing of when the process started. What a daemon keeps has the lowest that it has been told.
   */
  readonly createdRevision: number;
  /** Revision of the last change of this record; orders records of one id. */
  readonly revision: number;
}

/** A back end that left the source. */
export interface BackendRemoval {
  readonly id: string;
  /** Revision of the last record of it; a removal goes before a record of the same revision. */
  readonly revision: number;
}

/** A back end that left, as another daemon remembers it. */
export interface DepartedBackend {
  /** Its last record. */
  readonly record: RoutedBackend;
  /** Monotonic ms at which it left. */
  readonly departedAtMs: number;
  /** Its record may only have lapsed; absent: it left. */
  readonly lapsed?: boolean;
}

/** A zone whose back ends get no new flows until the operator takes that back. */
export interface ZoneCordon {
  readonly zone: string;
  /** Revision of the source at which it was recorded. */
  readonly revision: number;
}

/** A cordon that was taken back. */
export interface CordonRemoval {
  readonly zone: string;
  /** Revision of the last record of it or of its removal; a removal goes before a record of the same revision. */
  readonly revision: number;
}

/** A fault in a record of the source. */
export interface RecordProblem {
  /** Name of the record, and the revision of its last change. */
  readonly name: string;
  readonly revision: number;
  /** What is wrong, and what is done about it. */
  readonly problem: string;
}

/** What a source is read and watched for separately. Cordons are followed only where the deployment has them. */
export type RoutingTopic = 'routes' | 'backends' | 'cordons';

/** What a source says about a topic, complete up to `revision`. */
export interface RoutingUpdate {
  /** Epoch of the source's history to which all revisions in here belong, tables apart; absent: 0. */
  readonly epoch?: number;
  /** Everything of the topic up to this revision of the source is in here or was before. */
  readonly revision: number;
  /** True: back ends and cordons that are not listed are gone. False: the changes since the requested revision. */
  readonly complete: boolean;
  readonly routes: readonly RouteTable[];
  /** The changes of the table instead of the whole one; only from other daemons. */
  readonly routeChange?: RouteTableChange;
  readonly backends: readonly RoutedBackend[];
  readonly removals: readonly BackendRemoval[];
  /** Only of the topic `cordons`. */
  readonly cordons?: readonly ZoneCordon[];
  readonly cordonRemovals?: readonly CordonRemoval[];
  /** Last records of back ends that left, for daemons that never knew them; only from other daemons. */
  readonly departed?: readonly DepartedBackend[];
  /** Faults in records, which are left out here or corrected; only from the source. */
  readonly problems?: readonly RecordProblem[];
}

/** How far a topic is known, and when that was last confirmed. */
export interface TopicConfirmation {
  /** Epoch of the source's history to which the revisions belong; absent: 0. */
  readonly epoch?: number;
  /** Everything up to this revision of the source is known; -1 before the first complete update. */
  readonly revision: number;
  /** Nothing changed between this revision and `revision`. */
  readonly changedRevision: number;
  /** Monotonic ms at which nothing newer than `revision` existed; -Infinity before the first confirmation. */
  readonly confirmedAtMs: number;
}

/** How new a response must be. `any`: it may be seconds old, which costs the source less. */
export type ReadFreshness = 'current' | 'any';

/** Where routes, back ends and cordons are recorded. All calls end when `signal` aborts. */
export interface RoutingSource {
  /** Reads the whole topic. */
  read(
    topic: RoutingTopic,
    freshness: ReadFreshness,
    signal: AbortSignal,
  ): Promise<Result<RoutingUpdate, RoutingSourceError>>;
  /** Waits up to `waitMs` for changes after `revision`; an update without changes confirms that there were none. */
  watch(
    topic: RoutingTopic,
    revision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<RoutingUpdate, RoutingSourceError>>;
}
