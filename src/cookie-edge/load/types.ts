/** Call counts of back ends as stored in the source, and the reports of busy back ends that daemons gossip. */
import type Result from 'true-myth/result';
import type { RoutingSourceError } from '../routing/index.js';

/** A back end's count of answered calls, as it last wrote it to the source. */
export interface BackendCallCount {
  readonly id: string;
  /** Start time of its process, as in `RoutedBackend`. A new process counts from 0 again. */
  readonly incarnation?: number;
  readonly service: string;
  /** Number of requests it processes concurrently. */
  readonly capacity: number;
  /** Calls answered since its process started. */
  readonly calls: number;
}

/** A page of call counts. May be some seconds old. */
export interface CallCountPage {
  readonly counts: readonly BackendCallCount[];
  /** Cursor of the next page; undefined on the last page. */
  readonly next: string | undefined;
}

/** The source from which daemons read the call counts of back ends. */
export interface CallCountSource {
  /**
   * Reads one page of call counts.
   *
   * @param cursor `next` of the previous page; undefined reads the first page
   * @param signal cancels the read when it aborts
   */
  readCallCounts(
    cursor: string | undefined,
    signal: AbortSignal,
  ): Promise<Result<CallCountPage, RoutingSourceError>>;
}

/** A back end that gets more calls than others of its service. */
export interface BusyBackend {
  /** Low bits (`TAG_MASK`) of the hash of its id. */
  readonly tag: number;
  /** Its calls a second per unit of capacity, as a multiple of its service's mean; above 1. */
  readonly level: number;
}

/** The busy back ends of one page of call counts. */
export interface LoadReport {
  /** Number of the page, from 0. Reports of different pages are valid at the same time. */
  readonly page: number;
  /** Monotonic ms at which the page was read. */
  readonly measuredAtMs: number;
  /** Lifetime in ms, from `measuredAtMs`. */
  readonly validMs: number;
  /** A back end that is not listed here counts as not busy. */
  readonly busy: readonly BusyBackend[];
}
