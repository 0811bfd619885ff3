/**
 * Rule: what a daemon that lags behind a peer pulls, and how. Does no input or output; `CatchUp` carries
 * the outcomes out.
 *
 * Prevents a fleet that transfers the whole state whenever a push is lost, and expensive bytes between zones. A small
 * gap is closed by a request that the peer answers from its update log in one datagram; the whole state comes over a
 * connection.
 *
 * A daemon that knows nothing of a topic fetches, since no log reaches back that far and it cannot serve. So does one
 * that still lacks something after a response, since the log of that peer does not reach back far enough. Otherwise
 * it sends one request at a time: many peers announce the same change at once. A peer of the own zone is used at
 * once, one of another zone only if no nearer peer closes the gap meanwhile. A response that is lost counts as
 * missing after `RESPONSE_TIMEOUT_MS`; then the request goes to the next peer that announces the change.
 */
import {
  FETCH_INTERVAL_MS,
  LEARNING_MS,
  MAX_WHOLE_LISTS,
  PULL_INTERVAL_MS,
  RESPONSE_TIMEOUT_MS,
} from './constants.js';

/** What is known when a peer's message shows that something is missing here. */
export interface Gap {
  /** Nothing at all is known of a topic that the peer knows. */
  readonly isWholeTopic: boolean;
  /** The message is the response to the request under way. */
  readonly isResponse: boolean;
  /** Time in ms since the request under way was sent; infinite when there is none. */
  readonly sinceRequestMs: number;
  readonly isSameZone: boolean;
}

/** How the gap is closed. */
export type PullOutcome = 'request' | 'await-response' | 'fetch' | 'fetch-unless-nearer';

/** Decides how to close a gap. */
export function decidePull({ isWholeTopic, isResponse, sinceRequestMs, isSameZone }: Gap): PullOutcome {
  if (!isWholeTopic && !isResponse)
    return sinceRequestMs < RESPONSE_TIMEOUT_MS ? 'await-response' : 'request';
  return isSameZone ? 'fetch' : 'fetch-unless-nearer';
}

/** Returns whether a fetch may start: one at a time, and not too soon after the start of the last one. */
export function mayFetch(isFetching: boolean, sinceLastFetchMs: number): boolean {
  return !isFetching && sinceLastFetchMs >= FETCH_INTERVAL_MS;
}

/**
 * Returns whether a daemon whose confirmation is overdue sends a round of pulls.
 *
 * @param unconfirmedMs time without a confirmation, in ms, no longer than since the start
 * @param pullAfterMs time after which a confirmation is overdue
 * @param sinceLastPullMs time since the last round
 */
export function isPullDue(unconfirmedMs: number, pullAfterMs: number, sinceLastPullMs: number): boolean {
  return unconfirmedMs >= pullAfterMs && sinceLastPullMs >= PULL_INTERVAL_MS;
}

/** What decides whether a whole list of back ends is fetched for what only peers know. */
export interface DepartedRequest {
  /** Time in ms since this daemon started. */
  readonly uptimeMs: number;
  /** Whole lists that were fetched since the start. */
  readonly wholeLists: number;
  /** Departed back ends that the peer remembers, and that are remembered here. */
  readonly departedThere: number;
  readonly departedHere: number;
}

/**
 * Returns whether a daemon fetches a whole list of back ends from a peer that remembers departed ones. The source lists
 * no departed back end, but flows to it may be open; and it does not say how long one has been known. Removals that
 * this daemon saw itself soon after its start are no reason to leave that out. A peer that has just started may lack
 * what others remember. Later only a daemon that remembers none fetches: otherwise the whole fleet would with the first
 * back end that leaves.
 */
export function mayLearnDeparted(request: DepartedRequest): boolean {
  const { uptimeMs, wholeLists, departedThere, departedHere } = request;
  if (departedThere === 0 || wholeLists >= MAX_WHOLE_LISTS) return false;
  if (uptimeMs >= LEARNING_MS) return departedHere === 0;
  return wholeLists === 0 || departedThere > departedHere;
}
