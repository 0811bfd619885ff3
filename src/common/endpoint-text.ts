/**
 * Addresses as text.
 *
 * Owns no state. Relies on addresses being numeric IPv4.
 */
import { isIPv4 } from 'node:net';
import type { Endpoint } from './types.js';

const MAX_PORT = 65_535;
const PORT_PATTERN = /^\d{1,5}$/;

/** Reads `IPv4:port` with a port of `smallestPort` to 65535; undefined when the text is something else. */
export function parseEndpoint(text: string, smallestPort = 1): Endpoint | undefined {
  const separator = text.lastIndexOf(':');
  const host = text.slice(0, separator);
  const portText = text.slice(separator + 1);
  const port = Number(portText);
  const valid = isIPv4(host) && PORT_PATTERN.test(portText) && port >= smallestPort && port <= MAX_PORT;
  return valid ? { host, port } : undefined;
}
