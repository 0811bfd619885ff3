/** JSON over HTTP to the control addresses of stand-ins and the admin addresses of daemons. */
import { Agent, request } from 'undici';
import { formatEndpoint, type Endpoint } from '../common/types.js';
import { CONTROL_REQUEST_TIMEOUT_MS } from './constants.js';
import { ExperimentError } from './errors.js';

/** An idle connection is kept this long, ms. It outlasts the pauses between polls. */
const KEEP_ALIVE_MS = 10_000;
/** Connections to one address at once. Polls, faults and reports may coincide. */
const CONNECTIONS_PER_ADDRESS = 4;
const FIRST_STATUS_NOT_SUCCESSFUL = 300;
/** Characters of a refusal's body that an error shows. A message of the stand-ins fits. */
const SHOWN_BODY_CHARACTERS = 200;

/** Reads an endpoint from a ready line: `{host, port}`, `host:port` or a URL of them. */
export function readEndpoint(value: unknown, what: string): Endpoint {
  const text = typeof value === 'string' ? value.replace(/^https?:\/\//, '').replace(/\/$/, '') : undefined;
  const match = text === undefined ? undefined : /^([\d.]+):(\d+)$/.exec(text);
  if (match) return { host: match[1]!, port: Number(match[2]) };
  const candidate = value as Partial<Endpoint> | undefined;
  if (typeof candidate?.host === 'string' && typeof candidate.port === 'number') {
    return { host: candidate.host, port: candidate.port };
  }
  throw new ExperimentError(
    'experiment.bad-answer',
    `no address for ${what} in ${JSON.stringify(value)}`,
    'Run the tool and the stand-ins from the same build',
  );
}

/** What is sent in one exchange. */
interface ControlRequest {
  readonly method: 'GET' | 'PUT' | 'POST';
  /** Sent as JSON; absent: no body. */
  readonly body?: unknown;
  readonly timeoutMs: number;
}

/** The complete answer to an exchange. */
interface ControlAnswer {
  readonly statusCode: number;
  readonly text: string;
}

function describeCall(address: Endpoint, path: string, { method }: ControlRequest): string {
  return `${method} ${formatEndpoint(address)}${path}`;
}

/**
 * A client whose connections are kept open until `close`. Each call rejects on a timeout, a failed connection or a
 * refusal.
 */
export class ControlClient {
  private readonly agent = new Agent({
    keepAliveTimeout: KEEP_ALIVE_MS,
    connections: CONNECTIONS_PER_ADDRESS,
  });

  get(address: Endpoint, path: string, timeoutMs = CONTROL_REQUEST_TIMEOUT_MS): Promise<unknown> {
    return this.exchange(address, path, { method: 'GET', timeoutMs });
  }

  put(
    address: Endpoint,
    path: string,
    body: unknown,
    timeoutMs = CONTROL_REQUEST_TIMEOUT_MS,
  ): Promise<unknown> {
    return this.exchange(address, path, { method: 'PUT', body, timeoutMs });
  }

  post(
    address: Endpoint,
    path: string,
    body: unknown,
    timeoutMs = CONTROL_REQUEST_TIMEOUT_MS,
  ): Promise<unknown> {
    return this.exchange(address, path, { method: 'POST', body, timeoutMs });
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }

  private async exchange(address: Endpoint, path: string, call: ControlRequest): Promise<unknown> {
    const { statusCode, text } = await this.send(address, path, call);
    if (statusCode < FIRST_STATUS_NOT_SUCCESSFUL) return text ? JSON.parse(text) : undefined;
    const shown = text.slice(0, SHOWN_BODY_CHARACTERS);
    throw new ExperimentError(
      'experiment.bad-answer',
      `${describeCall(address, path, call)} answered ${statusCode}: ${shown}`,
      'Run the tool and the stand-ins from the same build',
    );
  }

  /** Rejects with `experiment.no-answer`, which names the call and its age. */
  private async send(address: Endpoint, path: string, call: ControlRequest): Promise<ControlAnswer> {
    const { method, body, timeoutMs } = call;
    const startedAtMs = performance.now();
    try {
      const answer = await request(`http://${formatEndpoint(address)}${path}`, {
        method,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(timeoutMs),
        ...(body === undefined
          ? {}
          : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
      });
      return { statusCode: answer.statusCode, text: await answer.body.text() };
    } catch (cause) {
      const ageMs = Math.round(performance.now() - startedAtMs);
      throw new ExperimentError(
        'experiment.no-answer',
        `${describeCall(address, path, call)} had no answer after ${ageMs} ms of ${timeoutMs} ms: ${String(cause)}`,
        'Check whether the process runs and how busy the machine is',
        { cause },
      );
    }
  }
}
