/** Errors of calls to a routing source; all of them are retried except `cancelled`. */
import { SailquayError } from '../../common/types.js';

/**
 * `unavailable`: no connection, or the source says that it did nothing. `timeout`: no answer in time. `throttled`: too
 * many calls. `history-gone`: the source no longer has the requested changes, so that everything must be read.
 * `malformed`: a response that cannot be decoded. `too-large`: what is to be written exceeds the source's limit.
 * `cancelled`: the caller ended the call.
 */
export type RoutingSourceErrorKind =
  | 'routing.unavailable'
  | 'routing.timeout'
  | 'routing.throttled'
  | 'routing.history-gone'
  | 'routing.malformed'
  | 'routing.too-large'
  | 'routing.cancelled';

const REMEDIES: Readonly<Record<RoutingSourceErrorKind, string>> = {
  'routing.unavailable': 'Check the address of the source and the network to it; the call is repeated',
  'routing.timeout': 'Check the load of the source and the network to it; the call is repeated',
  'routing.throttled': 'Fewer balancers should read the source; the call is repeated later',
  'routing.history-gone': 'Nothing to do: everything is read again',
  'routing.malformed': 'Check that the source speaks the version of the interface that this build knows',
  'routing.too-large': 'Raise the limit of the source for one object, or split the service',
  'routing.cancelled': 'Nothing to do: the caller ended the call',
};

/** A call to a routing source that failed. */
export class RoutingSourceError extends SailquayError {
  constructor(
    readonly kind: RoutingSourceErrorKind,
    problem: string,
    options?: ErrorOptions,
  ) {
    super(problem, REMEDIES[kind], options);
  }
}
