/**
 * Decides which of the back ends that are known at one address still listens there. At most one can.
 *
 * Prevents two failures. Callers of a back end that ended would wait for their timeouts, because another process has
 * its address now. A back end that still serves would lose its open flows if it were declared ended by mistake. Does
 * no input or output; times are monotonic ms.
 *
 * Two records need not have been created in the order in which their processes started: a record is created anew after
 * it lapsed, or when a write of a process that has ended is carried out late. The order of creation alone therefore
 * only keeps new flows away from the back end that probably ended, which costs callers nothing; it never ends open
 * flows. Open flows end only if, in addition, the record is gone, it did not merely lapse, and no sign of life came
 * since. A daemon that has just started knows only the last creation of each record. It therefore declares no back end
 * ended until peers have sent the first creation of each.
 *
 * A decision depends only on the present state and is made again whenever that changes.
 */
import type { KnownBackend } from '../routing/index.js';

/**
 * `undisputed`: probably no other back end listens at its address. `disputed`: another one probably does, so it gets no
 * new flows, but its open flows continue. `superseded`: it has ended.
 */
export type AddressStatus = 'undisputed' | 'disputed' | 'superseded';

/** A back end, the others at its address, and the evidence about it. */
export interface AddressStatusInput {
  readonly backend: KnownBackend;
  /** All back ends that are known at the address; may include `backend`. */
  readonly backendsAtAddress: Iterable<KnownBackend>;
  /** Time of the last sign of life of `backend`; -Infinity if none. */
  readonly lastSignOfLifeMs: number;
  /** True once this daemon has received from its peers when each back end was first created. */
  readonly hasCreationHistory: boolean;
}

/** The status of a back end, and the back end that probably listens at its address instead. */
export interface AddressDecision {
  readonly status: AddressStatus;
  readonly successor?: KnownBackend;
}

/** Decides the status of one of the back ends at an address. */
export function decideAddressStatus(input: AddressStatusInput): AddressDecision {
  const { backend } = input;
  let likelierListener: KnownBackend | undefined;
  for (const other of input.backendsAtAddress) {
    if (other === backend) continue;
    if (wasCreatedLater(other, backend) && hasCertainlyEnded(input))
      return { status: 'superseded', successor: other };
    if (isLikelierListener(other, backend)) likelierListener ??= other;
  }
  return likelierListener ? { status: 'disputed', successor: likelierListener } : { status: 'undisputed' };
}

/**
 * True when the record of `backend` was removed rather than lapsed, and no sign of life came after its departure.
 * Always false before this daemon knows the first creations. Call it only if a back end that was created later is
 * known at the address.
 */
function hasCertainlyEnded({ backend, lastSignOfLifeMs, hasCreationHistory }: AddressStatusInput): boolean {
  if (!hasCreationHistory || !backend.departed || backend.lapsed) return false;
  return lastSignOfLifeMs <= (backend.departedAtMs ?? Number.NEGATIVE_INFINITY);
}

function wasCreatedLater(other: KnownBackend, backend: KnownBackend): boolean {
  return other.record.createdRevision > backend.record.createdRevision;
}

/**
 * True when `other` probably listens at the address rather than `backend`. A recorded back end takes precedence over a
 * departed one regardless of their creation: a process that restarts under its id may keep the revision of its
 * creation.
 */
function isLikelierListener(other: KnownBackend, backend: KnownBackend): boolean {
  if (other.departed !== backend.departed) return backend.departed;
  return wasCreatedLater(other, backend);
}
