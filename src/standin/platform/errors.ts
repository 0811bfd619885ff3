/** Errors of the stand-in platform. */
import { SailquayError } from '../../common/types.js';

/** The file given to seed the store holds no valid tree. */
export class SeedTreeError extends SailquayError {
  readonly kind = 'standin.invalid-seed-tree';

  constructor(file: string, faults: readonly string[]) {
    super(`${file} is not a valid settings tree: ${faults.join('; ')}`, 'Mend every fault listed');
  }
}
