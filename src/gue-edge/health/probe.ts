/** One HTTP request to a back end's health or load endpoint, and how its response is read. */
import { Agent, request } from 'undici';
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import { ProbeError } from './errors.js';

export const HEALTH_PATH = '/health';
export const LOAD_PATH = '/load';

/** Longest response read, in bytes. Bounds what a faulty back end can make this process read. */
const MAX_PROBE_BODY_BYTES = 4_096;
/** Estimated bytes of request and response headers, for the statistics only. A typical size. */
const PROBE_HEADER_BYTES = 250;
const STATUS_OK = 200;
const STATUS_REDIRECT = 300;

/** Answer of a probe. */
export interface ProbeResponse {
  readonly status: number;
  readonly body: string;
}

/** Sends a GET and resolves with the whole answer, or rejects after `timeoutMs` or on any failure. */
export type Probe = (endpoint: Endpoint, path: string, timeoutMs: number) => Promise<ProbeResponse>;

/** What a back end reports of its load; counts of now. */
interface LoadSample {
  readonly openFlows: number;
  readonly busySlots: number;
  /** Connections it takes. */
  readonly capacity: number;
}

/** Connections to back ends; a second one lets a probe pass while an earlier one hangs. */
const PROBE_CONNECTIONS = new Agent({ connections: 2, pipelining: 1 });

/**
 * Probes over HTTP/1.1 with connections kept alive. The client's own timeouts end a hanging probe; they are coarse, so
 * the prober keeps the exact deadline itself. An abort signal for each probe costs about half as much again.
 */
export const httpProbe: Probe = async (endpoint, path, timeoutMs) => {
  const url = `http://${formatEndpoint(endpoint)}${path}`;
  try {
    const response = await request(url, {
      dispatcher: PROBE_CONNECTIONS,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    });
    return { status: response.statusCode, body: await readBounded(response.body) };
  } catch (cause) {
    throw new ProbeError(url, { cause });
  }
};

async function readBounded(body: AsyncIterable<Uint8Array>): Promise<string> {
  const parts: Uint8Array[] = [];
  let size = 0;
  for await (const part of body) {
    size += part.length;
    if (size > MAX_PROBE_BODY_BYTES) throw new RangeError('the answer is too long');
    parts.push(part);
  }
  return Buffer.concat(parts).toString('utf8');
}

/** True for a 2xx answer. */
export function isHealthy(response: ProbeResponse): boolean {
  return response.status >= STATUS_OK && response.status < STATUS_REDIRECT;
}

/** Reads the body of a load answer; undefined when it is not a load. */
export function parseLoad(response: ProbeResponse): LoadSample | undefined {
  if (!isHealthy(response)) return undefined;
  try {
    const value = JSON.parse(response.body) as Partial<Record<keyof LoadSample, unknown>> | null;
    const { openFlows, busySlots, capacity } = value ?? {};
    if (!isCount(openFlows) || !isCount(capacity)) return undefined;
    return { openFlows, busySlots: isCount(busySlots) ? busySlots : 0, capacity };
  } catch {
    // Not JSON: the back end tells no load, as its health view then shows.
    return undefined;
  }
}

function isCount(value: unknown): value is number {
  return typeof value === 'number' && Number.isInteger(value) && value >= 0 && value <= 0xffff_ffff;
}

/** Bytes of one probe in both directions, headers estimated. */
export function probeBytes(response: ProbeResponse | undefined): number {
  return PROBE_HEADER_BYTES + Buffer.byteLength(response?.body ?? '');
}
