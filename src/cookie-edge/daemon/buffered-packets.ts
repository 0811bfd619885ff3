/**
 * Decides whether a SYN that waited while the daemon started may still be placed. Only the newest copy that a caller has sent may be: an
 * older one and its copy, placed by two balancers, would open one flow at two back ends. A caller sends copies of a SYN at fixed times and
 * numbers them, so the number tells how long no further one can have been sent. The load that this answers is the loss of all daemons at
 * once: nearly every caller has a SYN under way then, most of them the second or third copy. On a day of 146 small machines 395 of the
 * 889 packets that were held after such a loss were dropped as too old, while their callers had nothing newer under way.
 */
import { MAX_HELD_SYN_AFTER_READ_MS, MAX_HELD_SYN_MS } from './constants.js';

/** Times in ms after the first SYN at which callers send the first and the second copy, and at which they give the attempt up. */
const NEXT_SENT_MS = [200, 600, 1_400] as const;

/** What is known of a held SYN; times in ms. */
interface HeldSyn {
  /** How many times its caller had sent the SYN before. */
  readonly copy: number;
  /** Time since the socket was bound: nothing in it is older. */
  readonly boundForMs: number;
  /** Time since it was read from the socket, where it may have waited for a moment. */
  readonly readAgoMs: number;
}

/** See the module. */
export function mayPlaceHeldSyn({ copy, boundForMs, readAgoMs }: HeldSyn): boolean {
  const longerMs = copy < NEXT_SENT_MS.length ? waitAfter(copy) - waitAfter(0) : 0;
  return boundForMs <= MAX_HELD_SYN_MS + longerMs || readAgoMs <= MAX_HELD_SYN_AFTER_READ_MS + longerMs;
}

/** Time in ms from a copy to the next one, or to the end of the attempt. */
function waitAfter(copy: number): number {
  const sentMs = copy === 0 ? 0 : (NEXT_SENT_MS[copy - 1] as number);
  return (NEXT_SENT_MS[copy] as number) - sentMs;
}
