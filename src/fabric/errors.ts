/** Error kinds of the edge. */
import { formatEndpoint, SailquayError, type Endpoint } from '../common/types.js';

/** The data socket could not be bound. */
export class EdgeBindError extends SailquayError {
  readonly kind = 'fabric.bind';

  constructor(endpoint: Endpoint, cause: unknown) {
    super(
      `The data address ${formatEndpoint(endpoint)} could not be bound`,
      'Check that the address belongs to this machine and that no other process uses the port',
      { cause },
    );
  }
}
