/**
 * Codec of the values that several parts of a message share: ages, endpoints, topics. Messages carry ages and no times,
 * since clocks of daemons differ. Does no input or output.
 */
import type { Endpoint } from '../../common/types.js';
import { formatIpv4, parseIpv4 } from '../../fabric/ipv4-address.js';
import { sailquay } from './pb/spreading.js';

const wire = sailquay.spreading;

export const TOPIC_NUMBERS = {
  routes: wire.Topic.ROUTES,
  backends: wire.Topic.BACKENDS,
  cordons: wire.Topic.CORDONS,
} as const;

/**
 * Largest age in ms; greater ages are encoded as this one, and a confirmation of this age stands for none. 2^32 - 1,
 * the largest value of the field.
 */
export const MAX_AGE_MS = 0xffff_ffff;

/** Age in whole ms of something that happened at `atMs`, as of `nowMs`. */
export function ageOf(nowMs: number, atMs: number): number {
  return Math.min(MAX_AGE_MS, Math.max(0, Math.ceil(nowMs - atMs)));
}

/** Monotonic ms at which something of this age happened, for a message sent at `sentMs`. */
export function timeOfAge(ageMs: number | null | undefined, sentMs: number): number {
  return sentMs - (ageMs ?? 0);
}

/** An epoch on the wire; epoch 0 is left out, as by senders that know of none. */
export function encodeEpoch(epoch: number | undefined): number | undefined {
  return epoch === 0 ? undefined : epoch;
}

/** The epoch of a message's part, absent where the wire has none. */
export function decodeEpoch(epoch: number | null | undefined): { readonly epoch?: number } {
  return epoch ? { epoch } : {};
}

export function encodeEndpoint({ host, port }: Endpoint): {
  readonly address: number;
  readonly port: number;
} {
  return { address: parseIpv4(host), port };
}

export function decodeEndpoint(at: {
  readonly address?: number | null;
  readonly port?: number | null;
}): Endpoint {
  return { host: formatIpv4(at.address ?? 0), port: at.port ?? 0 };
}

/** The key that stands for a number on the wire; undefined for a number that this build does not know. */
export function keyOf<Key extends string>(
  numbers: Readonly<Record<Key, number>>,
  number: number | null | undefined,
): Key | undefined {
  return (Object.keys(numbers) as Key[]).find((key) => numbers[key] === number);
}
