/** Error kinds of the platform client. */
import { SailquayError } from '../common/types.js';

export type PlatformErrorKind =
  | 'platform.unreachable'
  | 'platform.deadline'
  | 'platform.version-conflict'
  | 'platform.lease-held'
  | 'platform.bad-answer'
  | 'platform.unknown-outcome';

/** A failed call to the platform. `unknown-outcome`: a write may or may not have taken effect; read back. */
export class PlatformError extends SailquayError {
  constructor(
    readonly kind: PlatformErrorKind,
    message: string,
    remedy: string,
    options?: ErrorOptions,
  ) {
    super(message, remedy, options);
  }
}
