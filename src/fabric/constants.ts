/** Numbers of the edge: sizes of the wire formats and limits. */

/** Largest inner IPv4 packet in bytes that the edge carries (a jumbo frame). */
export const MAX_PACKET_BYTES = 9_000;

/** Bytes of an IPv4 or TCP header without options. */
export const IPV4_HEADER_BYTES = 20;
export const TCP_HEADER_BYTES = 20;

/** IPv4 protocol number of TCP. */
export const PROTOCOL_TCP = 6;

/** Most times a packet may be relayed between balancers. */
export const RELAY_HOP_LIMIT = 3;

/** Bytes of the header in front of a relayed packet: magic, version, hop count, flags. */
export const RELAY_HEADER_BYTES = 4;

/** First byte of a relay frame; its upper half differs from 4, the first half byte of an IPv4 packet. */
export const RELAY_MAGIC = 0x71;

/** Version of the relay header. */
export const RELAY_VERSION = 1;

/** Receive and send buffer asked of the kernel for each data socket, in bytes. */
export const SOCKET_BUFFER_BYTES = 4 * 1024 * 1024;

/** Most destinations with a connected socket of their own; others are sent to from the shared socket. */
export const MAX_CONNECTED_SOCKETS = 64;

/** How long the class of a datagram's source (balancer, back end, fabric) is remembered. */
export const SOURCE_CACHE_MS = 100;

/** Most sources whose class is remembered at once. */
export const SOURCE_CACHE_ENTRIES = 8_192;

/** Least time between two logged errors of one destination. */
export const ERROR_REPORT_INTERVAL_MS = 10_000;

/** TTL of packets that the edge or a stand-in builds. */
export const DEFAULT_TTL = 64;
