/**
 * Rule: what other back ends that are known at its address mean for a back end. At most one of them listens there.
 *
 * Prevents two failures. Callers of a back end that ended would wait for their timeouts at the process that has its
 * address now; and a back end that serves would lose its open flows if it were taken for one that ended. Does no input
 * or output; times are monotonic ms.
 *
 * The order of creation of two records is not the order of their processes' starts: a record is created anew after it
 * lapsed, or when a write of a process that has ended is carried out late. So it alone keeps new flows away from the
 * probable loser, which costs callers nothing, and never ends open flows. These end only where the record is gone as
 * well, did not merely lapse, and no sign of life came since. A daemon that has just started knows a record only as it
 * was created last, so it decides no end before a peer has told it how long each back end has been known.
 *
 * Every input is present knowledge: the outcome is revised whenever that changes.
 */
import type { KnownBackend } from '../routing/index.js';

/**
 * `undisputed`: no other back end probably listens at its address. `disputed`: another one probably does, so no new
 * flows; open ones go on. `superseded`: it has ended.
 */
export type AddressStanding = 'undisputed' | 'disputed' | 'superseded';

/** A back end among those at its address. */
export interface AddressRequest {
  readonly backend: KnownBackend;
  /** All that are known there; `backend` may be among them. */
  readonly sharing: Iterable<KnownBackend>;
  /** When it last gave a sign of life; -Infinity if never. */
  readonly lastSignOfLifeMs: number;
  /** True once this daemon knows how long each back end has been known. */
  readonly knowsCreations: boolean;
}

/** The standing of a back end, and the one at its address that it gives way to. */
export interface AddressOutcome {
  readonly standing: AddressStanding;
  readonly successor?: KnownBackend;
}

/** The standing of one of the back ends at an address. */
export function decideStanding(request: AddressRequest): AddressOutcome {
  const { backend } = request;
  let rival: KnownBackend | undefined;
  for (const other of request.sharing) {
    if (other === backend) continue;
    if (wasCreatedLater(other, backend) && hasEnded(request))
      return { standing: 'superseded', successor: other };
    if (isLikelier(other, backend)) rival ??= other;
  }
  return rival ? { standing: 'disputed', successor: rival } : { standing: 'undisputed' };
}

/** True when nothing speaks for a back end beside which a later one is known. */
function hasEnded({ backend, lastSignOfLifeMs, knowsCreations }: AddressRequest): boolean {
  if (!knowsCreations || !backend.departed || backend.lapsed) return false;
  return lastSignOfLifeMs <= (backend.departedAtMs ?? Number.NEGATIVE_INFINITY);
}

function wasCreatedLater(other: KnownBackend, backend: KnownBackend): boolean {
  return other.record.createdRevision > backend.record.createdRevision;
}

/**
 * True when `other` rather than `backend` listens at their address. One that is recorded goes before one that left: a
 * process that starts again under its id may keep the revision of its creation.
 */
function isLikelier(other: KnownBackend, backend: KnownBackend): boolean {
  if (other.departed !== backend.departed) return backend.departed;
  return wasCreatedLater(other, backend);
}
