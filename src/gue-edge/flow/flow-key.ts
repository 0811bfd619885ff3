/** Fingerprints of flows: 64 bits over addresses and ports, equal on every balancer. */
import { mix32 } from '../../common/hash.js';
import { SHARD_SHIFT } from './constants.js';

/** A flow's fingerprint as two unsigned 32-bit halves; reused between packets, so copy the numbers. */
export interface MutableFingerprint {
  high: number;
  low: number;
}

/** Writes the fingerprint of the flow from caller to service address into `out`. */
export function fingerprintFlow(
  callerAddress: number,
  callerPort: number,
  serviceAddress: number,
  servicePort: number,
  out: MutableFingerprint,
): void {
  const ports = (callerPort << 16) | servicePort | 0;
  const caller = mix32(callerAddress ^ 0x5bd1e995);
  const high = mix32(Math.imul(caller, 0x9e3779b1) ^ mix32(ports ^ 0x27d4eb2f));
  const low = mix32(Math.imul(mix32(ports ^ 0x165667b1), 0x85ebca77) ^ Math.imul(caller, 0xc2b2ae3d));
  const service = mix32(serviceAddress ^ 0x2545f491);
  out.high = mix32(high ^ service);
  out.low = mix32(low ^ Math.imul(service, 0x27220a95));
}

/** Shard of a fingerprint, 0 to SHARD_COUNT - 1. */
export function shardOf(high: number): number {
  return high >>> SHARD_SHIFT;
}

/** Key of a fingerprint in a map. */
export function fingerprintKey(high: number, low: number): string {
  return `${high.toString(36)}.${low.toString(36)}`;
}
