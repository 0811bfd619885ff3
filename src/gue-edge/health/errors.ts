/** Errors of health. */
import { SailquayError } from '../../common/types.js';

/** A health message that cannot be read. */
export class HealthMessageError extends SailquayError {
  readonly kind = 'health.bad-message';

  constructor(sender: string, options?: ErrorOptions) {
    super(
      `A health message of ${sender} could not be read`,
      'Compare the releases of the two balancers; the message was dropped',
      options,
    );
  }
}

/** A probe without a complete answer in time. */
export class ProbeError extends SailquayError {
  readonly kind = 'health.probe-failed';

  constructor(url: string, options?: ErrorOptions) {
    super(
      `The probe of ${url} got no answer`,
      'Check that the back end runs and serves this address',
      options,
    );
  }
}
