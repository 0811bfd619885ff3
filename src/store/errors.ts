/** Error kinds of the platform client. */
import { SailquayError } from '../common/types.js';

export type StoreErrorKind =
  | 'platform.unreachable'
  | 'platform.deadline'
  | 'platform.version-conflict'
  | 'platform.lease-held'
  | 'platform.bad-answer'
  | 'platform.unknown-outcome';

/** A failed call to the platform. `unknown-outcome`: a write may or may not have taken effect; read back. */
export class StoreError extends SailquayError {
  constructor(
    readonly kind: StoreErrorKind,
    message: string,
    remedy: string,
    options?: ErrorOptions,
  ) {
    super(message, remedy, options);
  }
}

/** No attempt reached the platform, or the circuit is open. */
export function unreachable(action: string, cause?: unknown): StoreError {
  return new StoreError(
    'platform.unreachable',
    `the platform cannot be reached to ${action}`,
    'Check the platform address and its health, then retry',
    { cause },
  );
}

/** The platform did not answer in time; only for calls that change nothing or can be repeated. */
export function deadlineExceeded(action: string, deadlineMs: number, cause?: unknown): StoreError {
  return new StoreError(
    'platform.deadline',
    `the platform did not ${action} within ${deadlineMs} ms`,
    'Check the load and health of the platform, then retry',
    { cause },
  );
}

/** The write may or may not have taken effect. */
export function unknownOutcome(action: string, cause?: unknown): StoreError {
  return new StoreError(
    'platform.unknown-outcome',
    `the answer was lost after the request to ${action} was sent`,
    'Read the object back to see whether the write took effect before writing again',
    { cause },
  );
}

/** The answer has an unexpected status or shape. */
export function badAnswer(action: string, detail: string, cause?: unknown): StoreError {
  return new StoreError(
    'platform.bad-answer',
    `the platform gave an answer that cannot be understood to the request to ${action}: ${detail}`,
    'Check that the platform address names the object API described in docs/PLATFORM.md',
    { cause },
  );
}

/** Another write came first. */
export function versionConflict(key: string, expected: number, actual: number): StoreError {
  return new StoreError(
    'platform.version-conflict',
    `object ${key} has version ${actual}, not ${expected}`,
    'Read the object again and repeat the change on its new version',
  );
}

/** Another holder has the lease. */
export function leaseHeld(name: string, holder: string): StoreError {
  return new StoreError(
    'platform.lease-held',
    `lease ${name} is held by ${holder}`,
    'Retry after the lease has expired or was released',
  );
}
