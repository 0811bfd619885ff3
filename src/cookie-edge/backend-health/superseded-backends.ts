/**
 * Applies the decisions of `address-reuse.ts` to back ends that share an address, and reviews them whenever an input
 * changes. Owns the index by address. Relies on `LocalBackendStates` to hold the address status of each back end.
 */
import type { Clock } from '../../common/clock.js';
import type { MechanismCheck } from '../../common/mechanisms.js';
import type { EventFields, EventLog } from '../../observability/event.js';
import { COOKIE_FLOW_EVENTS } from '../forwarding/events.js';
import type { KnownBackend } from '../routing/index.js';
import { decideAddressStatus, type AddressDecision } from './address-reuse.js';
import { CREATION_HISTORY_UPTIME_MS } from './constants.js';
import type { FlowResetter } from './flow-resetter.js';
import type { LocalBackendState } from './local-backend-state.js';
import type { LocalBackendStates } from './local-backend-states.js';
import { SharedAddresses } from './shared-addresses.js';

/** Dependencies of `SupersededBackends`. */
interface SupersededBackendsOptions {
  readonly clock: Clock;
  readonly isOn: MechanismCheck;
  readonly states: LocalBackendStates;
  readonly resetter: FlowResetter;
  readonly events: EventLog;
  /** False while peers are known to remember more about back ends than this daemon has received. */
  readonly hasReceivedDeparted: () => boolean;
}

/** Detects back ends whose address another back end uses. Times are monotonic ms. */
export class SupersededBackends {
  private readonly addresses = new SharedAddresses();
  private readonly startedAtMs: number;

  constructor(private readonly options: SupersededBackendsOptions) {
    this.startedAtMs = options.clock.now();
  }

  /** Registers a back end that became known, and reviews those at its address. */
  registerBackend(backend: KnownBackend): void {
    if (this.options.isOn('dead-back-ends')) this.review(this.addresses.add(backend));
  }

  /** Removes a back end, and reviews the remaining ones at its address. */
  removeBackend(backend: KnownBackend): void {
    this.review(this.addresses.remove(backend));
  }

  /** Reviews every address with two or more back ends, because records, signs of life and the uptime have changed. */
  reviewAll(): void {
    for (const backendsAtAddress of this.addresses.groupsSharingAddress()) this.review(backendsAtAddress);
  }

  private review(backendsAtAddress: ReadonlySet<KnownBackend>): void {
    const { states, clock, hasReceivedDeparted } = this.options;
    const uptimeMs = clock.now() - this.startedAtMs;
    const hasCreationHistory = uptimeMs >= CREATION_HISTORY_UPTIME_MS && hasReceivedDeparted();
    for (const backend of backendsAtAddress) {
      const state = states.stateOf(backend);
      const { lastSignOfLifeMs } = state;
      this.applyDecision(
        state,
        decideAddressStatus({ backend, backendsAtAddress, lastSignOfLifeMs, hasCreationHistory }),
      );
    }
  }

  private applyDecision(state: LocalBackendState, { status, successor }: AddressDecision): void {
    const { clock, resetter, events } = this.options;
    const { addressStatus: previousStatus, backend } = state;
    if (status === previousStatus) return;
    state.recordAddressStatus(status, clock.now());
    if (status === 'superseded') resetter.reset(state, status, describeSuccession(backend, successor));
    else if (previousStatus === 'superseded')
      events.emit(COOKIE_FLOW_EVENTS.backendRevived, { backend: backend.id });
  }
}

/** Log fields that say which back end superseded another one, and by which records. */
function describeSuccession(
  supersededBackend: KnownBackend,
  successor: KnownBackend | undefined,
): EventFields {
  return {
    departed: supersededBackend.departed,
    createdRevision: supersededBackend.record.createdRevision,
    successor: successor?.id,
    successorDeparted: successor?.departed,
    successorCreatedRevision: successor?.record.createdRevision,
  };
}
