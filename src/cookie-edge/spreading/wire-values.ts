/**
 * Codec of values that several parts of a message share: ages, endpoints, topics. Messages carry ages instead of times,
 * since the clocks of daemons differ. Does no input or output.
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
 * Largest age in ms, 2^32 - 1, the maximum of the field. Greater ages are encoded as this value. A confirmation of this
 * age counts as missing.
 */
export const MAX_AGE_MS = 0xffff_ffff;

/** Returns the age at `nowMs` of an event at `atMs`, in whole ms. */
export function ageOf(nowMs: number, atMs: number): number {
  return Math.min(MAX_AGE_MS, Math.max(0, Math.ceil(nowMs - atMs)));
}

/** Returns the monotonic ms of an event that had this age when the message was sent at `sentMs`. */
export function timeOfAge(ageMs: number | null | undefined, sentMs: number): number {
  return sentMs - (ageMs ?? 0);
}

/** Encodes an epoch. Epoch 0 is omitted, as by senders that do not support epochs. */
export function encodeEpoch(epoch: number | undefined): number | undefined {
  return epoch === 0 ? undefined : epoch;
}

/** Decodes an epoch; the result has no `epoch` field if the message has none. */
export function decodeEpoch(epoch: number | null | undefined): { readonly epoch?: number } {
  return epoch ? { epoch } : {};
}

export function encodeEndpoint({ host, port }: Endpoint): {
  readonly address: number;
  readonly port: number;
} {
  return { address: parseIpv4(host), port };
}

export function decodeEndpoint(wireEndpoint: {
  readonly address?: number | null;
  readonly port?: number | null;
}): Endpoint {
  return { host: formatIpv4(wireEndpoint.address ?? 0), port: wireEndpoint.port ?? 0 };
}

/** Returns the key of a number on the wire; undefined for a number that this version does not know. */
export function findKeyByNumber<Key extends string>(
  numbers: Readonly<Record<Key, number>>,
  number: number | null | undefined,
): Key | undefined {
  return (Object.keys(numbers) as Key[]).find((key) => numbers[key] === number);
}
