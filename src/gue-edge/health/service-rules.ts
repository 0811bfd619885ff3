/**
 * Rules that hold for the back ends of a service together: the cap on ejections and panic.
 *
 * They prevent a fault that all back ends seem to share, a fault of this balancer's own path among them, from
 * leaving a service without back ends. The cap limits what one balancer's view of openings may take out; panic uses
 * every back end once so few are healthy that they could not bear the load. No input or output.
 */
import type { BackendCondition } from './types.js';

/**
 * A service is in panic until the usable share is this much above the limit. Without a gap a share at the limit starts
 * and ends the panic with each evaluation.
 */
const PANIC_HYSTERESIS = 0.05;

/** One back end as the rules see it. */
export interface ServiceBackend {
  readonly id: number;
  readonly condition: BackendCondition;
  /** Monotonic ms when its last ejection began. */
  readonly ejectedSinceMs: number;
}

/**
 * Back ends that are used although they are ejected, because the cap allows fewer. The earliest ejections stand; a
 * tie is kept in the order given. One ejection is allowed beside another back end, unless the share is 0. Draining
 * back ends count neither way.
 *
 * @param maxEjectedShare share (0–1) of the back ends that may be ejected
 */
export function ejectionsOverCap(backends: readonly ServiceBackend[], maxEjectedShare: number): number[] {
  const count = backends.filter(({ condition }) => condition !== 'draining').length;
  const atLeastOne = maxEjectedShare > 0 && count > 1 ? 1 : 0;
  const allowed = Math.max(atLeastOne, Math.floor(maxEjectedShare * count));
  const ejected = backends.filter(({ condition }) => condition === 'ejected');
  ejected.sort((left, right) => left.ejectedSinceMs - right.ejectedSinceMs);
  return ejected.slice(allowed).map(({ id }) => id);
}

/** What panic is judged by. */
interface PanicInput {
  readonly inPanic: boolean;
  /** Back ends that do not drain, and those of them that may get new flows. */
  readonly inUse: number;
  readonly usable: number;
  /** Share (0–1) of usable back ends below which the service panics. */
  readonly panicShare: number;
}

/** Judges panic; a service without back ends in use has none to rescue and does not panic. */
export function judgePanic(input: PanicInput): { readonly panic: boolean; readonly usableShare: number } {
  const { inPanic, inUse, usable, panicShare } = input;
  const usableShare = inUse === 0 ? 1 : usable / inUse;
  const limit = inPanic ? Math.min(1, panicShare + PANIC_HYSTERESIS) : panicShare;
  return { panic: usableShare < limit, usableShare };
}
