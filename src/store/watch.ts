/**
 * Watches: a stream of JSON lines, opened again from the last version seen whenever it ends or falls silent.
 *
 * Owns the last version seen and the silence timer of each watch. Relies on the circuit breaker for when it may be
 * opened again.
 */
import { pipeline, type Readable } from 'node:stream';
import { constants, createGunzip } from 'node:zlib';
import type { Clock } from '../common/clock.js';
import { pause } from '../common/pause.js';
import { jitter, type RandomSource } from '../common/random.js';
import type { EventLog } from '../observability/event.js';
import type { CircuitBreaker } from './circuit-breaker.js';
import { BACKOFF_BASE_MS, BACKOFF_MAX_MS, BACKOFF_SPREAD, MAX_ANSWER_BYTES } from './constants.js';
import { STORE_EVENTS } from './events.js';
import type { PlatformTransport } from './transport.js';
import type { StoredObject } from './types.js';
import { resourcePath, STORED_OBJECT } from './wire.js';

/** What a watch needs of its client. */
interface WatchContext {
  readonly transport: PlatformTransport;
  readonly circuit: CircuitBreaker;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly silenceMs: number;
}

/** Yields the object's newest version whenever it rises above `afterVersion`, until `signal` aborts. */
export async function* watchObject<T>(
  context: WatchContext,
  key: string,
  afterVersion: number,
  signal: AbortSignal,
): AsyncGenerator<StoredObject<T>> {
  let lastVersion = afterVersion;
  let attempt = 0;
  while (!signal.aborted) {
    if (context.circuit.tryPass()) {
      const openedAtMs = context.clock.now();
      for await (const object of watchOnce(context, key, lastVersion, signal)) {
        if (object.version <= lastVersion) continue;
        lastVersion = object.version;
        yield object as StoredObject<T>;
      }
      if (signal.aborted) return;
      if (context.clock.now() - openedAtMs > context.silenceMs) attempt = 0;
      context.events.emit(STORE_EVENTS.watchReopened, { key, version: lastVersion });
    }
    const backoffMs = Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** attempt);
    attempt += 1;
    await pause(
      context.clock,
      Math.max(context.circuit.remainingMs(), jitter(backoffMs, BACKOFF_SPREAD, context.random)),
      signal,
    );
  }
}

/** One connection of a watch: ends on any fault, on silence, and when `signal` aborts. */
async function* watchOnce(
  context: WatchContext,
  key: string,
  afterVersion: number,
  signal: AbortSignal,
): AsyncGenerator<StoredObject> {
  const controller = new AbortController();
  const abort = (): void => controller.abort();
  let silence = context.clock.schedule(context.silenceMs, abort);
  const heard = (): void => {
    silence.cancel();
    silence = context.clock.schedule(context.silenceMs, abort);
  };
  signal.addEventListener('abort', abort, { once: true });
  let answered = false;
  try {
    const path = `${resourcePath('watches', key)}?after=${afterVersion}`;
    const response = await context.transport.open(
      { method: 'GET', path, acceptGzip: true },
      controller.signal,
    );
    if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`);
    answered = true;
    context.circuit.succeeded();
    const body = response.headers['content-encoding'] === 'gzip' ? decompress(response.body) : response.body;
    for await (const line of readLines(body, heard)) {
      if (line !== '') yield STORED_OBJECT.parse(JSON.parse(line)) as StoredObject;
    }
  } catch (cause) {
    if (answered && !controller.signal.aborted) reportBadLine(context, key, cause);
  } finally {
    if (!answered) settleUnanswered(context.circuit, signal);
    silence.cancel();
    signal.removeEventListener('abort', abort);
    controller.abort();
  }
}

function settleUnanswered(circuit: CircuitBreaker, signal: AbortSignal): void {
  if (signal.aborted) circuit.abandoned();
  else circuit.failed();
}

function reportBadLine(context: WatchContext, key: string, cause: unknown): void {
  const broken = cause instanceof SyntaxError || (cause instanceof Error && cause.name === 'ZodError');
  if (broken) context.events.emit(STORE_EVENTS.badAnswer, { key, detail: cause.message });
}

/** Decompresses a body as it arrives; a fault of the body ends the result with the same fault. */
function decompress(body: Readable): Readable {
  return pipeline(body, createGunzip({ flush: constants.Z_SYNC_FLUSH }), () => undefined);
}

/** Splits a body into lines of UTF-8 text; `heard` is called with each part that arrives. */
async function* readLines(body: AsyncIterable<Buffer>, heard: () => void): AsyncGenerator<string> {
  let pending: Buffer[] = [];
  let pendingBytes = 0;
  for await (const part of body) {
    heard();
    let start = 0;
    for (let end = part.indexOf(0x0a); end >= 0; end = part.indexOf(0x0a, start)) {
      pending.push(part.subarray(start, end));
      yield Buffer.concat(pending).toString('utf8');
      pending = [];
      pendingBytes = 0;
      start = end + 1;
    }
    pending.push(part.subarray(start));
    pendingBytes += part.length - start;
    if (pendingBytes > MAX_ANSWER_BYTES) throw new RangeError('a line of a watch is too long');
  }
}
