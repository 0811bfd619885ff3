/** Messages between callers and back ends, carried by segment connections. */

/** A numbered request. `id` is unique over all callers and stays the same when a request not run is sent again. */
export interface RequestMessage {
  readonly kind: 'request';
  readonly id: string;
  /** Name of the flow, echoed in the answer. */
  readonly connection: string;
  /** Rises by one with each request of a flow. */
  readonly number: number;
  readonly service: string;
  /** False for a request that must not run twice. */
  readonly repeatable: boolean;
  /** Time from arrival within which it must start; undefined: no limit. */
  readonly deadlineMs?: number;
  readonly padding?: string;
}

/** Takes back a request that has not started. */
interface CancelMessage {
  readonly kind: 'cancel';
  readonly id: string;
}

export type CallerMessage = RequestMessage | CancelMessage;

/** Why a request was not run. */
export type NotRunReason = 'shed' | 'deadline' | 'cancelled';

/** The answer to one request; echoes whose it is. */
export interface AnswerMessage {
  readonly kind: 'answer';
  readonly id: string;
  readonly connection: string;
  readonly number: number;
  readonly service: string;
  readonly backend: string;
  readonly outcome: 'done' | 'not-run';
  readonly reason?: NotRunReason;
  /** For a request not run: how long to wait before it is sent again. */
  readonly retryAfterMs?: number;
  readonly padding?: string;
}
