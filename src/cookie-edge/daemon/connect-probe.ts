/**
 * Probes whether a process listens at a back end's address. Owns the connection; `backend-health` decides what an
 * outcome means.
 */
import { connect } from 'node:net';
import type { Endpoint } from '../../common/types.js';
import type { ProbeOutcome } from '../backend-health/index.js';

/** Error codes of a reset from the other side: nothing listens there. */
const REFUSALS: ReadonlySet<string | undefined> = new Set(['ECONNREFUSED', 'ECONNRESET']);

/**
 * Opens a TCP connection and closes it without sending data. An accepted connection proves that the process is alive,
 * however busy it is. Never rejects. Resolves within `timeoutMs` and one more turn of the event loop, which reads an
 * answer that has already arrived.
 */
export function probeConnect({ host, port }: Endpoint, timeoutMs: number): Promise<ProbeOutcome> {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const end = (outcome: ProbeOutcome): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(outcome);
    };
    const timer = setTimeout(() => setImmediate(() => end('silent')), timeoutMs);
    socket.on('connect', () => end('answered'));
    socket.on('error', ({ code }: NodeJS.ErrnoException) => end(REFUSALS.has(code) ? 'refused' : 'silent'));
  });
}
