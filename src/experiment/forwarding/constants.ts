/** Numbers of the forwarding experiment. */
export const DEFAULT_SECONDS = 2;
export const DEFAULT_ROUNDS = 5;
export const DEFAULT_PACKET_BYTES = 200;
export const DEFAULT_OFFERED_PACKETS_PER_SECOND = 300_000;
export const DEFAULT_LATENCY_PACKETS_PER_SECOND = 30_000;
export const DEFAULT_DAEMON_COUNTS: readonly number[] = [1, 2, 4];

/** Headers and the time stamp. */
export const MIN_PACKET_BYTES = 48;

/** Flows that packets are spread over. */
export const FLOWS = 1_024;
/** Back end sockets, each in a process of its own. */
export const SINKS = 2;
/** Sender processes for one target. */
export const SENDERS_PER_TARGET = 2;

/** Service that the flows go to, and the first caller address. */
export const SERVICE_ADDRESS = { host: '10.1.0.1', port: 443 };
export const FIRST_CALLER_ADDRESS = 0x0ac80001;

/** Time for a path to settle after senders start, ms. */
export const WARM_UP_MS = 300;
/** Time between two rounds of SYNs until every flow is open, and how often. */
export const OPEN_INTERVAL_MS = 250;
export const OPEN_ATTEMPTS = 80;
/** SYNs in one burst of a sender. */
export const OPEN_BURST = 64;
/** Time for packets under way to arrive after senders stop, ms. */
export const SETTLE_MS = 200;
