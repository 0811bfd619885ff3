/**
 * Probes whether a process listens at a back end's address. Owns the connection; `backend-health` interprets the
 * outcome.
 */
import { connect } from 'node:net';
import type { Endpoint } from '../../common/types.js';
import type { ProbeOutcome } from '../backend-health/index.js';

/**
 * Outcomes of the errors that the remote host causes. In TCP, a reset in answer to the first packet is `ECONNREFUSED`;
 * `ECONNRESET` comes only after the remote host has accepted the handshake.
 */
const OUTCOMES_BY_ERROR_CODE: Readonly<Record<string, ProbeOutcome>> = {
  ECONNREFUSED: 'refused',
  ECONNRESET: 'reset',
};

/** Returns the outcome of a connection that failed with this error code. */
export function outcomeOfError(code: string | undefined): ProbeOutcome {
  return OUTCOMES_BY_ERROR_CODE[code ?? ''] ?? 'silent';
}

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
    socket.on('error', ({ code }: NodeJS.ErrnoException) => finish(outcomeOfError(code)));
  });
}
