/** Errors of gossip: a socket cannot be bound, or the state of a peer cannot be fetched. */
import { formatEndpoint, SailquayError, type Endpoint } from '../../common/types.js';

type SpreadingErrorKind = 'spreading.bind' | 'spreading.fetch';

/** A socket could not be bound, or a fetch from a peer failed. */
export class SpreadingError extends SailquayError {
  constructor(
    readonly kind: SpreadingErrorKind,
    problem: string,
    remedy: string,
    options?: ErrorOptions,
  ) {
    super(problem, remedy, options);
  }
}

export function bindError(endpoint: Endpoint, cause: unknown): SpreadingError {
  return new SpreadingError(
    'spreading.bind',
    `the control address ${formatEndpoint(endpoint)} could not be bound`,
    'Check that the address belongs to this machine and that no other process uses the port',
    { cause },
  );
}

export function fetchError(peer: Endpoint, cause: unknown): SpreadingError {
  return new SpreadingError(
    'spreading.fetch',
    `the fetch from peer ${formatEndpoint(peer)} failed: ${(cause as Error).message}`,
    'Nothing to do: the daemon retries with another peer',
    { cause },
  );
}
