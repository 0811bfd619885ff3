/**
 * The `lookup` of sockets whose addresses are always numeric.
 *
 * Owns no state. Relies on hosts being numeric IPv4: nothing is looked up.
 */

/** What a socket expects to be called back with. */
type LookupCallback = (error: Error | null, address: string, family: number) => void;

const IPV4_FAMILY = 4;

/** Answers at once, within the call, instead of asking the resolver for each send. */
export function numericLookup(host: string, _options: unknown, callback: LookupCallback): void {
  callback(null, host, IPV4_FAMILY);
}
