/**
 * Client of the platform's object API over HTTP. Reads and lease requests are repeated within the deadline; a write is
 * repeated only while it has certainly not been sent, and else ends as `platform.unknown-outcome`.
 *
 * Owns the connections and the circuit breaker of one platform. Relies on `retry-rule.ts` for what is tried again, on
 * `lease-trust.ts` for how long a lease holds, and on `watch.ts` for watches.
 */
import Result from 'true-myth/result';
import type { z } from 'zod';
import type { Clock } from '../common/clock.js';
import { pause } from '../common/pause.js';
import { jitter, type RandomSource } from '../common/random.js';
import type { EventLog } from '../observability/event.js';
import { CircuitBreaker, type CircuitState } from './circuit-breaker.js';
import * as limits from './constants.js';
import * as errors from './errors.js';
import type { StoreError } from './errors.js';
import { STORE_EVENTS } from './events.js';
import { trustedDurationMs } from './lease-trust.js';
import { hasTimeForRetry, isSignOfLife, judgeRepeatable, judgeWrite } from './retry-rule.js';
import { PlatformTransport, type Exchange, type ExchangeOutcome } from './transport.js';
import type { Lease, MachineEntry, StoreClient, StoredObject } from './types.js';
import { watchObject } from './watch.js';
import * as wire from './wire.js';

/** Settings of a client; times in ms, defaults in constants.ts. */
export interface StoreClientOptions {
  /** e.g. `http://127.0.0.1:9000`. */
  readonly baseUrl: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  /** Name by which the platform counts this caller. */
  readonly caller?: string;
  readonly callDeadlineMs?: number;
  readonly attemptDeadlineMs?: number;
  readonly watchSilenceMs?: number;
}

/** A client with its connections. */
export interface ConnectedStoreClient extends StoreClient {
  circuitState(): CircuitState;
  /** Closes the connections; calls under way fail. */
  close(): Promise<void>;
}

/** Creates a client; nothing is sent before the first call. */
export function createStoreClient(options: StoreClientOptions): ConnectedStoreClient {
  return new HttpPlatformClient(options);
}

type Answer = Extract<ExchangeOutcome, { kind: 'answered' }>;

class HttpPlatformClient implements ConnectedStoreClient {
  private readonly transport: PlatformTransport;
  private readonly circuit: CircuitBreaker;
  private readonly clock: Clock;
  private readonly callDeadlineMs: number;
  private readonly attemptDeadlineMs: number;
  private readonly closing = new AbortController();

  constructor(private readonly options: StoreClientOptions) {
    this.clock = options.clock;
    this.callDeadlineMs = options.callDeadlineMs ?? limits.CALL_DEADLINE_MS;
    this.attemptDeadlineMs = options.attemptDeadlineMs ?? limits.ATTEMPT_DEADLINE_MS;
    this.transport = new PlatformTransport(options.baseUrl, options.caller ?? 'unnamed', options.clock);
    this.circuit = new CircuitBreaker(options.clock, options.random, (state) => {
      const event = state === 'open' ? STORE_EVENTS.circuitOpened : STORE_EVENTS.circuitClosed;
      options.events.emit(event, { platform: options.baseUrl });
    });
  }

  async get<T>(key: string): Promise<Result<StoredObject<T> | undefined, StoreError>> {
    const action = `read object ${key}`;
    const answer = await this.repeat(action, { method: 'GET', path: wire.resourcePath('objects', key) });
    if (answer.isErr) return Result.err(answer.error);
    if (answer.value.status === 404) return Result.ok(undefined);
    return this.parse(action, answer.value, wire.STORED_OBJECT) as Result<StoredObject<T>, StoreError>;
  }

  async putIfVersion<T>(
    key: string,
    value: T,
    expectedVersion: number,
  ): Promise<Result<StoredObject<T>, StoreError>> {
    const action = `write object ${key}`;
    const path = `${wire.resourcePath('objects', key)}?expectedVersion=${expectedVersion}`;
    const answer = await this.sendOnce(action, { method: 'PUT', path, body: { value } });
    if (answer.isErr) return Result.err(answer.error);
    if (answer.value.status !== 409) {
      return this.parse(action, answer.value, wire.STORED_OBJECT) as Result<StoredObject<T>, StoreError>;
    }
    const conflict = this.parse(action, { ...answer.value, status: 200 }, wire.VERSION_CONFLICT);
    return conflict.andThen(({ version }) =>
      Result.err(errors.versionConflict(key, expectedVersion, version)),
    );
  }

  watch<T>(key: string, afterVersion: number, signal: AbortSignal): AsyncIterable<StoredObject<T>> {
    const { random, events } = this.options;
    const silenceMs = this.options.watchSilenceMs ?? limits.WATCH_SILENCE_MS;
    const context = {
      transport: this.transport,
      circuit: this.circuit,
      clock: this.clock,
      random,
      events,
      silenceMs,
    };
    return watchObject<T>(context, key, afterVersion, AbortSignal.any([signal, this.closing.signal]));
  }

  async acquireLease(name: string, holder: string, durationMs: number): Promise<Result<Lease, StoreError>> {
    const action = `take lease ${name}`;
    let requestedAtMs = this.clock.now();
    const exchange: Exchange = {
      method: 'POST',
      path: wire.resourcePath('leases', name),
      body: { holder, durationMs },
    };
    const answer = await this.repeat(action, exchange, () => (requestedAtMs = this.clock.now()));
    if (answer.isErr) return Result.err(answer.error);
    if (answer.value.status === 409) {
      const conflict = this.parse(action, { ...answer.value, status: 200 }, wire.LEASE_CONFLICT);
      return conflict.andThen((held) => Result.err(errors.leaseHeld(name, held.holder)));
    }
    const grant = this.parse(action, answer.value, wire.LEASE_GRANT);
    return grant.map(({ fencingToken, durationMs: grantedMs }) => ({
      name,
      holder,
      fencingToken,
      trustedUntilMs: requestedAtMs + trustedDurationMs(grantedMs),
    }));
  }

  async releaseLease(lease: Lease): Promise<Result<void, StoreError>> {
    const action = `release lease ${lease.name}`;
    const path = `${wire.resourcePath('leases', lease.name)}?fencingToken=${lease.fencingToken}`;
    const answer = await this.repeat(action, { method: 'DELETE', path });
    if (answer.isErr) return Result.err(answer.error);
    const { status } = answer.value;
    if (status === 204 || status === 404 || status === 409) return Result.ok(undefined);
    return Result.err(this.badAnswer(action, `status ${status}`));
  }

  async listMachines(): Promise<Result<readonly MachineEntry[], StoreError>> {
    const action = 'list the machines';
    const answer = await this.repeat(action, { method: 'GET', path: '/machines' });
    if (answer.isErr) return Result.err(answer.error);
    return this.parse(action, answer.value, wire.MACHINES).map(({ machines }) => machines);
  }

  circuitState(): CircuitState {
    return this.circuit.state();
  }

  async close(): Promise<void> {
    this.closing.abort();
    await this.transport.close();
  }

  /** Sends until an answer comes or the deadline passes; only for requests that may be processed twice. */
  private repeat(
    action: string,
    exchange: Exchange,
    beforeAttempt: () => void = () => undefined,
  ): Promise<Result<Answer, StoreError>> {
    return keepingProcessAlive(() => this.repeatUntilDeadline(action, exchange, beforeAttempt));
  }

  private async repeatUntilDeadline(
    action: string,
    exchange: Exchange,
    beforeAttempt: () => void,
  ): Promise<Result<Answer, StoreError>> {
    const deadlineAtMs = this.clock.now() + this.callDeadlineMs;
    for (let attempt = 0; ; attempt += 1) {
      if (!this.circuit.tryPass()) return Result.err(errors.unreachable(action));
      beforeAttempt();
      const remainingMs = deadlineAtMs - this.clock.now();
      const outcome = await this.attempt(exchange, Math.min(this.attemptDeadlineMs, remainingMs));
      const verdict = judgeRepeatable(outcome);
      if (verdict.kind === 'answered') return Result.ok(verdict.answer);
      if (verdict.kind === 'bad-answer') return Result.err(this.badAnswer(action, 'the body is not JSON'));
      const pauseMs = this.backoffMs(attempt);
      if (!this.mayRetry(pauseMs, deadlineAtMs)) {
        return Result.err(this.failure(action, outcome));
      }
      await pause(this.clock, pauseMs, this.closing.signal);
    }
  }

  /** Sends a write; repeats it only while no connection could be made. */
  private sendOnce(action: string, exchange: Exchange): Promise<Result<Answer, StoreError>> {
    return keepingProcessAlive(() => this.sendUntilConnected(action, exchange));
  }

  private async sendUntilConnected(action: string, exchange: Exchange): Promise<Result<Answer, StoreError>> {
    const deadlineAtMs = this.clock.now() + this.callDeadlineMs;
    for (let attempt = 0; ; attempt += 1) {
      if (!this.circuit.tryPass()) return Result.err(errors.unreachable(action));
      const outcome = await this.attempt(exchange, deadlineAtMs - this.clock.now());
      const verdict = judgeWrite(outcome);
      if (verdict.kind === 'answered') return Result.ok(verdict.answer);
      const cause = 'cause' in outcome ? outcome.cause : undefined;
      if (verdict.kind === 'unknown-outcome') {
        this.options.events.emit(STORE_EVENTS.unknownOutcome, { action });
        return Result.err(errors.unknownOutcome(action, cause));
      }
      const pauseMs = this.backoffMs(attempt);
      if (!this.mayRetry(pauseMs, deadlineAtMs)) {
        return Result.err(errors.unreachable(action, cause));
      }
      await pause(this.clock, pauseMs, this.closing.signal);
    }
  }

  private async attempt(exchange: Exchange, deadlineMs: number): Promise<ExchangeOutcome> {
    const outcome = await this.transport.exchange(exchange, deadlineMs);
    if (isSignOfLife(outcome)) this.circuit.succeeded();
    else this.circuit.failed();
    return outcome;
  }

  private mayRetry(pauseMs: number, deadlineAtMs: number): boolean {
    return !this.closing.signal.aborted && hasTimeForRetry(this.clock.now(), pauseMs, deadlineAtMs);
  }

  private failure(action: string, outcome: ExchangeOutcome): StoreError {
    if (outcome.kind === 'lost' && outcome.timedOut) {
      return errors.deadlineExceeded(action, this.callDeadlineMs, outcome.cause);
    }
    return errors.unreachable(action, 'cause' in outcome ? outcome.cause : undefined);
  }

  private backoffMs(attempt: number): number {
    const baseMs = Math.min(limits.BACKOFF_MAX_MS, limits.BACKOFF_BASE_MS * 2 ** attempt);
    return jitter(baseMs, limits.BACKOFF_SPREAD, this.options.random);
  }

  private parse<S extends z.ZodType>(
    action: string,
    answer: Answer,
    schema: S,
  ): Result<z.output<S>, StoreError> {
    if (answer.status !== 200) return Result.err(this.badAnswer(action, `status ${answer.status}`));
    const parsed = schema.safeParse(answer.answer);
    if (parsed.success) return Result.ok(parsed.data);
    return Result.err(this.badAnswer(action, parsed.error.issues[0]?.message ?? 'unexpected shape'));
  }

  private badAnswer(action: string, detail: string): StoreError {
    this.options.events.emit(STORE_EVENTS.badAnswer, { action, detail });
    return errors.badAnswer(action, detail);
  }
}

/** Longest delay that a Node.js timer takes. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Runs a call; a command that only waits between two attempts must not end, which timers of a `Clock` would let it. */
async function keepingProcessAlive<T>(call: () => Promise<T>): Promise<T> {
  const hold = setTimeout(() => undefined, MAX_TIMER_MS);
  try {
    return await call();
  } finally {
    clearTimeout(hold);
  }
}
