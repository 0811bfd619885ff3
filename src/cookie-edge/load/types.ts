/** Call counts of back ends, as the source has them, and the reports of busy back ends that daemons gossip. */
import type Result from 'true-myth/result';
import type { RoutingSourceError } from '../routing/index.js';

/** A back end's count of answered calls, as it last wrote it to the source. */
export interface BackendCallCount {
  readonly id: string;
  /** Start time of its process, as in `RoutedBackend`; counts begin anew with each. */
  readonly incarnation?: number;
  readonly service: string;
  /** Requests it works on at once. */
  readonly capacity: number;
  /** Calls since its start. */
  readonly calls: number;
}

/** A page of call counts, as of some seconds ago at the worst. */
export interface CallCountPage {
  readonly counts: readonly BackendCallCount[];
  /** Where the next page begins; undefined after the last. */
  readonly next: string | undefined;
}

/** Where back ends record how many calls they had. */
export interface CallCountSource {
  /** Reads the page that begins at `after`, the first one where that is undefined. Ends when `signal` aborts. */
  readCallCounts(
    after: string | undefined,
    signal: AbortSignal,
  ): Promise<Result<CallCountPage, RoutingSourceError>>;
}

/** A back end that gets more calls than others of its service. */
export interface BusyBackend {
  /** Low bits (`TAG_MASK`) of the hash of its id. */
  readonly tag: number;
  /** Its calls a second as a multiple of its service's mean for each unit of capacity; above 1. */
  readonly level: number;
}

/** The busy back ends of one page, as a reader of the source found them. */
export interface LoadReport {
  /** Number of the page, from 0. Reports of different pages stand beside each other. */
  readonly page: number;
  /** Monotonic ms at which the source was read. */
  readonly measuredAtMs: number;
  /** Milliseconds for which it may be used. */
  readonly validMs: number;
  /** Back ends that are not named are not busy, as far as is known. */
  readonly busy: readonly BusyBackend[];
}
