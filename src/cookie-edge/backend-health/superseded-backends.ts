/**
 * Carries out what `address-reuse.ts` decides on back ends that share an address, and reviews it as knowledge changes.
 * Owns the index by address. Relies on `LocalBackendStates` to keep each back end's standing.
 */
import type { Clock } from '../../common/clock.js';
import type { MechanismCheck } from '../../common/mechanisms.js';
import type { EventFields, EventLog } from '../../observability/event.js';
import { COOKIE_FLOW_EVENTS } from '../forwarding/events.js';
import type { KnownBackend } from '../routing/index.js';
import { decideStanding, type AddressOutcome } from './address-reuse.js';
import { CREATIONS_LEARNED_MS } from './constants.js';
import type { FlowResetter } from './flow-resetter.js';
import type { LocalBackendState } from './local-backend-state.js';
import type { LocalBackendStates } from './local-backend-states.js';
import { SharedAddresses } from './shared-addresses.js';

/** Collaborators. */
interface SupersededBackendsOptions {
  readonly clock: Clock;
  readonly isOn: MechanismCheck;
  readonly states: LocalBackendStates;
  readonly resetter: FlowResetter;
  readonly events: EventLog;
  /** False while peers are known to remember more of back ends than this daemon has been told. */
  readonly hasLearntFromPeers: () => boolean;
}

/** The back ends of one daemon whose address another one has. Times are monotonic ms. */
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

  /** Forgets a back end, and reviews those that are left at its address. */
  forget(backend: KnownBackend): void {
    this.review(this.addresses.remove(backend));
  }

  /** Reviews every address with more than one back end: records, signs of life and the daemon's age have changed. */
  reviewAll(): void {
    for (const sharing of this.addresses.all()) this.review(sharing);
  }

  private review(sharing: ReadonlySet<KnownBackend>): void {
    const { states, clock, hasLearntFromPeers } = this.options;
    const uptimeMs = clock.now() - this.startedAtMs;
    const knowsCreations = uptimeMs >= CREATIONS_LEARNED_MS && hasLearntFromPeers();
    for (const backend of sharing) {
      const state = states.of(backend);
      const { lastSignOfLifeMs } = state;
      this.apply(state, decideStanding({ backend, sharing, lastSignOfLifeMs, knowsCreations }));
    }
  }

  private apply(state: LocalBackendState, { standing, successor }: AddressOutcome): void {
    const { clock, resetter, events } = this.options;
    const { standing: before, backend } = state;
    if (standing === before) return;
    state.recordStanding(standing, clock.now());
    if (standing === 'superseded') resetter.reset(state, standing, describeOrder(backend, successor));
    else if (before === 'superseded') events.emit(COOKIE_FLOW_EVENTS.backendRevived, { backend: backend.id });
  }
}

/** What superseded a back end, for a log line. */
function describeOrder(ended: KnownBackend, successor: KnownBackend | undefined): EventFields {
  return {
    departed: ended.departed,
    createdRevision: ended.record.createdRevision,
    successor: successor?.id,
    successorDeparted: successor?.departed,
    successorCreatedRevision: successor?.record.createdRevision,
  };
}
