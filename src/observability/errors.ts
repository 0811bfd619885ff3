/** Errors of the admin server and the event catalogue. */
import { SailquayError } from '../common/types.js';

type ObservabilityErrorKind = 'observability.admin-bind' | 'observability.event-catalogue';

/** The admin address could not be bound, or the declared events contradict each other. */
export class ObservabilityError extends SailquayError {
  constructor(
    readonly kind: ObservabilityErrorKind,
    message: string,
    remedy: string,
    options?: ErrorOptions,
  ) {
    super(message, remedy, options);
  }
}
