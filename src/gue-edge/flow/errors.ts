/** Error kinds of flow keeping. */
import { SailquayError } from '../../common/types.js';

/** More different back ends were seen than a flow table can index. */
export class BackendIndexExhaustedError extends SailquayError {
  readonly kind = 'flow.backend-index-exhausted';

  constructor(limit: number) {
    super(`more than ${limit} back ends were seen`, 'Restart this balancer to forget removed back ends');
  }
}

/** A message of another balancer does not follow the protocol. */
export class MalformedRecordError extends SailquayError {
  readonly kind = 'flow.malformed-record';

  constructor(detail: string) {
    super(`malformed flow records: ${detail}`, 'Check that all balancers run compatible versions');
  }
}
