/** JSON over HTTP to the control addresses of stand-ins and the admin addresses of daemons. */
import { Agent, request } from 'undici';
import { formatEndpoint, type Endpoint } from '../common/types.js';
import { CONTROL_REQUEST_TIMEOUT_MS } from './constants.js';
import { ExperimentError } from './errors.js';

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

/** A client whose connections are kept open until `close`. */
export class ControlClient {
  private readonly agent = new Agent({ keepAliveTimeout: 10_000, connections: 4 });

  get(address: Endpoint, path: string, timeoutMs = CONTROL_REQUEST_TIMEOUT_MS): Promise<unknown> {
    return this.exchange('GET', address, path, undefined, timeoutMs);
  }

  put(
    address: Endpoint,
    path: string,
    body: unknown,
    timeoutMs = CONTROL_REQUEST_TIMEOUT_MS,
  ): Promise<unknown> {
    return this.exchange('PUT', address, path, body, timeoutMs);
  }

  post(
    address: Endpoint,
    path: string,
    body: unknown,
    timeoutMs = CONTROL_REQUEST_TIMEOUT_MS,
  ): Promise<unknown> {
    return this.exchange('POST', address, path, body, timeoutMs);
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }

  private async exchange(
    method: 'GET' | 'PUT' | 'POST',
    address: Endpoint,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const answer = await request(`http://${formatEndpoint(address)}${path}`, {
      method,
      dispatcher: this.agent,
      signal: AbortSignal.timeout(timeoutMs),
      ...(body === undefined
        ? {}
        : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
    });
    const text = await answer.body.text();
    if (answer.statusCode < 300) return text ? JSON.parse(text) : undefined;
    throw new ExperimentError(
      'experiment.bad-answer',
      `${method} ${formatEndpoint(address)}${path} answered ${answer.statusCode}: ${text.slice(0, 200)}`,
      'Run the tool and the stand-ins from the same build',
    );
  }
}
