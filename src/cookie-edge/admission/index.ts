/**
 * Decides which callers go first when there is less room than callers: after an interruption those that can still be
 * answered in time go before those that are late already. Owns the time of the last return; does no input or output.
 *
 * ```ts
 * const crowd = new CrowdAdmission({ knowledge, fleetSize, inProgressAt });
 * if (crowd.mustYield(route, { waitedMs, isLastChance }, nowMs)) hold(packet);
 * ```
 */
export { CrowdAdmission, type WaitingCaller } from './recovery-admission.js';
