/**
 * Frames between balancers: a 4-byte header (magic, version, hop count, flags) before the bare IPv4 packet.
 * Header and packet are copied into one buffer: for packets of a few hundred bytes dgram takes longer to send two
 * buffers than to copy.
 */
import { RELAY_HEADER_BYTES, RELAY_HOP_LIMIT, RELAY_MAGIC, RELAY_VERSION } from './constants.js';

/** Builds the frame of a packet that has made `hops` hops; undefined beyond the limit. */
export function encodeRelayFrame(packet: Buffer, hops: number): Buffer | undefined {
  if (hops > RELAY_HOP_LIMIT) return undefined;
  const frame = Buffer.allocUnsafe(RELAY_HEADER_BYTES + packet.length);
  frame[0] = RELAY_MAGIC;
  frame[1] = RELAY_VERSION;
  frame[2] = hops;
  frame[3] = 0;
  packet.copy(frame, RELAY_HEADER_BYTES);
  return frame;
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
