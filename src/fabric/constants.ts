/** Numbers of the edge: sizes of the wire formats and limits. */

/** Largest inner IPv4 packet in bytes that the edge carries. A jumbo frame holds that much. */
export const MAX_PACKET_BYTES = 9_000;

/** Bytes of an IPv4 or TCP header without options. */
export const IPV4_HEADER_BYTES = 20;
export const TCP_HEADER_BYTES = 20;

/** IPv4 protocol number of TCP: a bound of the wire. */
export const PROTOCOL_TCP = 6;

/**
 * Most times a packet may be relayed between balancers. Above the one hop to the keeper, so that a packet survives a
 * change of the shard map and a loop ends.
 */
export const RELAY_HOP_LIMIT = 3;

/**
 * Bytes of the header in front of a relayed packet: magic, version, hop count, flags. A bound of the wire: one byte
 * each.
 */
export const RELAY_HEADER_BYTES = 4;

/** First byte of a relay frame, so that its upper half differs from 4, the first half byte of an IPv4 packet. */
export const RELAY_MAGIC = 0x71;

/** Version of the relay header: a bound of the wire. */
export const RELAY_VERSION = 1;

/**
 * Receive and send buffer asked of the kernel for each data socket, in bytes. A burst waits in the kernel while
 * the event loop is busy.
 */
export const SOCKET_BUFFER_BYTES = 4 * 1024 * 1024;

/**
 * Most destinations with a connected socket of their own; others are sent to from the shared socket. Bounds the file
 * descriptors.
 */
export const MAX_CONNECTED_SOCKETS = 64;

/**
 * How long the class of a datagram's source (balancer, back end, fabric) is remembered, in ms. A change of members or
 * back ends must soon show, while a busy source costs ten look-ups a second.
 */
export const SOURCE_CACHE_MS = 100;

/** Most sources whose class is remembered at once. Bounds the memory. */
export const SOURCE_CACHE_ENTRIES = 8_192;

/**
 * Least time in ms between two logged errors of one destination. An unreachable destination does not fill the
 * log.
 */
export const ERROR_REPORT_INTERVAL_MS = 10_000;

/** TTL of packets that the edge or a stand-in builds: the default that RFC 1700 recommends. */
export const DEFAULT_TTL = 64;
