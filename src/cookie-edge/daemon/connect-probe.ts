/**
 * Probes whether a process listens at a back end's address. Owns the connection; `backend-health` interprets the
 * outcome.
 */
import { connect } from 'node:net';
import type { Endpoint } from '../../common/types.js';
import type { ProbeOutcome } from '../backend-health/index.js';

/** Error codes of a reset by the remote host: no process listens at the address. */
const REFUSED_ERROR_CODES: ReadonlySet<string | undefined> = new Set(['ECONNREFUSED', 'ECONNRESET']);

/**
 * Opens a TCP connection and closes it without sending data. An accepted connection shows that the process is alive,
 * even if it is busy. Never rejects. After `timeoutMs` it waits for one more turn of the event loop, to read an answer
 * that has already arrived, and then resolves to `silent`.
 */
export function probeConnect({ host, port }: Endpoint, timeoutMs: number): Promise<ProbeOutcome> {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const finish = (outcome: ProbeOutcome): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(outcome);
    };
    const timer = setTimeout(() => setImmediate(() => finish('silent')), timeoutMs);
    socket.on('connect', () => finish('answered'));
    socket.on('error', ({ code }: NodeJS.ErrnoException) =>
      finish(REFUSED_ERROR_CODES.has(code) ? 'refused' : 'silent'),
    );
  });
}
