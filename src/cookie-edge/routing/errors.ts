/** Errors of calls to a routing source. All of them are retried except `routing.cancelled`. */
import { SailquayError } from '../../common/types.js';

/**
 * `unavailable`: no connection, or the source reports that it did not perform the call. `timeout`: no response in time.
 * `throttled`: too many calls. `history-gone`: the source no longer has the requested changes, so the whole topic must
 * be read. `malformed`: the response cannot be decoded. `too-large`: the object to write exceeds the source's limit.
 * `cancelled`: the caller cancelled the call.
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
  'routing.unavailable': 'Check the address of the source and the network path to it; the call is retried',
  'routing.timeout': 'Check the load of the source and the network path to it; the call is retried',
  'routing.throttled': 'Reduce the number of balancers that read the source; the call is retried later',
  'routing.history-gone': 'None; the whole topic is read again',
  'routing.malformed': 'Check that the source uses the interface version that this build supports',
  'routing.too-large': 'Raise the object size limit of the source, or split the service',
  'routing.cancelled': 'None; the caller cancelled the call',
};

/** A failed call to a routing source. */
export class RoutingSourceError extends SailquayError {
  constructor(
    readonly kind: RoutingSourceErrorKind,
    problem: string,
    options?: ErrorOptions,
  ) {
    super(problem, REMEDIES[kind], options);
  }
}
