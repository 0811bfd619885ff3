/** One flow of a caller: opens, sends numbered requests, checks each answer, closes. */
import type { Clock, TimerHandle } from '../../common/clock.js';
import type { RandomSource } from '../../common/random.js';
import { formatIpv4, type Segment } from '../../fabric/index.js';
import type { AnswerMessage, RequestMessage } from '../common/messages.js';
import {
  encodeMessage,
  MessageReader,
  SegmentConnection,
  type ConnectionFailure,
  type SegmentAddress,
} from '../segment-connection/index.js';
import type { Tally } from './tally.js';
import type { BreakReason, CallerLoad } from './types.js';

const TWO_POW_32 = 0x1_0000_0000;

/** What a flow needs of its process. */
export interface CallerFlowHost {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly load: CallerLoad;
  readonly tally: Tally;
  readonly requestPadding: string;
  transmit(packet: Buffer): void;
  onFlowEnded(flow: CallerFlow): void;
}

/** Where a flow goes and how long it lives. */
interface CallerFlowPlan {
  /** Unique over all caller processes. */
  readonly name: string;
  readonly service: string;
  readonly local: SegmentAddress;
  readonly remote: SegmentAddress;
  /** Undefined: until the stop. */
  readonly lifetimeMs: number | undefined;
}

interface PendingRequest {
  readonly request: RequestMessage;
  readonly firstSentAtMs: number;
  retries: number;
}

export class CallerFlow {
  private readonly reader = new MessageReader<AnswerMessage>();
  private readonly pending = new Map<number, PendingRequest>();
  private readonly connection: SegmentConnection;
  private readonly startedAtMs: number;
  private openedAtMs: number | undefined;
  private nextNumber = 1;
  private backend: string | undefined;
  private finishing = false;
  private ended = false;
  private requestTimer: TimerHandle | undefined;
  private lifetimeTimer: TimerHandle | undefined;

  constructor(
    private readonly host: CallerFlowHost,
    readonly plan: CallerFlowPlan,
  ) {
    this.startedAtMs = host.clock.now();
    host.tally.countFlow(plan.service, 'attempted');
    this.connection = SegmentConnection.open({
      local: plan.local,
      remote: plan.remote,
      clock: host.clock,
      initialSequence: Math.floor(host.random() * TWO_POW_32),
      giveUpMs: host.load.giveUpMs,
      transmit: (packet) => host.transmit(packet),
      listener: {
        onOpen: () => this.opened(),
        onData: (bytes) => this.takeBytes(bytes),
        onClosed: () => this.closed(),
        onFailed: (failure) => this.failed(failure),
      },
    });
    this.addRequest();
  }

  receive(segment: Segment): void {
    this.connection.receive(segment);
  }

  /** Sends no more requests; closes once every answer is in. */
  finish(): void {
    this.finishing = true;
    this.requestTimer?.cancel();
    this.closeWhenAnswered();
  }

  private opened(): void {
    const { host, plan } = this;
    this.openedAtMs = host.clock.wall();
    host.tally.countFlow(plan.service, 'opened');
    host.tally.changeOpen(plan.service, 1);
    host.tally.openingLatency.record(host.clock.now() - this.startedAtMs);
    if (plan.lifetimeMs !== undefined) {
      this.lifetimeTimer = host.clock.schedule(plan.lifetimeMs, () => this.finish());
    }
    this.scheduleRequest();
    this.closeWhenAnswered();
  }

  private scheduleRequest(): void {
    if (this.finishing || this.ended) return;
    const { clock, load, random } = this.host;
    const intervalMs = load.requestIntervalMs * aroundOne(random);
    this.requestTimer = clock.schedule(intervalMs, () => {
      if (!this.checkTimeouts()) return;
      this.addRequest();
      this.scheduleRequest();
    });
  }

  /** False when a request waited too long and the flow was given up. */
  private checkTimeouts(): boolean {
    const oldest = this.pending.values().next().value;
    const waitedMs = oldest ? this.host.clock.now() - oldest.firstSentAtMs : 0;
    if (waitedMs < this.host.load.requestTimeoutMs) return true;
    this.connection.abort();
    this.broken('unanswered');
    return false;
  }

  private addRequest(): void {
    const { random, load, requestPadding, clock } = this.host;
    const request: RequestMessage = {
      kind: 'request',
      id: `${this.plan.name}/${this.nextNumber}`,
      connection: this.plan.name,
      number: this.nextNumber,
      service: this.plan.service,
      repeatable: random() >= load.unrepeatableShare,
      deadlineMs: load.deadlineMs,
      padding: requestPadding,
    };
    this.nextNumber += 1;
    this.pending.set(request.number, { request, firstSentAtMs: clock.now(), retries: 0 });
    this.host.tally.requests.sent += 1;
    this.connection.write(encodeMessage(request));
    if (random() < load.cancelShare) this.connection.write(encodeMessage({ kind: 'cancel', id: request.id }));
  }

  private takeBytes(bytes: Buffer): void {
    for (const answer of this.reader.push(bytes)) this.takeAnswer(answer);
    this.closeWhenAnswered();
  }

  private takeAnswer(answer: AnswerMessage | undefined): void {
    const pending = answer && this.pending.get(answer.number);
    if (!answer || !pending || !this.isOwn(answer, pending.request)) {
      this.host.tally.requests.foreignOrPartial += 1;
      return;
    }
    this.backend = answer.backend;
    if (answer.outcome === 'done') this.takeDone(pending);
    else this.takeNotRun(pending, answer);
  }

  private isOwn(answer: AnswerMessage, request: RequestMessage): boolean {
    const { id, connection, service } = request;
    return answer.id === id && answer.connection === connection && answer.service === service;
  }

  private takeDone({ request, firstSentAtMs }: PendingRequest): void {
    const { clock, tally } = this.host;
    this.pending.delete(request.number);
    tally.requests.answered += 1;
    tally.requestLatency.record(clock.now() - firstSentAtMs);
  }

  private takeNotRun(pending: PendingRequest, answer: AnswerMessage): void {
    const { clock, load, tally, random } = this.host;
    const again = answer.reason === 'shed' && pending.retries < load.maxRetries && !this.finishing;
    if (!again) {
      this.pending.delete(answer.number);
      tally.recordNotRun(answer.id);
      return;
    }
    pending.retries += 1;
    const waitMs = (answer.retryAfterMs ?? 0) * aroundOne(random);
    clock.schedule(waitMs, () => this.sendAgain(pending));
  }

  private sendAgain(pending: PendingRequest): void {
    if (this.ended || !this.pending.has(pending.request.number)) return;
    this.host.tally.requests.retried += 1;
    this.connection.write(encodeMessage(pending.request));
  }

  private closeWhenAnswered(): void {
    if (this.finishing && this.pending.size === 0) this.connection.close();
    else if (this.finishing && this.openedAtMs !== undefined) this.watchLastAnswers();
  }

  /** A finishing flow sends no requests: its timeouts are watched here, and a probe finds out a lost peer. */
  private watchLastAnswers(): void {
    this.requestTimer?.cancel();
    this.requestTimer = this.host.clock.schedule(this.host.load.requestIntervalMs, () => {
      if (!this.checkTimeouts() || this.pending.size === 0) return;
      this.connection.probe();
      this.watchLastAnswers();
    });
  }

  private closed(): void {
    this.host.tally.countFlow(this.plan.service, 'closed');
    this.end();
  }

  private failed(failure: ConnectionFailure): void {
    if (failure === 'refused' || failure === 'open-timeout') this.notOpened(failure);
    else this.broken(failure);
  }

  private notOpened(failure: 'refused' | 'open-timeout'): void {
    const { tally } = this.host;
    tally.countFlow(this.plan.service, failure === 'refused' ? 'refused' : 'openTimeouts');
    for (const { request } of this.pending.values()) tally.recordNotRun(request.id);
    this.end();
  }

  private broken(reason: BreakReason): void {
    const { tally, clock } = this.host;
    const { local, remote, service } = this.plan;
    tally.requests.unknown += this.pending.size;
    tally.recordBroken({
      flow: `${formatIpv4(local.address)}:${local.port}>${formatIpv4(remote.address)}:${remote.port}`,
      service,
      reason,
      backend: this.backend,
      openedAtMs: this.openedAtMs ?? 0,
      brokenAtMs: clock.wall(),
    });
    this.end();
  }

  private end(): void {
    if (this.ended) return;
    this.ended = true;
    this.requestTimer?.cancel();
    this.lifetimeTimer?.cancel();
    if (this.openedAtMs !== undefined) this.host.tally.changeOpen(this.plan.service, -1);
    this.host.onFlowEnded(this);
  }
}

/** A factor between 0.5 and 1.5 whose mean is 1, so that the flows of a process do not act in step. */
function aroundOne(random: RandomSource): number {
  return 0.5 + random();
}
