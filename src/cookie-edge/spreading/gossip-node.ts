/**
 * Gossip of one daemon. The few readers push changes and freshness confirmations to some peers, which gossip them
 * further. A daemon that lags pulls the missing changes, and a daemon whose confirmation is overdue for too long reads
 * the source itself. Owns the tick and applies received messages. The rules are in `reader-rule.ts`, `gossip-rule.ts`,
 * `pull-rule.ts` and `source-read-pacing.ts`.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import { ALL_MECHANISMS_ON, type MechanismCheck } from '../../common/mechanisms.js';
import { jitter, pick, type RandomSource } from '../../common/random.js';
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import type { EventLog } from '../../observability/event.js';
import type { LoadReport } from '../load/index.js';
import {
  MAX_ASKED_PEERS,
  type HandshakeRecord,
  type OpeningAnswer,
  type OpeningQuery,
} from '../opening-lookup/index.js';
import type { BadAnswerReport } from '../outliers/index.js';
import type { FreshnessTimings, RoutingKnowledge } from '../routing/index.js';
import { CatchUp } from './catch-up.js';
import {
  SEED_PULL_JITTER,
  SEED_PULL_MAX_MS,
  SEED_PULL_MIN_MS,
  PEER_SEARCH_MS,
  PULL_FANOUT,
  GOSSIP_TICK_MS,
} from './constants.js';
import { FreshnessLog } from './freshness-log.js';
import { shouldForwardConfirmation } from './gossip-rule.js';
import { MessageChannel, type MessageCounts } from './message-channel.js';
import { MessageComposer } from './message-composer.js';
import { PeerView } from './peer-view.js';
import { PullAnswers } from './pull-answers.js';
import { isPullDue } from './pull-rule.js';
import { ReaderRole } from './reader-role.js';
import { RecentEjections } from './recent-ejections.js';
import { minimumRetryDelayMs } from './source-read-pacing.js';
import type { EjectionReport, PeerMessage, PeerTransport } from './types.js';
import { UpdateLog } from './update-log.js';
import { UpdateSender } from './update-sender.js';

/** Dependencies and callbacks of a `GossipNode`. */
export interface GossipNodeOptions {
  readonly selfId: string;
  readonly zone: string;
  /** Called before each pull from the seeds, since a reload of the configuration may change them. */
  readonly seeds: () => readonly Endpoint[];
  readonly transport: PeerTransport;
  readonly knowledge: RoutingKnowledge;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly timings: FreshnessTimings;
  /** Starts or stops reading the source. */
  readonly setReading: (isReading: boolean) => void;
  /** Called with each datagram that arrives. */
  readonly recordArrival: () => void;
  /** True while a received message may have been queued during a pause of this process, so that its age is unknown. */
  readonly mayHaveWaited: () => boolean;
  /** True while records of back ends may expire only because their owners cannot write to the source. */
  readonly recordsMayLapse: () => boolean;
  /** True while live back ends may be missing from the list. Defaults to never. */
  readonly isUnsettled?: () => boolean;
  /** Called for each message of a peer that knows back ends and considers its list complete. */
  readonly onSettledPeer?: () => void;
  /** Returns whether a mechanism is on. Defaults to all on. */
  readonly isOn?: MechanismCheck;
  /** Stores a load report of back ends; returns true if it is new to this daemon and must be gossiped further. */
  readonly applyLoadReport?: (report: LoadReport) => boolean;
  /**
   * Records a bad answer that another daemon observed; returns true if it is new to this daemon and must be gossiped
   * further.
   */
  readonly applyBadAnswerReport?: (report: BadAnswerReport) => boolean;
  /** Records an ejection by another daemon; returns true if it is new to this daemon and must be gossiped further. */
  readonly applyEjectionReport?: (report: EjectionReport) => boolean;
  /** Answers a peer that asks where an opening was placed. */
  readonly answerOpeningQuery?: (query: OpeningQuery) => OpeningAnswer;
  /** Applies the answer of a peer, which is identified by the key that `askAboutOpening` returned. */
  readonly applyOpeningAnswer?: (answer: OpeningAnswer, peer: string) => void;
}

/** Gossip of one daemon. Call `start` once, and `leave` before the transport closes. */
export class GossipNode {
  private readonly channel: MessageChannel;
  private readonly peers: PeerView;
  private readonly role: ReaderRole;
  private readonly isOn: MechanismCheck;
  private readonly ejections = new RecentEjections();
  private readonly composer: MessageComposer;
  private readonly sender: UpdateSender;
  private readonly catchUp: CatchUp;
  private readonly pullAnswers = new PullAnswers();
  private readonly freshnessLog: FreshnessLog;
  private tickTimer: TimerHandle | undefined;
  private startedAtMs: number;
  private lastPullMs = Number.NEGATIVE_INFINITY;
  private nextSeedPullMs = 0;

  constructor(private readonly options: GossipNodeOptions) {
    const { selfId, zone, transport, random, events, knowledge, timings, clock, recordArrival } = options;
    this.startedAtMs = clock.now();
    const channel = (this.channel = new MessageChannel({ transport, clock, events, recordArrival }));
    const isOn = (this.isOn = options.isOn ?? ALL_MECHANISMS_ON);
    const log = new UpdateLog(isOn);
    const peers = (this.peers = new PeerView({ self: transport.endpoint, zone, random, events }));
    const role = (this.role = new ReaderRole(selfId, random, timings, isOn));
    this.freshnessLog = new FreshnessLog({ events, knowledge, peers, role, timings });
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
      applyMessage: (message, from) => this.applyMessage(message, from),
    });
    knowledge.subscribe((applied) => this.sender.onUpdateApplied(applied));
    channel.serve(
      (message, from, nowMs) => this.receive(message, from, nowMs),
      (known) => composer.stateMessage(known),
    );
  }

  /** Counters since start. */
  get statistics(): Readonly<MessageCounts> & { readonly fetches: number } {
    return { ...this.channel.counts, fetches: this.catchUp.fetches };
  }

  /** Number of known peers. */
  get peerCount(): number {
    return this.peers.size;
  }

  /** True for a daemon that has just started, has seeds and knows no peer yet. Without seeds it is alone. */
  get isSearchingPeers(): boolean {
    const { clock, seeds } = this.options;
    if (this.peers.size > 0 || seeds().length === 0) return false;
    return clock.now() - this.startedAtMs < PEER_SEARCH_MS;
  }

  /** Estimated number of daemons, including this one. */
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

  /** False after a peer reported departed back ends, until a complete list of them has been fetched. */
  get hasReceivedDeparted(): boolean {
    return this.catchUp.hasReceivedDeparted;
  }

  /**
   * True for the leading reader, which writes the data that the fleet must not lose. Two readers may lead for a moment.
   */
  get isLeadingReader(): boolean {
    return this.role.isLeading(this.options.clock.now());
  }

  /** Minimum backoff in ms before the next call to a source that does not respond. */
  minimumRetryDelayMs(): number {
    const { clock, knowledge, timings } = this.options;
    return minimumRetryDelayMs({
      isPaced: this.isOn('asking-turns'),
      isComplete: knowledge.isComplete(),
      ageMs: knowledge.maxTopicAge(),
      pullAfterMs: timings.pullAfterMs,
      daemons: this.reachableDaemons(clock.now()),
      lacksAnnouncedChange: this.catchUp.lacksAnnouncedChange,
    });
  }

  /** Sends a pull to the seeds and then runs until `signal` aborts. */
  start(signal: AbortSignal): void {
    this.startedAtMs = this.options.clock.now();
    this.pullFromSeeds(this.startedAtMs);
    const scheduleTick = (): void => {
      this.tickTimer = this.options.clock.schedule(GOSSIP_TICK_MS, () => {
        this.tick();
        scheduleTick();
      });
    };
    scheduleTick();
    signal.addEventListener('abort', () => {
      this.tickTimer?.cancel();
      this.sender.stop();
      this.catchUp.stop();
    });
  }

  /** Announces to some peers that this daemon stops. */
  leave(): void {
    this.sender.push(this.composer.leaveMessage());
  }

  /**
   * Gossips that this daemon ejected a back end or detected its death. The loss of a zone causes many ejections at
   * once, so they are batched.
   */
  gossipEjection(report: EjectionReport): void {
    this.ejections.record(report);
    this.sender.scheduleEjectionPush();
  }

  /** Asks the nearest peers where they placed openings. Returns a key for each peer that is asked. */
  askAboutOpenings(queries: readonly OpeningQuery[]): readonly string[] {
    const asked = this.peers.nearestPeers(MAX_ASKED_PEERS).map(({ endpoint }) => endpoint);
    this.channel.send(asked, this.composer.openingQueries(queries));
    return asked.map(formatEndpoint);
  }

  /** Sends handshake records to the nearest peers, which are those that ask this daemon about openings. */
  shareHandshakes(records: readonly HandshakeRecord[]): void {
    const peers = this.peers.nearestPeers(MAX_ASKED_PEERS).map(({ endpoint }) => endpoint);
    this.channel.send(peers, this.composer.openingAnswers(records));
  }

  /** Gossips a bad answer. Several within a short time are batched into one message. */
  gossipBadAnswer(report: BadAnswerReport): void {
    this.composer.badAnswerOutbox.add(report);
    this.sender.scheduleBadAnswerPush();
  }

  /** Applies a load report of back ends; if it is new to this daemon, the next push without changes carries it. */
  gossipLoad(report: LoadReport): void {
    if (this.options.applyLoadReport?.(report)) this.composer.addLoadReport(report);
  }

  /** Gossips a confirmation by the source. Call after each response of the source. */
  recordOwnConfirmation(): void {
    this.composer.recordOwnConfirmation();
    this.sender.scheduleConfirmationPush();
  }

  private tick(): void {
    const { clock, knowledge } = this.options;
    const nowMs = clock.now();
    const ageMs = knowledge.maxTopicAge();
    this.peers.prune(nowMs);
    this.freshnessLog.logOverdueChange(ageMs);
    const unconfirmedMs = Math.min(ageMs, nowMs - this.startedAtMs);
    const { pullAfterMs } = this.options.timings;
    if (isPullDue(unconfirmedMs, pullAfterMs, nowMs - this.lastPullMs)) this.pullFromPeers(nowMs);
    if (nowMs >= this.nextSeedPullMs) this.pullFromSeeds(nowMs);
    const daemons = this.reachableDaemons(nowMs);
    const completeness = { isComplete: knowledge.isComplete(), hasBeenRead: knowledge.hasAllTopics() };
    const { lacksAnnouncedChange } = this.catchUp;
    const reason = this.role.decide({ nowMs, ageMs, daemons, lacksAnnouncedChange, ...completeness });
    this.freshnessLog.logAwaitedTurn(ageMs, daemons);
    if (!reason) return;
    this.options.setReading(this.role.isReading);
    this.freshnessLog.logRoleChange(reason, nowMs);
  }

  /** Estimated number of daemons that reach each other now, including this one. */
  private reachableDaemons(nowMs: number): number {
    const share = this.pullAnswers.answeredShare(nowMs);
    return Math.max(1, Math.round(share * this.peers.reachableDaemons(nowMs)));
  }

  /**
   * Sends a pull to all seeds while fewer peers than seeds are known, since some seeds may be down or stale; later to
   * one random seed, which reunites a fleet after a partition.
   */
  private pullFromSeeds(nowMs: number): void {
    const { random } = this.options;
    const seeds = this.options.seeds();
    const hasTooFewPeers = this.peers.size < seeds.length;
    this.nextSeedPullMs =
      nowMs + jitter(hasTooFewPeers ? SEED_PULL_MIN_MS : SEED_PULL_MAX_MS, SEED_PULL_JITTER, random);
    const targets = hasTooFewPeers || seeds.length === 0 ? seeds : [pick(seeds, random)];
    this.channel.send(targets, this.composer.pullRequest());
  }

  private receive(message: PeerMessage, from: Endpoint, nowMs: number): void {
    if (message.leaving) this.peers.remove(from);
    else this.peers.recordDirectMessage(from, message.senderZone, nowMs);
    this.pullAnswers.recordMessage(formatEndpoint(from));
    for (const { endpoint, zone, heardAtMs } of message.peers) this.peers.record(endpoint, zone, heardAtMs);
    if (message.openingQueries) return this.answerOpeningQueries(message.openingQueries, from);
    if (message.openingAnswers) return this.applyOpeningAnswers(message.openingAnswers, from);
    if (message.type === 'pull') return this.channel.send([from], this.composer.pullResponse(message));
    this.applyMessage(message, from);
  }

  private answerOpeningQueries(queries: readonly OpeningQuery[], from: Endpoint): void {
    const { answerOpeningQuery } = this.options;
    if (!answerOpeningQuery) return;
    this.channel.send([from], this.composer.openingAnswers(queries.map(answerOpeningQuery)));
  }

  private applyOpeningAnswers(answers: readonly OpeningAnswer[], from: Endpoint): void {
    for (const answer of answers) this.options.applyOpeningAnswer?.(answer, formatEndpoint(from));
  }

  /** Applies a message. If it shows that changes are still missing, pulls them from its sender. */
  private applyMessage(message: PeerMessage, from: Endpoint): void {
    const { knowledge } = this.options;
    const mayHaveWaited = this.options.mayHaveWaited();
    const mayHaveLapsed = this.options.recordsMayLapse();
    const previousAgeMs = knowledge.maxTopicAge();
    const peer = formatEndpoint(from);
    for (const { topic, since, update } of message.updates) {
      knowledge.apply(topic, update, { since, confirmedAtMs: Number.NEGATIVE_INFINITY, mayHaveLapsed });
    }
    this.catchUp.recordAnnouncement(message);
    if (mayHaveWaited) return;
    if (!message.unsettled && message.confirmations.backends) this.options.onSettledPeer?.();
    message.readers.forEach((reader) => this.role.recordReader(reader));
    message.loads.forEach((report) => this.gossipLoad(report));
    message.suspicions.forEach((report) => this.applyEjectionReport(report));
    message.badAnswers.forEach((report) => this.applyBadAnswerReport(report));
    const missing = knowledge.topics.filter((topic) => {
      const confirmation = message.confirmations[topic];
      return confirmation !== undefined && !knowledge.applyConfirmation(topic, confirmation, peer);
    });
    this.catchUp.fetchDepartedBackends(from, message.departedCount);
    if (missing.length > 0) return this.catchUp.closeGap(missing, message, from);
    this.catchUp.clearPendingRequest(from);
    if (shouldForwardConfirmation(previousAgeMs, knowledge.maxTopicAge()))
      this.sender.scheduleConfirmationPush();
  }

  /** Applies an ejection report, and gossips it further if it is new to this daemon. */
  private applyEjectionReport(report: EjectionReport): void {
    if (this.options.applyEjectionReport?.(report)) this.gossipEjection(report);
  }

  /** Applies a bad-answer report, and gossips it further if it is new to this daemon. */
  private applyBadAnswerReport(report: BadAnswerReport): void {
    if (this.options.applyBadAnswerReport?.(report)) this.gossipBadAnswer(report);
  }

  private sendPullRequest(peer: Endpoint): void {
    this.channel.counts.pulls += 1;
    this.channel.send([peer], this.composer.pullRequest());
  }

  private pullFromPeers(nowMs: number): void {
    this.lastPullMs = nowMs;
    const chosen = this.peers.randomPeers(PULL_FANOUT).map(({ endpoint }) => endpoint);
    for (const endpoint of chosen) this.pullAnswers.recordPull(formatEndpoint(endpoint), nowMs);
    for (const endpoint of chosen.length > 0 ? chosen : this.options.seeds()) this.sendPullRequest(endpoint);
  }
}
