/** States of back ends for tests of the rules of placement. */
import { BackendState } from '../backend-health/backend-state.js';
import type { KnownBackend, RoutedBackend } from '../routing/index.js';
import { backendAt } from '../routing/routing-test-support.js';

/** The state of a back end that is recorded and has given no sign of life yet. */
export function stateOf(
  id: string,
  record: Partial<RoutedBackend> = {},
  known: Partial<KnownBackend> = {},
): BackendState {
  return new BackendState({
    id,
    record: backendAt(id, 1, record),
    departed: false,
    lapsed: false,
    removedRevision: -1,
    departedAtMs: undefined,
    coldUntilMs: 0,
    ...known,
  });
}

/** Ejects a back end at 100 ms; a trial opening is due from 1,100 ms. */
export function eject(state: BackendState): void {
  state.noteFailure(50, 10);
  state.noteFailure(100, 10);
  state.tryEject(100, 60);
}
