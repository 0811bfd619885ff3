/**
 * Failure detector: probes one member an interval, in turn, directly and then through other members.
 *
 * Owns the probe under way, the probes for other members and the order of targets. Relies on `probe-order.ts` for
 * whom to probe, on `probe-verdict.ts` for what silence means, and on the local health score for how long to wait.
 */
import type { TimerHandle } from '../../common/clock.js';
import { Subject } from '../../common/event-stream.js';
import type { RandomSource } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import { INDIRECT_PROBES, LATE_ROUND_MS, PIGGYBACK_BYTES, type MembershipTiming } from './constants.js';
import type { GuardedTimers } from './guarded-timers.js';
import type { LocalHealth } from './local-health.js';
import { isRemoved, type MemberRecord } from './member-record.js';
import type { MemberTable } from './member-table.js';
import type { Messenger } from './messenger.js';
import { probeShift } from './probe-order.js';
import { isAccusedBySilence, isCutOff, judgeUnansweredProbe } from './probe-verdict.js';
import { sampleMembers, shuffle } from './sampling.js';
import { encodeEntry, MessageType, type WireMessage } from './wire.js';

/** What the prober works with. */
interface ProberContext {
  readonly table: MemberTable;
  readonly timers: GuardedTimers;
  /** Wall clock, ms since the epoch. */
  readonly wallMs: () => number;
  readonly random: RandomSource;
  readonly timing: MembershipTiming;
  readonly messenger: Messenger;
  readonly health: LocalHealth;
}

interface OpenProbe {
  readonly target: MemberRecord;
  readonly sequence: number;
  directTimer: TimerHandle;
  helpersAsked: number;
  negativeAnswers: number;
}

interface RelayedProbe {
  readonly requester: Endpoint;
  readonly requesterSequence: number;
  readonly targetHash: number;
  readonly timer: TimerHandle;
}

/** Probes for other members that wait for an answer at once: a bound on memory against faulty requesters. */
const MAX_RELAYED_PROBES = 1_024;

/** One prober for each process. */
export class Prober {
  /** Members that answered neither directly nor through others. */
  readonly unanswered = new Subject<MemberRecord>();
  /** Pushed after each probe; the place for periodic work. */
  readonly rounds = new Subject<void>();
  private urgent: number[] = [];
  private ownOrder: number[] = [];
  private phaseMs = 0;
  private sequence = 0;
  private open: OpenProbe | undefined;
  private roundTimer: TimerHandle | undefined;
  private blindProbes = 0;
  private readonly relayed = new Map<number, RelayedProbe>();

  constructor(private readonly context: ProberContext) {}

  /** True while the last probes got neither an answer nor a response of a helper: this member is probably cut off. */
  get isCutOff(): boolean {
    return isCutOff(this.blindProbes);
  }

  /** Number of the last probe sent; answers to later ones were given later. */
  get lastSequence(): number {
    return this.sequence;
  }

  /** Starts probing at a random phase of the common intervals, away from their ends. */
  start(): void {
    const { timing, random } = this.context;
    this.phaseMs = timing.probeIntervalMs * (0.1 + 0.8 * random());
    this.scheduleRound(this.nextDelayMs());
  }

  stop(): void {
    this.discard();
    this.roundTimer?.cancel();
    for (const { timer } of this.relayed.values()) timer.cancel();
    this.relayed.clear();
  }

  /** Forgets the open probe without judging it: after a pause its silence means nothing. */
  discard(): void {
    this.open?.directTimer.cancel();
    this.open = undefined;
  }

  /** Probes these members next, for instance the rest of a zone that fell silent. */
  probeSoon(idHashes: readonly number[]): void {
    this.urgent = shuffle(idHashes, this.context.random);
  }

  /** Probes a member outside the order, only to hear from it. */
  greet(member: MemberRecord): void {
    this.sendPing(member, this.nextSequence());
  }

  onPing(from: Endpoint, message: WireMessage, firstEntries: readonly Uint8Array[]): void {
    const answer = { type: MessageType.ACK, sequence: message.sequence };
    this.context.messenger.sendWithGossip(from, answer, PIGGYBACK_BYTES, firstEntries);
  }

  /** `senderHash` is the authenticated sender; `message.targetHash` names the member an indirect answer is about. */
  onAck(senderHash: number, message: WireMessage): void {
    const { open, context } = this;
    const answeredBy = message.targetHash || senderHash;
    if (open && open.sequence === message.sequence && answeredBy === open.target.idHash) {
      this.discard();
      this.blindProbes = 0;
      context.health.improve();
      return;
    }
    this.passOn(senderHash, message.sequence);
  }

  onNegativeAck(message: WireMessage): void {
    if (this.open?.sequence === message.sequence) this.open.negativeAnswers += 1;
  }

  onIndirectPing(from: Endpoint, message: WireMessage): void {
    const { table, timers, timing, messenger } = this.context;
    const target = table.get(message.targetHash);
    if (!target || this.relayed.size >= MAX_RELAYED_PROBES) return;
    const sequence = this.nextSequence();
    const timer = timers.schedule(timing.directTimeoutMs, () => {
      this.relayed.delete(sequence);
      messenger.send(from, { type: MessageType.NEGATIVE_ACK, sequence: message.sequence });
    });
    this.relayed.set(sequence, {
      requester: from,
      requesterSequence: message.sequence,
      targetHash: message.targetHash,
      timer,
    });
    this.sendPing(target, sequence);
  }

  private passOn(senderHash: number, sequence: number): void {
    const relayed = this.relayed.get(sequence);
    if (!relayed || relayed.targetHash !== senderHash) return;
    relayed.timer.cancel();
    this.relayed.delete(sequence);
    this.context.messenger.send(relayed.requester, {
      type: MessageType.ACK,
      sequence: relayed.requesterSequence,
      targetHash: senderHash,
    });
  }

  private scheduleRound(delayMs: number): void {
    const { timers, health } = this.context;
    const dueMs = timers.now() + delayMs;
    this.roundTimer = timers.schedule(delayMs, () => {
      if (timers.now() - dueMs >= LATE_ROUND_MS) health.worsen();
      this.scheduleRound(this.nextDelayMs());
      this.judgeOpenProbe();
      this.rounds.push();
      this.probeNext();
    });
  }

  /** To the same phase of the next interval, so that there is one round in each; longer while rounds are stretched. */
  private nextDelayMs(): number {
    const { timing, health, wallMs } = this.context;
    const intervalMs = timing.probeIntervalMs;
    if (health.stretch > 1) return intervalMs * health.stretch;
    const sincePhaseMs = (wallMs() - this.phaseMs) % intervalMs;
    const delayMs = intervalMs - sincePhaseMs;
    return delayMs < intervalMs / 2 ? delayMs + intervalMs : delayMs;
  }

  private judgeOpenProbe(): void {
    const { open, context } = this;
    if (!open) return;
    this.discard();
    if (judgeUnansweredProbe(open.helpersAsked, open.negativeAnswers) === 'blind') {
      this.blindProbes += 1;
      context.health.worsenBlind();
    }
    const current = context.table.get(open.target.idHash);
    if (isAccusedBySilence(current, open.target)) this.unanswered.push(current);
  }

  private probeNext(): void {
    const { timers, timing, health } = this.context;
    const target = this.nextTarget();
    if (!target) {
      this.blindProbes = 0;
      return;
    }
    const sequence = this.nextSequence();
    const directTimer = timers.schedule(timing.directTimeoutMs * health.stretch, () => this.askHelpers());
    this.open = { target, sequence, directTimer, helpersAsked: 0, negativeAnswers: 0 };
    this.sendPing(target, sequence);
  }

  /** A member asked for by `probeSoon`; else the next in the common order, or while rounds are stretched in its own. */
  private nextTarget(): MemberRecord | undefined {
    const { table, timing, wallMs, health } = this.context;
    const urgent = this.nextLive(this.urgent);
    if (urgent) return urgent;
    const ring = table.ring();
    if (ring.length < 2) return undefined;
    if (health.stretch > 1) return this.nextInOwnOrder();
    const round = Math.floor(wallMs() / timing.probeIntervalMs);
    const rank = ring.indexOf(table.self);
    return ring[(rank + probeShift(round, ring.length)) % ring.length];
  }

  private nextInOwnOrder(): MemberRecord | undefined {
    const { table, random } = this.context;
    const member = this.nextLive(this.ownOrder);
    if (member) return member;
    const idHashes = table.peers().map((peer) => peer.idHash);
    this.ownOrder = shuffle(idHashes, random);
    return this.nextLive(this.ownOrder);
  }

  /** Takes the last live member of the list. */
  private nextLive(idHashes: number[]): MemberRecord | undefined {
    for (let idHash = idHashes.pop(); idHash !== undefined; idHash = idHashes.pop()) {
      const member = this.context.table.get(idHash);
      if (member && !isRemoved(member)) return member;
    }
    return undefined;
  }

  /** A suspected target is told so first, so that it can refute. */
  private sendPing(target: MemberRecord, sequence: number): void {
    const { messenger } = this.context;
    const accusation = target.suspected || isRemoved(target) ? [encodeEntry(target, false)] : [];
    const ping = { type: MessageType.PING, sequence };
    messenger.sendWithGossip(target.identity.control, ping, PIGGYBACK_BYTES, accusation);
  }

  private askHelpers(): void {
    const { open, context } = this;
    if (!open) return;
    for (const helper of this.chooseHelpers(open.target)) {
      const request = {
        type: MessageType.INDIRECT_PING,
        sequence: open.sequence,
        targetHash: open.target.idHash,
      };
      if (context.messenger.send(helper.identity.control, request)) open.helpersAsked += 1;
    }
  }

  /** Helpers in zones other than this one's, in different zones where possible, and one from anywhere. */
  private chooseHelpers(target: MemberRecord): MemberRecord[] {
    const { table, random } = this.context;
    const usable = (member: MemberRecord): boolean => member.idHash !== target.idHash && !member.suspected;
    const zonesTaken = new Set([table.self.identity.zone]);
    const helpers: MemberRecord[] = [];
    while (helpers.length < INDIRECT_PROBES - 1) {
      const isNewZone = (member: MemberRecord): boolean =>
        usable(member) && !zonesTaken.has(member.identity.zone);
      const [helper] = sampleMembers(table.peers(), 1, random, isNewZone);
      if (!helper) break;
      zonesTaken.add(helper.identity.zone);
      helpers.push(helper);
    }
    const others = (member: MemberRecord): boolean => usable(member) && !helpers.includes(member);
    helpers.push(...sampleMembers(table.peers(), INDIRECT_PROBES - helpers.length, random, others));
    return helpers;
  }

  private nextSequence(): number {
    this.sequence = (this.sequence + 1) >>> 0;
    return this.sequence;
  }
}
