/**
 * Non-cryptographic 32-bit hashing used for placement, shard choice and compact identifiers.
 *
 * Owns no state. Relies on nothing; hashes of ids stand on the wire, so the functions cannot change without a new
 * protocol version.
 */

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Finalizer of MurmurHash3: every input bit affects every output bit. Returns an unsigned 32-bit integer. */
export function mix32(value: number): number {
  let hash = value | 0;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Combines two 32-bit integers into one unsigned 32-bit hash; the order matters. */
export function combine32(left: number, right: number): number {
  return mix32(Math.imul(mix32(left) + 0x9e3779b9, 0x85ebca6b) ^ right);
}

/** FNV-1a with a murmur finalizer over the UTF-8 bytes of `text`; an unsigned 32-bit integer. */
export function hashString(text: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (const byte of Buffer.from(text, 'utf8')) {
    hash = Math.imul(hash ^ byte, FNV_PRIME);
  }
  return mix32(hash);
}
