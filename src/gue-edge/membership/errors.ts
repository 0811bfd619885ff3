/** Error kinds of membership. */
import { SailquayError } from '../../common/types.js';

type MembershipErrorKind = 'membership.state' | 'membership.hash-collision';

/** A call that does not fit the member's state, or a member that cannot be admitted. */
export class MembershipError extends SailquayError {
  constructor(
    readonly kind: MembershipErrorKind,
    message: string,
    remedy: string,
    options?: ErrorOptions,
  ) {
    super(message, remedy, options);
  }
}
