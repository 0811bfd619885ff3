/**
 * The roster: which back ends there are, kept where it outlasts the loss of all daemons and does not lapse. One page a
 * service, each an object of the source's store.
 */
import type Result from 'true-myth/result';
import type { RoutedBackend, RoutingSourceError } from '../routing/index.js';

/** A back end as the roster names it. */
export interface RosterEntry {
  /** Its last record. The cold time is not kept. */
  readonly record: RoutedBackend;
  /** It has left; flows to it may still be open. */
  readonly hasLeft: boolean;
}

/** The entries of one service. */
export interface RosterPage {
  readonly service: string;
  /** Epoch of the source's history to which the revisions of the records belong; absent: 0. */
  readonly epoch?: number;
  /** Daemons of the fleet when it was written, as its writer estimated; absent: unknown. Alone no reason to write. */
  readonly daemons?: number;
  readonly entries: readonly RosterEntry[];
}

/** A page as the store holds it. */
export interface StoredPage {
  readonly page: RosterPage;
  /** Revision of the object; a write that names another one is refused. */
  readonly revision: number;
}

/** What the store holds. */
export interface StoredRoster {
  readonly pages: readonly StoredPage[];
  /** Names of pages that cannot be read, by another writer or of a later build, with the reason. */
  readonly unreadable: readonly UnreadablePage[];
}

/** A page that cannot be read. */
export interface UnreadablePage {
  readonly service: string;
  readonly revision: number;
  readonly problem: string;
}

/** What became of a write. `conflict`: the page is not as the writer knew it, and stays as it is. */
export type RosterWrite =
  { readonly kind: 'written'; readonly revision: number } | { readonly kind: 'conflict' };

/** Where the roster is kept. All calls end when `signal` aborts. */
export interface RosterStore {
  /** Reads all pages; with `mayBeOld` they may be some seconds old, which costs the store less. */
  readRoster(mayBeOld: boolean, signal: AbortSignal): Promise<Result<StoredRoster, RoutingSourceError>>;
  /** Writes a page if it is as the writer knows it. An error says nothing about whether it was done, or will be. */
  writePage(
    page: RosterPage,
    condition: PageCondition,
    signal: AbortSignal,
  ): Promise<Result<RosterWrite, RoutingSourceError>>;
}

/** When a page is written. */
export interface PageCondition {
  /** Only if the stored page has this revision; undefined: only if there is none. */
  readonly revision: number | undefined;
  /** Only if the object takes no more than this many bytes. */
  readonly maxBytes: number;
}
