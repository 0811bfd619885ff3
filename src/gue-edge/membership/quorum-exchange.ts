/**
 * Spreads the quorum base: a member that meets a higher epoch fetches that base from the sender that showed it.
 *
 * Owns the highest epoch seen and the parts of a base on their way. Relies on the epoch that every message names.
 */
import type { Endpoint } from '../../common/types.js';
import type { GuardedTimers } from './guarded-timers.js';
import type { Messenger } from './messenger.js';
import type { QuorumBase } from './quorum-base.js';
import { MessageType, type WireMessage } from './wire.js';

/** What the exchange works with. */
interface QuorumExchangeContext {
  readonly timers: GuardedTimers;
  readonly messenger: Messenger;
  readonly base: QuorumBase;
  readonly isQuorate: () => boolean;
  /** Called when a base was adopted. */
  readonly onAdopted: () => void;
}

/** Id hashes in one message: 4 bytes each, which leaves room for the header in a control payload of 1,200 bytes. */
const HASHES_PER_PART = 250;
/** Most parts of one base: a bound against faulty senders, 16,000 members. */
const MAX_PARTS = 64;

/** Least time between two requests, in ms. Above the time that a response takes. */
const REQUEST_INTERVAL_MS = 500;

/** A quorate member waits this long, in ms, before it fetches: usually it reaches the same epoch by itself. */
const QUORATE_PATIENCE_MS = 3_000;

/** One exchange for each process. */
export class QuorumExchange {
  private highestSeen = 0;
  private seenSinceMs = 0;
  private requestedAtMs = -Infinity;
  private incomingEpoch = 0;
  private readonly incoming = new Map<number, readonly number[]>();

  constructor(private readonly context: QuorumExchangeContext) {}

  /** True while another member has a base of a higher epoch than this one. */
  get isBehind(): boolean {
    return this.highestSeen > this.context.base.epoch;
  }

  /** Highest epoch any member has shown. */
  get seenEpoch(): number {
    return this.highestSeen;
  }

  /** Call with every message. */
  onMessage(from: Endpoint, message: WireMessage): void {
    const { base, timers, isQuorate } = this.context;
    if (message.baseEpoch <= base.epoch) return;
    const nowMs = timers.now();
    if (message.baseEpoch > this.highestSeen) {
      this.highestSeen = message.baseEpoch;
      this.seenSinceMs = nowMs;
    }
    if (isQuorate() && nowMs - this.seenSinceMs < QUORATE_PATIENCE_MS) return;
    if (nowMs - this.requestedAtMs < REQUEST_INTERVAL_MS) return;
    this.requestedAtMs = nowMs;
    this.context.messenger.send(from, { type: MessageType.QUORUM_BASE_REQUEST });
  }

  /** Sends this member's base in parts. */
  onRequest(from: Endpoint): void {
    const { base, messenger } = this.context;
    const idHashes = base.idHashes;
    const parts = Math.max(1, Math.ceil(idHashes.length / HASHES_PER_PART));
    for (let part = 0; part < parts; part += 1) {
      const baseMembers = idHashes.slice(part * HASHES_PER_PART, (part + 1) * HASHES_PER_PART);
      messenger.send(from, { type: MessageType.QUORUM_BASE, baseMembers, part, parts });
    }
  }

  /** Collects the parts of one epoch; adopts the base when all are there. */
  onPart(message: WireMessage): void {
    const { base, onAdopted } = this.context;
    const { baseEpoch, part, parts, baseMembers } = message;
    if (baseEpoch <= base.epoch || parts === 0 || parts > MAX_PARTS || part >= parts) return;
    if (baseEpoch !== this.incomingEpoch) this.incoming.clear();
    this.incomingEpoch = baseEpoch;
    this.incoming.set(part, baseMembers);
    if (this.incoming.size < parts) return;
    base.adopt(baseEpoch, [...this.incoming.values()].flat());
    this.incoming.clear();
    onAdopted();
  }
}
