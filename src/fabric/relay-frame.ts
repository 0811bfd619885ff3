/**
 * Frames between balancers: a 4-byte header (magic, version, hop count, flags) before the bare IPv4 packet. The
 * header is sent as a buffer of its own, so that the packet is not copied.
 */
import { RELAY_HEADER_BYTES, RELAY_HOP_LIMIT, RELAY_MAGIC, RELAY_VERSION } from './constants.js';

/** Headers by hop count; shared by all sends and never written to. */
const HEADERS: readonly Buffer[] = Array.from({ length: RELAY_HOP_LIMIT + 1 }, (_, hops) =>
  Buffer.from([RELAY_MAGIC, RELAY_VERSION, hops, 0]),
);

/** The header for a frame that has made `hops` hops; undefined beyond the limit. */
export function relayHeader(hops: number): Buffer | undefined {
  return HEADERS[hops];
}

/** True when a datagram starts like a relay frame of a version this process speaks. */
export function isRelayFrame(datagram: Buffer): boolean {
  return datagram[0] === RELAY_MAGIC;
}

/** Hop count of a relay frame; undefined when the header is cut short or of an unknown version. */
export function relayHops(frame: Buffer): number | undefined {
  if (frame.length < RELAY_HEADER_BYTES || frame[1] !== RELAY_VERSION) return undefined;
  return frame[2];
}
