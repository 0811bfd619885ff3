/** Errors of placement. */
import { SailquayError } from '../../common/types.js';

/** A placement mode that does not exist. */
export class UnknownPlacementModeError extends SailquayError {
  readonly kind = 'placement.unknown-mode';

  constructor(mode: string, known: readonly string[]) {
    super(`There is no placement mode "${mode}"`, `Use one of: ${known.join(', ')}`);
  }
}
