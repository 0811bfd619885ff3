/**
 * Keeps the knowledge of all daemons alike: changes and proofs of the few that read the source travel from peer to peer;
 * who lags asks, and who has no proof for too long reads the source itself.
 */
import type { Clock, TimerHandle } from '../common/clock.js';
import { ALL_MECHANISMS_ON, type MechanismCheck } from '../common/mechanisms.js';
import { jitter, pick, type RandomSource } from '../common/random.js';
import { formatEndpoint, type Endpoint } from '../common/types.js';
import type { EventLog } from '../observability/event.js';
import type {
  AppliedUpdate,
  FreshnessTimings,
  RoutingKnowledge,
  RoutingTopic,
  TopicProof,
} from '../routing/index.js';
import { askIntervalMs } from './asking-order.js';
import {
  ANSWER_WAIT_MS,
  CHANGE_GATHER_MS,
  FAR_FETCH_SPREAD_MS,
  FAR_FETCH_WAIT_MS,
  FANOUT_ELSEWHERE,
  FANOUT_IN_ZONE,
  FETCH_INTERVAL_MS,
  GREETING_JITTER,
  GREETING_MAX_MS,
  GREETING_MIN_MS,
  LAST_WAVE_MS,
  NOTHING_KNOWN,
  MAX_DATAGRAM_BYTES,
  PEERS_A_MESSAGE,
  PROOF_GATHER_MS,
  PROOF_STEP_MS,
  PULL_FANOUT,
  PULL_INTERVAL_MS,
  READERS_A_MESSAGE,
  TICK_MS,
} from './constants.js';
import { SPREADING_EVENTS } from './events.js';
import { decodePeerMessage, encodePeerMessage } from './message-codec.js';
import { PeerView } from './peer-view.js';
import { ReaderRole, type RoleReason } from './reader-role.js';
import {
  ROUTING_TOPICS,
  type BackendSuspicion,
  type KnownRevisions,
  type PeerMessage,
  type PeerTransport,
  type SpreadUpdate,
} from './types.js';
import { completeUpdate, UpdateLog } from './update-log.js';

/** What a spreader needs. */
export interface SpreaderOptions {
  readonly selfId: string;
  readonly zone: string;
  /** Asked at each greeting, since a reread of the configuration may change them. */
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
  readonly noteArrival: () => void;
  /** True while what arrives may have waited through a pause of this process, so that its age is unknown. */
  readonly mayBeOld: () => boolean;
  /** True while records may vanish because their owners cannot write. */
  readonly recordsMayLapse: () => boolean;
  /** Mechanisms that are on; all unless given. */
  readonly isOn?: MechanismCheck;
  /** Takes in what another daemon found; true when it was new here, so that it is passed on. */
  readonly noteSuspicion?: (suspicion: BackendSuspicion) => boolean;
}

/** Counters since start. */
export interface SpreadingStatistics {
  messagesSent: number;
  messagesReceived: number;
  bytesSent: number;
  bytesReceived: number;
  pulls: number;
  fetches: number;
  malformed: number;
}

/** See the module. Call `start` once, and `leave` before the transport closes. */
export class Spreader {
  readonly statistics: SpreadingStatistics = {
    ...{ messagesSent: 0, messagesReceived: 0, bytesSent: 0, bytesReceived: 0 },
    ...{ pulls: 0, fetches: 0, malformed: 0 },
  };
  private readonly peers: PeerView;
  private readonly role: ReaderRole;
  private readonly log: UpdateLog;
  private readonly isOn: MechanismCheck;
  private timer: TimerHandle | undefined;
  private proofTimer: TimerHandle | undefined;
  private changeTimer: TimerHandle | undefined;
  private lastWaveTimer: TimerHandle | undefined;
  private farFetchTimer: TimerHandle | undefined;
  private changesSentMs = Number.NEGATIVE_INFINITY;
  /** Revisions up to which changes were sent. */
  private sentRevisions: KnownRevisions = {
    ...{ routes: NOTHING_KNOWN, backends: NOTHING_KNOWN, table: NOTHING_KNOWN },
  };
  /** The question for missing changes that is under way. */
  private question: { readonly peer: string; readonly atMs: number } | undefined;
  private startedAtMs = 0;
  private lastPullMs = Number.NEGATIVE_INFINITY;
  private lastFetchMs = Number.NEGATIVE_INFINITY;
  private fetching = false;
  private nextGreetingMs = 0;
  private overdue = false;
  /** Back ends that left before the start of this daemon are known, or there were none. */
  private knowsDeparted = false;
  /** Monotonic ms of the last proof that this daemon read itself. */
  private ownProofMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: SpreaderOptions) {
    const { selfId, zone, transport, random, events, knowledge, timings } = options;
    this.isOn = options.isOn ?? ALL_MECHANISMS_ON;
    this.log = new UpdateLog(this.isOn);
    this.peers = new PeerView({ self: transport.endpoint, zone, random, events });
    this.role = new ReaderRole(selfId, random, timings, this.isOn);
    knowledge.subscribe((applied) => this.onApplied(applied));
    transport.serve(
      (bytes, from) => this.receive(bytes, from),
      (known) => this.encodeState(known),
    );
  }

  /** Peers known now. */
  get peerCount(): number {
    return this.peers.size;
  }

  get isReading(): boolean {
    return this.role.isReading;
  }

  /**
   * Least time before the next call to a source that does not answer, in ms. Once all lack a proof, all ask; then one of a
   * larger fleet leaves more of it to the others. Who does not know everything yet cannot serve, and goes on by itself.
   */
  leastRetryMs(): number {
    const { clock, knowledge, timings } = this.options;
    if (!this.isOn('asking-turns')) return 0;
    if (!knowledge.isComplete() || knowledge.age() < timings.pullAfterMs) return 0;
    return askIntervalMs(this.peers.reachableDaemons(clock.now()));
  }

  /** Greets the seeds, asks one of them for what it knows, and runs until `signal` aborts. */
  start(signal: AbortSignal): void {
    this.startedAtMs = this.options.clock.now();
    this.greetSeeds(this.startedAtMs);
    const arm = (): void => {
      this.timer = this.options.clock.schedule(TICK_MS, () => {
        this.tick();
        arm();
      });
    };
    arm();
    signal.addEventListener('abort', () => {
      this.timer?.cancel();
      this.proofTimer?.cancel();
      this.changeTimer?.cancel();
      this.lastWaveTimer?.cancel();
      this.farFetchTimer?.cancel();
    });
  }

  /** Tells some peers that this daemon stops. */
  leave(): void {
    this.push({ ...this.message('news', []), leaving: true });
  }

  /** Tells other daemons of a back end that was ejected here. */
  tellSuspicion(suspicion: BackendSuspicion): void {
    this.push({ ...this.message('news', []), suspicions: [suspicion] });
  }

  /** To be called after each answer of the source: what it proved is passed on. */
  noteOwnProof(): void {
    this.ownProofMs = this.options.clock.now();
    this.pushSoon();
  }

  /** A change goes out at once, those that follow it closely go out together. */
  private onApplied({ topic, update, since }: AppliedUpdate): void {
    this.log.note({ topic, since: update.complete ? -1 : since, update });
    const nowMs = this.options.clock.now();
    const waitMs = this.changesSentMs + CHANGE_GATHER_MS - nowMs;
    if (waitMs <= 0) return this.pushChanges();
    this.changeTimer ??= this.options.clock.schedule(waitMs, () => this.pushChanges());
  }

  /** Two more rounds, of proofs only, reach those that the first one missed: they ask for the changes. */
  private pushChanges(): void {
    const { clock } = this.options;
    this.changeTimer?.cancel();
    this.changeTimer = undefined;
    this.changesSentMs = clock.now();
    const sent = this.sentRevisions;
    const updates = ROUTING_TOPICS.flatMap(
      (topic) => this.log.since(topic, { revision: sent[topic], table: sent.table }) ?? [],
    );
    this.sentRevisions = this.knownRevisions();
    this.push(this.message('news', updates));
    this.pushSoon();
    this.lastWaveTimer?.cancel();
    if (!this.isOn('last-wave')) return;
    this.lastWaveTimer = clock.schedule(LAST_WAVE_MS, () => this.pushSoon());
  }

  private tick(): void {
    const { clock, knowledge } = this.options;
    const nowMs = clock.now();
    const ageMs = knowledge.age();
    this.peers.prune(nowMs);
    this.reportAge(ageMs);
    const unprovedMs = Math.min(ageMs, nowMs - this.startedAtMs);
    if (unprovedMs >= this.options.timings.pullAfterMs) this.pull(nowMs);
    if (nowMs >= this.nextGreetingMs) this.greetSeeds(nowMs);
    const daemons = this.peers.reachableDaemons(nowMs);
    const reason = this.role.decide({ nowMs, ageMs, isComplete: knowledge.isComplete(), daemons });
    if (!reason) return;
    this.options.setReading(this.role.isReading);
    this.reportRole(reason);
  }

  /** Seeds may be down or stale at first; later they keep groups from losing each other. */
  private greetSeeds(nowMs: number): void {
    const { random } = this.options;
    const seeds = this.options.seeds();
    const isAlone = this.peers.size < seeds.length;
    this.nextGreetingMs =
      nowMs + jitter(isAlone ? GREETING_MIN_MS : GREETING_MAX_MS, GREETING_JITTER, random);
    const greeted = isAlone || seeds.length === 0 ? seeds : [pick(seeds, random)];
    for (const seed of greeted) this.send(seed, this.message('pull', []));
  }

  private receive(bytes: Uint8Array, from: Endpoint): void {
    const { clock, events } = this.options;
    const nowMs = clock.now();
    this.options.noteArrival();
    this.statistics.messagesReceived += 1;
    this.statistics.bytesReceived += bytes.length;
    const message = decodePeerMessage(bytes, nowMs);
    if (!message) {
      this.statistics.malformed += 1;
      events.emit(SPREADING_EVENTS.malformedMessage, { from: formatEndpoint(from), bytes: bytes.length });
      return;
    }
    if (message.leaving) this.peers.remove(from);
    else this.peers.noteDirect(from, message.senderZone, nowMs);
    for (const { endpoint, zone, heardAtMs } of message.peers) this.peers.note(endpoint, zone, heardAtMs);
    if (message.type === 'pull') return this.answer(message, from);
    this.take(message, from);
  }

  /** Applies news; asks the sender for what is missing. */
  private take(message: PeerMessage, from: Endpoint): void {
    const { knowledge } = this.options;
    const mayBeOld = this.options.mayBeOld();
    const mayHaveLapsed = this.options.recordsMayLapse();
    const ageBeforeMs = knowledge.age();
    for (const { topic, since, update } of message.updates) {
      knowledge.apply(topic, update, { since, provedAtMs: Number.NEGATIVE_INFINITY, mayHaveLapsed });
    }
    if (mayBeOld) return;
    message.readers.forEach((reader) => this.role.note(reader));
    for (const suspicion of message.suspicions) {
      if (this.options.noteSuspicion?.(suspicion)) this.tellSuspicion(suspicion);
    }
    const missing = ROUTING_TOPICS.filter((topic) => {
      const proof = message.proofs[topic];
      return proof !== undefined && !knowledge.acceptProof(topic, proof);
    });
    if (message.departedCount > 0) this.learnDeparted(from);
    if (missing.length === 0 && this.question?.peer === formatEndpoint(from)) this.question = undefined;
    if (missing.length > 0) this.fill(missing, message, from);
    else if (ageBeforeMs - knowledge.age() >= PROOF_STEP_MS) this.pushSoon();
  }

  /** The source lists no back ends that left; flows to them may be open all the same. Asked for once after the start. */
  private learnDeparted(from: Endpoint): void {
    const { knowledge } = this.options;
    if (this.knowsDeparted || knowledge.backends.departedCount > 0) {
      this.knowsDeparted = true;
      return;
    }
    void this.fetch(from, { ...this.knownRevisions(), backends: NOTHING_KNOWN });
  }

  /**
   * Asks for what is missing; the answer comes from the peer's log if it fits. One question is under way at a time, since
   * many tell of the same change at once. Who knows nothing, or lacks something after an answer, fetches.
   */
  private fill(missing: readonly RoutingTopic[], { senderZone, proofs }: PeerMessage, from: Endpoint): void {
    const { clock, knowledge, zone } = this.options;
    const nowMs = clock.now();
    const isNew = missing.some((topic) => knowledge.revisionOf(topic) < 0);
    const wasAnswered = this.question?.peer === formatEndpoint(from);
    const isWaiting = this.question !== undefined && nowMs - this.question.atMs < ANSWER_WAIT_MS;
    if (!isNew && !wasAnswered) {
      if (!isWaiting) this.ask(from, nowMs);
      return;
    }
    this.question = undefined;
    if (senderZone === zone) return void this.fetch(from);
    const isMissing = (): boolean =>
      missing.some((topic) => knowledge.revisionOf(topic) < (proofs[topic]?.changedRevision ?? 0));
    this.fetchFar(from, isNew, isMissing);
  }

  private ask(from: Endpoint, nowMs: number): void {
    this.question = { peer: formatEndpoint(from), atMs: nowMs };
    this.askOne(from);
  }

  /** Fetches from a peer of another zone, unless a nearer one makes that needless meanwhile. */
  private fetchFar(from: Endpoint, isNew: boolean, isMissing: () => boolean): void {
    const { clock, random } = this.options;
    const waitMs = FAR_FETCH_WAIT_MS + (isNew ? 0 : random() * FAR_FETCH_SPREAD_MS);
    this.farFetchTimer ??= clock.schedule(waitMs, () => {
      this.farFetchTimer = undefined;
      if (isMissing()) void this.fetch(from);
    });
  }

  private askOne(from: Endpoint): void {
    this.statistics.pulls += 1;
    this.send(from, this.message('pull', []));
  }

  /** Answers with what the asker lacks, as far as it fits into a datagram. */
  private answer(question: PeerMessage, from: Endpoint): void {
    const updates = ROUTING_TOPICS.flatMap((topic) => {
      const revision = question.proofs[topic]?.revision ?? NOTHING_KNOWN;
      if (revision >= this.options.knowledge.proofOf(topic).changedRevision) return [];
      return this.log.since(topic, { revision, table: question.tableRevision }) ?? [];
    });
    this.send(from, this.message('news', updates));
  }

  private async fetch(from: Endpoint, known = this.knownRevisions()): Promise<void> {
    const { clock, transport, events, knowledge } = this.options;
    if (this.fetching || clock.now() - this.lastFetchMs < FETCH_INTERVAL_MS) return;
    this.fetching = true;
    this.lastFetchMs = clock.now();
    this.statistics.fetches += 1;
    const answer = await transport.fetch(from, known);
    this.fetching = false;
    const peer = formatEndpoint(from);
    if (answer.isErr) return events.emit(SPREADING_EVENTS.fetchFailed, { peer, error: answer.error.message });
    const askedAtMs = this.lastFetchMs;
    const message = decodePeerMessage(answer.value, askedAtMs);
    if (!message) return events.emit(SPREADING_EVENTS.malformedMessage, { from: peer });
    events.emit(SPREADING_EVENTS.fetched, {
      peer,
      bytes: answer.value.length,
      ageMs: round(knowledge.age()),
    });
    this.take(message, from);
  }

  private knownRevisions(): KnownRevisions {
    const { knowledge } = this.options;
    const { tableRevision: table } = knowledge;
    return { routes: knowledge.revisionOf('routes'), backends: knowledge.revisionOf('backends'), table };
  }

  private pull(nowMs: number): void {
    if (nowMs - this.lastPullMs < PULL_INTERVAL_MS) return;
    this.lastPullMs = nowMs;
    const chosen = this.peers.sample(PULL_FANOUT).map(({ endpoint }) => endpoint);
    for (const endpoint of chosen.length > 0 ? chosen : this.options.seeds()) this.askOne(endpoint);
  }

  /** Sends news to some peers at once. */
  private push(message: PeerMessage): void {
    this.proofTimer?.cancel();
    this.proofTimer = undefined;
    for (const { endpoint } of this.peers.choose(FANOUT_IN_ZONE, FANOUT_ELSEWHERE))
      this.send(endpoint, message);
  }

  /** Sends proofs after a moment, together with those that come meanwhile. */
  private pushSoon(): void {
    this.proofTimer ??= this.options.clock.schedule(PROOF_GATHER_MS, () => {
      this.proofTimer = undefined;
      this.push(this.message('news', []));
    });
  }

  private send(to: Endpoint, message: PeerMessage): void {
    const nowMs = this.options.clock.now();
    let bytes = encodePeerMessage(message, nowMs);
    if (bytes.length > MAX_DATAGRAM_BYTES) bytes = encodePeerMessage({ ...message, updates: [] }, nowMs);
    this.statistics.messagesSent += 1;
    this.statistics.bytesSent += bytes.length;
    this.options.transport.send(to, bytes);
  }

  private message(type: PeerMessage['type'], updates: readonly SpreadUpdate[]): PeerMessage {
    const { selfId, zone, knowledge, clock } = this.options;
    const proofs: Partial<Record<RoutingTopic, TopicProof>> = {};
    for (const topic of ROUTING_TOPICS) {
      const proof = knowledge.proofOf(topic);
      if (proof.revision >= 0) proofs[topic] = proof;
    }
    const others = this.role.leadingReaders(clock.now(), READERS_A_MESSAGE);
    const hasProved = this.role.isReading && Number.isFinite(this.ownProofMs);
    const self = hasProved ? [{ id: selfId, provedAtMs: this.ownProofMs }] : [];
    return {
      ...{ type, senderId: selfId, senderZone: zone, leaving: false, proofs, updates, suspicions: [] },
      departedCount: knowledge.backends.departedCount,
      tableRevision: knowledge.tableRevision,
      readers: [...self, ...others],
      peers: this.peers.sample(PEERS_A_MESSAGE),
    };
  }

  /** Changes where the log reaches back far enough, and everything where it does not. */
  private encodeState(known: KnownRevisions): Uint8Array {
    const { knowledge } = this.options;
    const updates = ROUTING_TOPICS.flatMap((topic) => {
      if (known[topic] >= knowledge.proofOf(topic).changedRevision) return [];
      const knownTopic = { revision: known[topic], table: known.table };
      return this.log.since(topic, knownTopic) ?? completeUpdate(knowledge, topic) ?? [];
    });
    return encodePeerMessage(this.message('state', updates), this.options.clock.now());
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

/** Whole milliseconds; undefined before the first proof. */
function round(ageMs: number): number | undefined {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}
