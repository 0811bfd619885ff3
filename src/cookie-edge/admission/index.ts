/**
 * Decides which callers go first when more callers arrive than the back ends can serve: after an interruption, callers
 * that can still be answered in time go before callers that are late already. Owns the time at which the last recovery
 * began; does no input or output.
 *
 * ```ts
 * const admission = new RecoveryAdmission({ knowledge, fleetSize, inProgressAt });
 * if (admission.shouldDefer(route, { waitedMs, isLastChance }, nowMs)) hold(packet);
 * ```
 */
export { RecoveryAdmission, type WaitingCaller } from './recovery-admission.js';
