/**
 * What every folder uses: time, random numbers, timers, streams of events, hashing, addresses and the base of errors.
 *
 * Owns no state of the product and relies on no other folder. Folders import its modules one by one, so that a
 * daemon loads only what it needs; this file has the types alone.
 */
export type { Clock, TimerHandle } from './clock.js';
export type { Mechanism, MechanismCheck } from './mechanisms.js';
export type { RandomSource } from './random.js';
export type { Endpoint, SailquayError } from './types.js';
