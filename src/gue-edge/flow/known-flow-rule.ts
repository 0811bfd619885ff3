/**
 * Rule for a caller's packet of a flow that is in the table of a shard kept here.
 *
 * It prevents packets from reaching a back end of another service, a SYN from overtaking the record of its flow,
 * and one flow from being opened at two back ends. No input or output; most packets of answered flows don't come
 * here, see `isForwardedAnyway`.
 */
import { FlowFlag } from './flow-table.js';

/** What becomes of the packet. */
export type KnownFlowVerdict =
  /** The record names a back end of another service: it is not used. */
  | 'wrong-service'
  /** A SYN of an opening that waits for its backup: it replaces the retained one. */
  | 'repeat-syn'
  /** Any other packet of such an opening: it is dropped. */
  | 'drop'
  /** The flow is closed and its caller uses the port again. */
  | 'open'
  /** Another balancer may have opened the flow on another back end meanwhile: the packet is dropped. */
  | 'defer'
  /** One more SYN of an unanswered opening. */
  | 'forward-syn'
  | 'forward';

/** What a packet is judged by. */
export interface KnownFlowInput {
  /** Flags of the flow, see `FlowFlag`. */
  readonly flags: number;
  /** The flow's back end belongs to a service that stands or stood behind the address. */
  readonly isOfService: boolean;
  readonly syn: boolean;
  /** SYN without ACK. */
  readonly opening: boolean;
  /** The shard is served here and not being handed over. */
  readonly serving: boolean;
  /** No other balancer can have taken the shard over. */
  readonly isSurelyKeeper: () => boolean;
}

/**
 * True for a packet that is forwarded whatever else the rule would look at: its flow is answered and does not wait,
 * and it does not open a closed one again. Most packets are of this kind, so they are spared the rule's input.
 */
export function isForwardedAnyway(flags: number, opening: boolean): boolean {
  if ((flags & (FlowFlag.PENDING | FlowFlag.ANSWERED)) !== FlowFlag.ANSWERED) return false;
  return !opening || (flags & FlowFlag.CLOSED) === 0;
}

/**
 * Judges a packet. Order: a record of another service is never used; a flow that waits for its backup sends
 * nothing; a closed flow is opened anew only where openings are made; an unanswered flow needs certainty, an
 * answered one stays with its back end at any keeper.
 */
export function judgeKnownFlow(input: KnownFlowInput): KnownFlowVerdict {
  const { flags, opening } = input;
  if (!input.isOfService) return 'wrong-service';
  if ((flags & FlowFlag.PENDING) !== 0) return input.syn ? 'repeat-syn' : 'drop';
  if (opening && input.serving && (flags & FlowFlag.CLOSED) !== 0) return 'open';
  if ((flags & FlowFlag.ANSWERED) !== 0) return 'forward';
  if (!input.isSurelyKeeper()) return 'defer';
  return opening ? 'forward-syn' : 'forward';
}
