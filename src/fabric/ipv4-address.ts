/** IPv4 addresses as unsigned 32-bit integers and as text. */
import ipaddr from 'ipaddr.js';

/** Reads dotted text. Throws when it isn't a full IPv4 address. */
export function parseIpv4(text: string): number {
  const [first = 0, second = 0, third = 0, fourth = 0] = ipaddr.IPv4.parse(text).octets;
  return ((first << 24) | (second << 16) | (third << 8) | fourth) >>> 0;
}

/** Writes an unsigned 32-bit integer as dotted text. */
export function formatIpv4(address: number): string {
  return `${address >>> 24}.${(address >>> 16) & 0xff}.${(address >>> 8) & 0xff}.${address & 0xff}`;
}
