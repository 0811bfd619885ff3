/** States of back ends for tests of the placement rules. */
import { LocalBackendState } from '../backend-health/local-backend-state.js';
import type { KnownBackend, RoutedBackend } from '../routing/index.js';
import { backendAt } from '../routing/routing-test-support.js';

/** Returns the state of a back end that is recorded and has given no sign of life yet. */
export function createBackendState(
  id: string,
  recordFields: Partial<RoutedBackend> = {},
  knownFields: Partial<KnownBackend> = {},
): LocalBackendState {
  return new LocalBackendState({
    id,
    record: backendAt(id, 1, recordFields),
    departed: false,
    lapsed: false,
    removedRevision: -1,
    departedAtMs: undefined,
    coldUntilMs: 0,
    ...knownFields,
  });
}

/** Ejects a back end at 100 ms; a trial opening is due from 1,100 ms. */
export function eject(state: LocalBackendState): void {
  state.recordFailure(50, 10);
  state.recordFailure(100, 10);
  state.tryEject(100, 60);
}
