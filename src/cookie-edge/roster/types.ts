/**
 * Types of the roster: a list of back ends in the source's store, which survives the loss of all daemons and does not
 * expire. It has one page for each service, and each page is one object of the store.
 */
import type Result from 'true-myth/result';
import type { RoutedBackend, RoutingSourceError } from '../routing/index.js';

/** A back end in the roster. */
export interface RosterEntry {
  /** The last record of the back end. Its cold time is not stored. */
  readonly record: RoutedBackend;
  /** The back end has departed; flows to it may still be open. */
  readonly hasLeft: boolean;
}

/** The roster entries of one service. */
export interface RosterPage {
  readonly service: string;
  /** Epoch of the source's history to which the revisions of the records belong; 0 if absent. */
  readonly epoch?: number;
  /** Number of daemons that the writer estimated; absent if unknown. A change of it alone does not cause a write. */
  readonly daemons?: number;
  readonly entries: readonly RosterEntry[];
}

/** A page as the store holds it. */
export interface StoredPage {
  readonly page: RosterPage;
  /** Revision of the object. The store refuses a write that specifies another revision. */
  readonly revision: number;
}

/** The contents of the store. */
export interface StoredRoster {
  readonly pages: readonly StoredPage[];
  /** Pages that this build cannot read, because another program or a later build wrote them. */
  readonly unreadable: readonly UnreadablePage[];
}

/** A page that this build cannot read. */
export interface UnreadablePage {
  readonly service: string;
  readonly revision: number;
  /** Why the page cannot be read. */
  readonly problem: string;
}

/** Result of a write. `conflict`: the stored page does not have the expected revision, and was not changed. */
export type PageWriteResult =
  { readonly kind: 'written'; readonly revision: number } | { readonly kind: 'conflict' };

/** Storage of the roster. Aborting `signal` ends a call. */
export interface RosterStore {
  /** Reads all pages. With `allowStale` they may be some seconds old, which costs the store less. */
  readRoster(allowStale: boolean, signal: AbortSignal): Promise<Result<StoredRoster, RoutingSourceError>>;
  /** Writes a page if `condition` holds. After an error the write may still have been applied, or be applied later. */
  writePage(
    page: RosterPage,
    condition: PageWritePrecondition,
    signal: AbortSignal,
  ): Promise<Result<PageWriteResult, RoutingSourceError>>;
}

/** Preconditions of a write. */
export interface PageWritePrecondition {
  /** Revision that the stored page must have; undefined if no page may exist yet. */
  readonly revision: number | undefined;
  /** Maximum size of the object in bytes. */
  readonly maxBytes: number;
}
