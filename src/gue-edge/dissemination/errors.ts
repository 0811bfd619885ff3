/** Error kinds of the spreading of settings. */
import { SailquayError } from '../../common/types.js';

type DisseminationErrorKind =
  'dissemination.bad-message' | 'dissemination.digest-mismatch' | 'dissemination.invalid-tree';

/** A message or tree that is not used. */
export class DisseminationError extends SailquayError {
  constructor(
    readonly kind: DisseminationErrorKind,
    message: string,
    remedy: string,
    options?: ErrorOptions,
  ) {
    super(message, remedy, options);
  }
}

/** The message cannot be decoded or has impossible values. */
export function badMessage(detail: string, cause?: unknown): DisseminationError {
  return new DisseminationError(
    'dissemination.bad-message',
    `a settings message cannot be used: ${detail}`,
    'Check that all balancers run releases that may run side by side',
    { cause },
  );
}

/** The nodes do not add up to the digest that came with them. */
export function digestMismatch(version: number, expected: string, actual: string): DisseminationError {
  return new DisseminationError(
    'dissemination.digest-mismatch',
    `tree ${version} has digest ${actual}, not ${expected}`,
    'None: the tree is fetched again from another peer',
  );
}

/** The tree has faults; the one in force stays. */
export function invalidTree(version: number, faults: readonly string[]): DisseminationError {
  const more = faults.length > 1 ? ` (and ${faults.length - 1} more)` : '';
  return new DisseminationError(
    'dissemination.invalid-tree',
    `tree ${version} has faults: ${faults[0] ?? 'unknown'}${more}`,
    'Mend the tree with sailquay tree; the last good version stays in force',
  );
}
