/**
 * Gossip of one daemon: the few readers push changes and freshness confirmations to some peers, which gossip them
 * further. A daemon that lags pulls what it lacks, and one without a confirmation for too long reads the source itself.
 * Owns the tick and the application of messages; the rules stand in `reader-rule.ts`, `gossip-rule.ts`, `pull-rule.ts`
 * and `source-read-pacing.ts`.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import { ALL_MECHANISMS_ON, type MechanismCheck } from '../../common/mechanisms.js';
import { jitter, pick, type RandomSource } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import type { EventLog } from '../../observability/event.js';
import type { LoadReport } from '../load/index.js';
import type { BadAnswerReport } from '../outliers/index.js';
import type { FreshnessTimings, RoutingKnowledge } from '../routing/index.js';
import { CatchUp } from './catch-up.js';
import {
  GREETING_JITTER,
  GREETING_MAX_MS,
  GREETING_MIN_MS,
  PULL_FANOUT,
  GOSSIP_TICK_MS,
} from './constants.js';
import { SPREADING_EVENTS } from './events.js';
import { isConfirmationStep } from './gossip-rule.js';
import { MessageChannel, type MessageCounts } from './message-channel.js';
import { MessageComposer } from './message-composer.js';
import { PeerView } from './peer-view.js';
import { isPullDue } from './pull-rule.js';
import { ReaderRole, type RoleReason } from './reader-role.js';
import { RecentEjections } from './recent-ejections.js';
import { minimumRetryDelayMs } from './source-read-pacing.js';
import type { EjectionReport, PeerMessage, PeerTransport } from './types.js';
import { UpdateLog } from './update-log.js';
import { UpdateSender } from './update-sender.js';

/** Collaborators of a spreader. */
interface SpreaderOptions {
  readonly selfId: string;
  readonly zone: string;
  /** Called at each greeting, since a reread of the configuration may change the seeds. */
  readonly seeds: () => readonly Endpoint[];
  readonly transport: PeerTransport;
  readonly knowledge: RoutingKnowledge;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly timings: FreshnessTimings;
  /** Starts or stops reading the source. */
  readonly setReading: (reading: boolean) => void;
  /** Called with each datagram that arrives. */
  readonly recordArrival: () => void;
  /** True while what arrives may have waited through a pause of this process, so that its age is unknown. */
  readonly mayHaveWaited: () => boolean;
  /** True while records may vanish because their owners cannot write. */
  readonly recordsMayLapse: () => boolean;
  /** True while back ends that live may be missing from the list; never unless given. */
  readonly isUnsettled?: () => boolean;
  /** Called with each message of a peer that knows back ends and trusts its list. */
  readonly onSettledPeer?: () => void;
  /** Mechanisms that are on; all unless given. */
  readonly isOn?: MechanismCheck;
  /** Stores a report of the back ends' load; returns true when it is new here and must be gossiped further. */
  readonly applyLoadReport?: (report: LoadReport) => boolean;
  /**
   * Records a bad answer that another daemon noticed; returns true when it is new here and must be gossiped further.
   */
  readonly applyBadAnswerReport?: (report: BadAnswerReport) => boolean;
  /** Records an ejection at another daemon; returns true when it is new here and must be gossiped further. */
  readonly applyEjectionReport?: (report: EjectionReport) => boolean;
}

/** Spreads what one daemon knows. Call `start` once, and `leave` before the transport closes. */
export class Spreader {
  private readonly channel: MessageChannel;
  private readonly peers: PeerView;
  private readonly role: ReaderRole;
  private readonly isOn: MechanismCheck;
  private readonly ejections = new RecentEjections();
  private readonly composer: MessageComposer;
  private readonly sender: UpdateSender;
  private readonly catchUp: CatchUp;
  private timer: TimerHandle | undefined;
  private startedAtMs = 0;
  private lastPullMs = Number.NEGATIVE_INFINITY;
  private nextGreetingMs = 0;
  private overdue = false;

  constructor(private readonly options: SpreaderOptions) {
    const { selfId, zone, transport, random, events, knowledge, timings, clock, recordArrival } = options;
    const channel = (this.channel = new MessageChannel({ transport, clock, events, recordArrival }));
    const isOn = (this.isOn = options.isOn ?? ALL_MECHANISMS_ON);
    const log = new UpdateLog(isOn);
    const peers = (this.peers = new PeerView({ self: transport.endpoint, zone, random, events }));
    const role = (this.role = new ReaderRole(selfId, random, timings, isOn));
    const { ejections } = this;
    const composer = new MessageComposer({
      selfId,
      zone,
      clock,
      knowledge,
      peers,
      role,
      log,
      ejections,
      isUnsettled: options.isUnsettled ?? (() => false),
    });
    const send = (to: readonly Endpoint[], message: PeerMessage): void => channel.send(to, message);
    this.composer = composer;
    this.sender = new UpdateSender({ clock, knowledge, peers, log, composer, isOn, send });
    this.catchUp = new CatchUp({
      zone,
      clock,
      random,
      events,
      knowledge,
      transport,
      sendRequest: (peer) => this.sendPullRequest(peer),
      apply: (message, from) => this.apply(message, from),
    });
    knowledge.subscribe((applied) => this.sender.onApplied(applied));
    channel.serve(
      (message, from, nowMs) => this.receive(message, from, nowMs),
      (known) => composer.state(known),
    );
  }

  /** Counters since start. */
  get statistics(): Readonly<MessageCounts> & { readonly fetches: number } {
    return { ...this.channel.counts, fetches: this.catchUp.fetches };
  }

  /** Peers known now. */
  get peerCount(): number {
    return this.peers.size;
  }

  /** Estimated number of daemons, this one included. */
  get fleetSize(): number {
    return this.peers.fleetSize;
  }

  /** Returns whether rendezvous hashing assigns `key` to this daemon as one of `count` owners. */
  isOwner(key: string, count: number): boolean {
    return this.peers.isOwner(key, count);
  }

  get isReading(): boolean {
    return this.role.isReading;
  }

  /** False while a peer is known to remember back ends that left, and none has told which. */
  get hasLearntDeparted(): boolean {
    return this.catchUp.hasLearntDeparted;
  }

  /** True for the one reader that writes what all daemons together must not lose; two may lead for a moment. */
  get isLeadingReader(): boolean {
    return this.role.isLeading(this.options.clock.now());
  }

  /** Shortest backoff before the next call to a source that does not respond, in ms. */
  minimumRetryDelayMs(): number {
    const { clock, knowledge, timings } = this.options;
    return minimumRetryDelayMs({
      isPaced: this.isOn('asking-turns'),
      isComplete: knowledge.isComplete(),
      ageMs: knowledge.age(),
      pullAfterMs: timings.pullAfterMs,
      daemons: this.peers.reachableDaemons(clock.now()),
    });
  }

  /** Sends a pull to the seeds and runs until `signal` aborts. */
  start(signal: AbortSignal): void {
    this.startedAtMs = this.options.clock.now();
    this.greetSeeds(this.startedAtMs);
    const arm = (): void => {
      this.timer = this.options.clock.schedule(GOSSIP_TICK_MS, () => {
        this.tick();
        arm();
      });
    };
    arm();
    signal.addEventListener('abort', () => {
      this.timer?.cancel();
      this.sender.stop();
      this.catchUp.stop();
    });
  }

  /** Announces to some peers that this daemon stops. */
  leave(): void {
    this.sender.push(this.composer.farewell());
  }

  /**
   * Gossips that a back end was ejected or found dead here. The loss of a zone causes many ejections at once, so
   * those of a moment share a message.
   */
  gossipEjection(report: EjectionReport): void {
    this.ejections.record(report);
    this.sender.pushEjections();
  }

  /** Gossips a bad answer. Those of a moment share a message. */
  gossipBadAnswer(report: BadAnswerReport): void {
    this.composer.badAnswers.add(report);
    this.sender.pushBadAnswers();
  }

  /** Applies a report of the back ends' load; the next push without changes carries it if it is new here. */
  gossipLoad(report: LoadReport): void {
    if (this.options.applyLoadReport?.(report)) this.composer.addLoadReport(report);
  }

  /** Call after each response of the source: gossips the confirmation. */
  recordOwnConfirmation(): void {
    this.composer.recordOwnConfirmation();
    this.sender.pushSoon();
  }

  private tick(): void {
    const { clock, knowledge } = this.options;
    const nowMs = clock.now();
    const ageMs = knowledge.age();
    this.peers.prune(nowMs);
    this.reportAge(ageMs);
    const unconfirmedMs = Math.min(ageMs, nowMs - this.startedAtMs);
    const { pullAfterMs } = this.options.timings;
    if (isPullDue(unconfirmedMs, pullAfterMs, nowMs - this.lastPullMs)) this.pull(nowMs);
    if (nowMs >= this.nextGreetingMs) this.greetSeeds(nowMs);
    const daemons = this.peers.reachableDaemons(nowMs);
    const known = { isComplete: knowledge.isComplete(), hasBeenRead: knowledge.hasBeenRead() };
    const reason = this.role.decide({ nowMs, ageMs, daemons, ...known });
    if (!reason) return;
    this.options.setReading(this.role.isReading);
    this.reportRole(reason);
  }

  /** Seeds may be down or stale at first; later they prevent the fleet from splitting into groups. */
  private greetSeeds(nowMs: number): void {
    const { random } = this.options;
    const seeds = this.options.seeds();
    const isAlone = this.peers.size < seeds.length;
    this.nextGreetingMs =
      nowMs + jitter(isAlone ? GREETING_MIN_MS : GREETING_MAX_MS, GREETING_JITTER, random);
    const greeted = isAlone || seeds.length === 0 ? seeds : [pick(seeds, random)];
    this.channel.send(greeted, this.composer.pullRequest());
  }

  private receive(message: PeerMessage, from: Endpoint, nowMs: number): void {
    if (message.leaving) this.peers.remove(from);
    else this.peers.recordDirect(from, message.senderZone, nowMs);
    for (const { endpoint, zone, heardAtMs } of message.peers) this.peers.record(endpoint, zone, heardAtMs);
    if (message.type === 'pull') return this.channel.send([from], this.composer.pullResponse(message));
    this.apply(message, from);
  }

  /** Applies a message; pulls from the sender what is missing. */
  private apply(message: PeerMessage, from: Endpoint): void {
    const { knowledge } = this.options;
    const mayHaveWaited = this.options.mayHaveWaited();
    const mayHaveLapsed = this.options.recordsMayLapse();
    const ageBeforeMs = knowledge.age();
    for (const { topic, since, update } of message.updates) {
      knowledge.apply(topic, update, { since, confirmedAtMs: Number.NEGATIVE_INFINITY, mayHaveLapsed });
    }
    if (mayHaveWaited) return;
    if (!message.unsettled && message.confirmations.backends) this.options.onSettledPeer?.();
    message.readers.forEach((reader) => this.role.record(reader));
    message.loads.forEach((report) => this.gossipLoad(report));
    message.suspicions.forEach((report) => this.applyEjectionReport(report));
    message.badAnswers.forEach((report) => this.applyBadAnswerReport(report));
    const missing = knowledge.topics.filter((topic) => {
      const confirmation = message.confirmations[topic];
      return confirmation !== undefined && !knowledge.applyConfirmation(topic, confirmation);
    });
    this.catchUp.learnDeparted(from, message.departedCount);
    if (missing.length > 0) return this.catchUp.requestMissing(missing, message, from);
    this.catchUp.recordNothingMissing(from);
    if (isConfirmationStep(ageBeforeMs, knowledge.age())) this.sender.pushSoon();
  }

  /** Gossips an ejection report that is new here. */
  private applyEjectionReport(report: EjectionReport): void {
    if (this.options.applyEjectionReport?.(report)) this.gossipEjection(report);
  }

  /** Gossips a bad answer that is new here. */
  private applyBadAnswerReport(report: BadAnswerReport): void {
    if (this.options.applyBadAnswerReport?.(report)) this.gossipBadAnswer(report);
  }

  private sendPullRequest(peer: Endpoint): void {
    this.channel.counts.pulls += 1;
    this.channel.send([peer], this.composer.pullRequest());
  }

  private pull(nowMs: number): void {
    this.lastPullMs = nowMs;
    const chosen = this.peers.sample(PULL_FANOUT).map(({ endpoint }) => endpoint);
    for (const endpoint of chosen.length > 0 ? chosen : this.options.seeds()) this.sendPullRequest(endpoint);
  }

  private reportAge(ageMs: number): void {
    const overdue = ageMs >= this.options.timings.pullAfterMs;
    if (overdue === this.overdue) return;
    this.overdue = overdue;
    const event = overdue ? SPREADING_EVENTS.overdue : SPREADING_EVENTS.currentAgain;
    this.options.events.emit(event, { ageMs: round(ageMs), peers: this.peers.size });
  }

  private reportRole(reason: RoleReason): void {
    const { clock, knowledge, events } = this.options;
    const event = this.role.isReading ? SPREADING_EVENTS.reading : SPREADING_EVENTS.standingDown;
    const otherReaders = this.role.otherReaders(clock.now()).length;
    events.emit(event, { reason, otherReaders, ageMs: round(knowledge.age()), peers: this.peers.size });
  }
}

/** Whole milliseconds; undefined before the first confirmation. */
function round(ageMs: number): number | undefined {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}
