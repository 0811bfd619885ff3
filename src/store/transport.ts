/**
 * One HTTP exchange with the platform: deadline, caller's name, and whether the request may have been processed.
 *
 * Owns the connections to one platform. Its limit is a deadline over the whole exchange, answer included, because
 * an answer is one object. `platform/object-store.ts` of the cookie edge limits silence instead, since its answers
 * are pages of lists and watches that are held back, and it need not tell whether a request was processed, since it
 * only reads. Neither retries.
 */
import { Agent, request } from 'undici';
import type { Clock } from '../common/clock.js';
import { CALLER_HEADER, MAX_ANSWER_BYTES, MAX_CONNECTIONS } from './constants.js';

type HttpMethod = 'GET' | 'PUT' | 'POST' | 'DELETE';

/** A request to the object API; `path` starts with a slash. */
export interface Exchange {
  readonly method: HttpMethod;
  readonly path: string;
  readonly body?: unknown;
  /** Asks for a gzip-compressed answer; the caller decompresses it. */
  readonly acceptGzip?: boolean;
}

/** What came back. `answer` is the parsed JSON body, undefined when empty. */
export type ExchangeOutcome =
  | { readonly kind: 'answered'; readonly status: number; readonly answer: unknown }
  | { readonly kind: 'not-sent'; readonly cause: unknown }
  | { readonly kind: 'lost'; readonly timedOut: boolean; readonly cause: unknown }
  | { readonly kind: 'unreadable'; readonly status: number; readonly cause: unknown };

/** Error codes that say that no connection was made, so that the platform has not seen the request. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function errorCode(error: unknown): string {
  const code = (error as { code?: unknown } | undefined)?.code;
  return typeof code === 'string' ? code : '';
}

/** Abort signal that fires at a deadline or with another signal; `dispose` must be called. */
function deadlineSignal(
  clock: Clock,
  deadlineMs: number,
): { signal: AbortSignal; timedOut: () => boolean; dispose: () => void } {
  const controller = new AbortController();
  let fired = false;
  const timer = clock.schedule(deadlineMs, () => {
    fired = true;
    controller.abort();
  });
  return { signal: controller.signal, timedOut: () => fired, dispose: () => timer.cancel() };
}

/** Keeps the connections to one platform. */
export class PlatformTransport {
  private readonly agent: Agent;
  private readonly baseUrl: string;

  constructor(
    baseUrl: string,
    private readonly caller: string,
    private readonly clock: Clock,
  ) {
    this.baseUrl = baseUrl.replace(/\/+$/, '');
    this.agent = new Agent({
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      bodyTimeout: 0,
      headersTimeout: 0,
      maxResponseSize: -1,
    });
  }

  /** Runs one exchange; never throws. */
  async exchange(exchange: Exchange, deadlineMs: number): Promise<ExchangeOutcome> {
    const deadline = deadlineSignal(this.clock, deadlineMs);
    try {
      const response = await this.open(exchange, deadline.signal);
      const text = await readBounded(response.body);
      return parseAnswer(response.statusCode, text);
    } catch (cause) {
      if (NOT_SENT_CODES.has(errorCode(cause))) return { kind: 'not-sent', cause };
      return { kind: 'lost', timedOut: deadline.timedOut(), cause };
    } finally {
      deadline.dispose();
    }
  }

  /** Opens a request and returns once the head of the answer is there; throws what undici throws. */
  open(exchange: Exchange, signal: AbortSignal): ReturnType<typeof request> {
    const hasBody = exchange.body !== undefined;
    return request(this.baseUrl + exchange.path, {
      dispatcher: this.agent,
      method: exchange.method,
      headers: {
        [CALLER_HEADER]: this.caller,
        ...(hasBody ? { 'content-type': 'application/json' } : {}),
        ...(exchange.acceptGzip ? { 'accept-encoding': 'gzip' } : {}),
      },
      body: hasBody ? JSON.stringify(exchange.body) : null,
      signal,
    });
  }

  /** Closes all connections; exchanges under way end as lost. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

async function readBounded(body: AsyncIterable<Buffer>): Promise<string> {
  const parts: Buffer[] = [];
  let length = 0;
  for await (const part of body) {
    length += part.length;
    if (length > MAX_ANSWER_BYTES) throw new RangeError(`the answer exceeds ${MAX_ANSWER_BYTES} bytes`);
    parts.push(part);
  }
  return Buffer.concat(parts).toString('utf8');
}

function parseAnswer(status: number, text: string): ExchangeOutcome {
  if (text === '') return { kind: 'answered', status, answer: undefined };
  try {
    return { kind: 'answered', status, answer: JSON.parse(text) };
  } catch (cause) {
    return { kind: 'unreadable', status, cause };
  }
}
