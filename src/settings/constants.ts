/** Limits and defaults of the settings slice. Durations are in milliseconds. */

/** Key of the tree document in the platform's object API. */
export const TREE_OBJECT_KEY = 'settings/tree';

/**
 * Edit records kept in the document; an idempotency token is recognised for as many edits. Far above the edits that can
 * come between a lost answer and its retry.
 */
export const EDIT_HISTORY_LENGTH = 50;

/** Most characters in one segment of a node path: those of a DNS label (RFC 1035). */
export const MAX_SEGMENT_LENGTH = 63;

/** Most writes tried for one edit, the first included. Above the authors that edit at once. */
export const MAX_EDIT_ATTEMPTS = 8;

/** Time in ms after which an edit gives up, retries included. Long as an operator waits. */
export const DEFAULT_EDIT_DEADLINE_MS = 15_000;

/**
 * First wait in ms before a retry; it doubles with each attempt up to `MAX_RETRY_DELAY_MS`. The store client's backoff.
 */
export const FIRST_RETRY_DELAY_MS = 50;
export const MAX_RETRY_DELAY_MS = 2_000;

/** Share by which a retry wait is jittered up and down, so that racing authors do not meet again. */
export const RETRY_JITTER_SHARE = 0.5;
