/**
 * Spreads votes: a changed vote goes to a few random members at once, each of which passes it on a few times; a
 * digest exchanged with one random member now and then repairs what was lost.
 */
import type { Clock } from '../../common/clock.js';
import { jitter, type RandomSource } from '../../common/random.js';
import { Ticker } from '../../common/event-stream.js';
import type { ControlChannel, InboundControlMessage } from '../control/types.js';
import type { Member, MembershipFeed } from '../membership/types.js';
import type { EventLog } from '../../observability/event.js';
import {
  ANTI_ENTROPY_INTERVAL_MS,
  ANTI_ENTROPY_JITTER,
  VOTE_DIGEST_BUCKETS,
  VOTE_GOSSIP_FANOUT,
  GOSSIP_INTERVAL_MS,
  LOAD_ROUNDS,
  LOAD_SENDS,
  VERDICT_SENDS,
  VOTES_PER_MESSAGE,
} from './constants.js';
import { HealthMessageError } from './errors.js';
import { HEALTH_EVENTS } from './events.js';
import { decodeUpdate, encodeUpdate, pages, type HealthUpdate } from './message.js';
import type { Vote, VoteTable } from './votes.js';

/**
 * Votes answered to one digest at most, so that a newcomer of a large fleet does not cause a burst; its next digest
 * requests the rest. Ten messages of `VOTES_PER_MESSAGE`.
 */
const MAX_VOTES_PER_ANSWER = 320;

/**
 * Random picks before a round goes to fewer members than it could. Well above `VOTE_GOSSIP_FANOUT`, because picks may
 * repeat.
 */
const MAX_PICKS = 40;

/** What the gossip is made with. */
interface HealthGossipOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly membership: MembershipFeed;
  readonly control: ControlChannel;
  readonly table: VoteTable;
  /** Called for each vote of another member that was newer than what was known. */
  readonly onVote: (vote: Vote) => void;
}

/** Totals since start. */
export interface GossipStatistics {
  readonly messagesSent: number;
  readonly messagesReceived: number;
  readonly payloadBytesSent: number;
  /** Messages that waited because the byte budget was spent. */
  readonly deferred: number;
}

interface PendingVote {
  vote: Vote;
  /** Verdicts and passive counts go before loads when the byte budget is short. */
  urgent: boolean;
  sendsLeft: number;
}

/** The gossip of one balancer. */
export class HealthGossip {
  /** By back end and member; the newest vote replaces an older one that still waits. */
  private readonly pending = new Map<string, PendingVote>();
  private round = 0;
  private messagesSent = 0;
  private messagesReceived = 0;
  private payloadBytesSent = 0;
  private deferred = 0;

  constructor(private readonly options: HealthGossipOptions) {}

  /** Starts sending and receiving until `signal` aborts. */
  start(signal: AbortSignal): void {
    const { clock, random, control } = this.options;
    control.handle('health', (message) => {
      if (!signal.aborted) this.receive(message);
    });
    new Ticker(clock, () => GOSSIP_INTERVAL_MS).run(signal, () => this.sendPending());
    const antiEntropyDelay = (): number => jitter(ANTI_ENTROPY_INTERVAL_MS, ANTI_ENTROPY_JITTER, random);
    new Ticker(clock, antiEntropyDelay).run(signal, () => this.sendDigest());
    clock.schedule(GOSSIP_INTERVAL_MS, () => {
      if (!signal.aborted) this.sendDigest();
    });
  }

  /** Queues a changed vote. */
  spread(vote: Vote, change: 'load' | 'verdict'): void {
    const key = `${vote.backendId}:${vote.memberHash}`;
    const sends = change === 'verdict' ? VERDICT_SENDS : LOAD_SENDS;
    const waiting = this.pending.get(key);
    const urgent = change === 'verdict' || waiting?.urgent === true;
    this.pending.set(key, { vote, urgent, sendsLeft: Math.max(sends, waiting?.sendsLeft ?? 0) });
  }

  statistics(): GossipStatistics {
    const { messagesSent, messagesReceived, payloadBytesSent, deferred } = this;
    return { messagesSent, messagesReceived, payloadBytesSent, deferred };
  }

  private sendPending(): void {
    this.round += 1;
    const urgentOnly = this.round % LOAD_ROUNDS !== 0;
    const urgent = this.pendingEntries(true);
    const entries = urgentOnly ? urgent : [...urgent, ...this.pendingEntries(false)];
    if (entries.length === 0) return;
    const peers = this.randomPeers(VOTE_GOSSIP_FANOUT);
    if (peers.length === 0) {
      this.pending.clear();
      return;
    }
    for (let start = 0; start < entries.length; start += VOTES_PER_MESSAGE) {
      // What the byte budget holds back now is not even encoded: all of it waits for the next round.
      if (!this.sendPart(entries.slice(start, start + VOTES_PER_MESSAGE), peers)) return;
    }
  }

  private pendingEntries(urgent: boolean): [string, PendingVote][] {
    const entries: [string, PendingVote][] = [];
    for (const entry of this.pending) if (entry[1].urgent === urgent) entries.push(entry);
    return entries;
  }

  /** Sends one message to each peer; false when the byte budget let none of them go. */
  private sendPart(part: readonly [string, PendingVote][], peers: readonly Member[]): boolean {
    const votes = part.map(([, { vote }]) => vote);
    const payload = encodeUpdate({ votes, digest: [], answer: false }, this.options.clock.now());
    let sent = 0;
    for (const peer of peers) if (this.sendPayload(peer, payload)) sent += 1;
    const everyoneHasIt = peers.length < VOTE_GOSSIP_FANOUT && sent === peers.length;
    for (const [key, entry] of part) {
      entry.sendsLeft -= sent;
      if (entry.sendsLeft <= 0 || everyoneHasIt) this.pending.delete(key);
    }
    return sent > 0;
  }

  private sendDigest(): void {
    const [peer] = this.randomPeers(1);
    if (peer) this.send(peer, { votes: [], digest: this.options.table.digest(), answer: false });
  }

  private receive(message: InboundControlMessage): void {
    this.messagesReceived += 1;
    let update: HealthUpdate;
    try {
      update = decodeUpdate(message.payload, this.options.clock.now());
    } catch (cause) {
      const error = new HealthMessageError(message.senderId, { cause });
      this.options.events.emit(HEALTH_EVENTS.badMessage, { sender: message.senderId, error: error.message });
      return;
    }
    for (const vote of update.votes) this.learn(vote);
    if (update.digest.length === VOTE_DIGEST_BUCKETS) this.answerDigest(message, update);
  }

  private learn(vote: Vote): void {
    const change = this.options.table.apply(vote);
    if (change === 'stale') return;
    this.spread(vote, change);
    this.options.onVote(vote);
  }

  /** Sends the votes of the buckets that differ, and the own digest back once so that the other side does the same. */
  private answerDigest(message: InboundControlMessage, update: HealthUpdate): void {
    const own = this.options.table.digest();
    const differing = own.flatMap((hash, bucket) => (hash === update.digest[bucket] ? [] : [bucket]));
    if (differing.length === 0) return;
    const peer = this.options.membership.view().members.find(({ id }) => id === message.senderId);
    if (!peer) return;
    const start = Math.floor(this.options.random() * differing.length);
    const rotated = [...differing.slice(start), ...differing.slice(0, start)];
    const votes = rotated
      .flatMap((bucket) => this.options.table.votesInBucket(bucket))
      .slice(0, MAX_VOTES_PER_ANSWER);
    for (const part of pages(votes)) {
      if (!this.send(peer, { votes: part, digest: [], answer: true })) break;
    }
    if (!update.answer) this.send(peer, { votes: [], digest: own, answer: true });
  }

  private send(peer: Member, update: HealthUpdate): boolean {
    return this.sendPayload(peer, encodeUpdate(update, this.options.clock.now()));
  }

  private sendPayload(peer: Member, payload: Uint8Array): boolean {
    if (!this.options.control.send(peer.control, 'health', payload)) {
      this.deferred += 1;
      return false;
    }
    this.messagesSent += 1;
    this.payloadBytesSent += payload.length;
    return true;
  }

  /** Different random members, this one left out; fewer when there are fewer. */
  private randomPeers(count: number): Member[] {
    const { membership, random } = this.options;
    const { members } = membership.view();
    const chosen = new Set<Member>();
    const wanted = Math.min(count, members.length - 1);
    for (let tries = 0; chosen.size < wanted && tries < MAX_PICKS; tries += 1) {
      const member = members[Math.floor(random() * members.length)];
      if (member && member.id !== membership.selfId) chosen.add(member);
    }
    return [...chosen];
  }
}
