/** Numbers of the forwarding experiment. The defaults are those of the recorded run in docs/records/MEASUREMENTS.md. */

/** Length of a round's measurement of one path, s. It is long beside WARM_UP_MS. */
export const DEFAULT_SECONDS = 2;
/** Rounds. Odd, so that the median is one of them. */
export const DEFAULT_ROUNDS = 5;
/** Bytes of an inner packet. Small, since the cost is a packet's, not a byte's. */
export const DEFAULT_PACKET_BYTES = 200;
/** Rate offered for throughput, packets/s: above the 98,386 that the fastest recorded round of one path forwarded. */
export const DEFAULT_OFFERED_PACKETS_PER_SECOND = 300_000;
/**
 * Rate offered for latency, packets/s: below half of the 70,663 that the slowest path forwarded, so that no queue
 * forms.
 */
export const DEFAULT_LATENCY_PACKETS_PER_SECOND = 30_000;
/** Numbers of daemons on one machine that are compared. */
export const DEFAULT_DAEMON_COUNTS: readonly number[] = [1, 2, 4];

/** 40 bytes of headers and 8 of the time stamp. */
export const MIN_PACKET_BYTES = 48;

/** Flows that packets are spread over. Each sink and each daemon then has hundreds. */
export const FLOWS = 1_024;
/** Back end sockets, each in a process of its own, so that one sink's core does not bound a path. */
export const SINKS = 2;
/** Sender processes for one target, so that one sender's core does not bound a path. */
export const SENDERS_PER_TARGET = 2;

/** Service that the flows go to, and the first caller address. */
export const SERVICE_ADDRESS = { host: '10.1.0.1', port: 443 };
/** 10.200.0.1 */
export const FIRST_CALLER_ADDRESS = 0x0ac80001;

/** Time for a path to settle after senders start, ms. Short beside a round. */
export const WARM_UP_MS = 300;
/** Time between two rounds of SYNs until every flow is open, ms. Longer than a SYN takes on a busy machine. */
export const OPEN_INTERVAL_MS = 250;
/** Rounds of SYNs before the experiment fails: 20 s in all. Long, since it only ends a failed run. */
export const OPEN_ATTEMPTS = 80;
/** SYNs in one burst of a sender. A socket buffer holds them all. */
export const OPEN_BURST = 64;
/** Time for packets under way to arrive after senders stop, ms. Long beside the recorded p99 of 0.822 ms. */
export const SETTLE_MS = 200;
