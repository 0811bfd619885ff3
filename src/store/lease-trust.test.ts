/** How long a granted lease is trusted. */
import test from 'ava';
import { LEASE_MARGIN_MS } from './constants.js';
import { trustedDurationMs } from './lease-trust.js';

const LEASES: readonly (readonly [string, number, number])[] = [
  ['drift and margin are taken off', 4_000, 4_000 - 40 - LEASE_MARGIN_MS],
  ['too short to use', LEASE_MARGIN_MS, 0],
  ['none', 0, 0],
];

for (const [name, grantedMs, trustedMs] of LEASES) {
  test(name, (t) => t.is(trustedDurationMs(grantedMs), trustedMs));
}
