/**
 * Rule: when a daemon that lags behind a peer pulls, and in which way. Does no input or output; `CatchUp` applies the
 * outcomes.
 *
 * Prevents transfers of the whole state whenever a push is lost, and expensive traffic between zones. A request closes
 * a small gap: the peer answers it from its update log in one datagram. The whole state is fetched over a connection.
 *
 * A daemon fetches in two cases: it knows nothing of a topic, so that no log reaches back far enough (and it cannot
 * serve yet); or it still lacks changes after a response, because the log of that peer does not reach back far enough.
 * In all other cases it sends a request. Only one request is pending at a time, since many peers announce the same
 * change at once. If no response arrives within `RESPONSE_TIMEOUT_MS`, the next peer that announces the change is
 * asked.
 *
 * A fetch from a peer of the same zone starts at once. A fetch from another zone starts after a delay, and only if no
 * peer of the same zone has closed the gap by then.
 */
import {
  FETCH_INTERVAL_MS,
  DEPARTED_FETCH_WINDOW_MS,
  MAX_COMPLETE_LIST_FETCHES,
  PULL_INTERVAL_MS,
  RESPONSE_TIMEOUT_MS,
} from './constants.js';

/** Inputs of `decidePull`, after a message of a peer showed that changes are missing at this daemon. */
export interface Gap {
  /** This daemon knows nothing of a topic that the peer knows. */
  readonly isTopicUnknown: boolean;
  /** The message is the response to the pending request. */
  readonly isResponse: boolean;
  /** Time in ms since the pending request was sent; infinite if there is none. */
  readonly sinceRequestMs: number;
  readonly isSameZone: boolean;
}

/** How the gap is closed. `fetch-unless-nearer`: after a delay, unless a peer of the same zone closes it before. */
export type PullOutcome = 'request' | 'await-response' | 'fetch' | 'fetch-unless-nearer';

/** Decides how to close a gap. */
export function decidePull({ isTopicUnknown, isResponse, sinceRequestMs, isSameZone }: Gap): PullOutcome {
  if (!isTopicUnknown && !isResponse)
    return sinceRequestMs < RESPONSE_TIMEOUT_MS ? 'await-response' : 'request';
  return isSameZone ? 'fetch' : 'fetch-unless-nearer';
}

/** Returns whether a fetch may start: only one at a time, at least `FETCH_INTERVAL_MS` after the last one started. */
export function canStartFetch(isFetching: boolean, sinceLastFetchMs: number): boolean {
  return !isFetching && sinceLastFetchMs >= FETCH_INTERVAL_MS;
}

/**
 * Returns whether a daemon sends a round of pulls because its confirmation is overdue. Times in ms.
 *
 * @param unconfirmedMs time since the last confirmation, or since the start if that was later
 * @param pullAfterMs time after which a confirmation is overdue
 * @param sinceLastPullMs time since the last round of pulls
 */
export function isPullDue(unconfirmedMs: number, pullAfterMs: number, sinceLastPullMs: number): boolean {
  return unconfirmedMs >= pullAfterMs && sinceLastPullMs >= PULL_INTERVAL_MS;
}

/** Inputs of `shouldFetchDeparted`. */
export interface DepartedFetchSituation {
  /** Time in ms since this daemon started. */
  readonly uptimeMs: number;
  /** Number of complete lists of back ends fetched since the start. */
  readonly completeListsFetched: number;
  /** Number of departed back ends that the peer remembers. */
  readonly peerDepartedCount: number;
  /** Number of departed back ends that this daemon remembers. */
  readonly ownDepartedCount: number;
}

/**
 * Returns whether a daemon fetches the complete list of back ends from a peer that remembers departed ones. The source
 * does not list departed back ends, although flows to them may still be open, and does not say how long a back end has
 * been known.
 *
 * Within `DEPARTED_FETCH_WINDOW_MS` after its start a daemon fetches even if it has seen removals itself, since these
 * do not cover earlier departures. It fetches a second time if a peer remembers more, since the first peer may have
 * just started as well. Later, only a daemon that remembers no departed back end fetches: otherwise the first back end
 * that departs would make the whole fleet fetch.
 */
export function shouldFetchDeparted(situation: DepartedFetchSituation): boolean {
  const { uptimeMs, completeListsFetched, peerDepartedCount, ownDepartedCount } = situation;
  if (peerDepartedCount === 0 || completeListsFetched >= MAX_COMPLETE_LIST_FETCHES) return false;
  if (uptimeMs >= DEPARTED_FETCH_WINDOW_MS) return ownDepartedCount === 0;
  return completeListsFetched === 0 || peerDepartedCount > ownDepartedCount;
}
