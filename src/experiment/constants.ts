/** Limits and intervals of the experiment runner. */

/** Unit conversion: scenarios and documents count seconds, clocks milliseconds. */
export const MS_PER_SECOND = 1_000;

/** Time between two samples of what the back ends hold, ms. A run of seconds then has enough samples. */
export const SAMPLE_INTERVAL_MS = 100;
/** Time between two polls of the daemons' admin pages, ms. Longer than a sample: a poll costs the daemon a page. */
export const DAEMON_POLL_INTERVAL_MS = 250;
/** Time between two points kept for plots, ms. A plot shows no finer steps. */
export const SERIES_INTERVAL_MS = 500;
/** How long a started process may take to print its ready line, ms. Long, since it only ends a failed run. */
export const READY_TIMEOUT_MS = 30_000;
/** How long a process may take to end after SIGTERM before it is killed, ms. Stand-ins keep nothing. */
export const STOP_TIMEOUT_MS = 3_000;
/**
 * How long a planned stop of a balancer may take, ms; longer than the daemon's own limits for it. Stops of up to
 * 69.5 s were measured (`balancer-join-leave`, `double-fault` in docs/records/MEASUREMENTS.md); with a limit of 30
 * s one was killed before its end.
 */
export const PLANNED_STOP_TIMEOUT_MS = 100_000;
/** How long the balancers may take until all are ready, ms. READY_TIMEOUT_MS. */
export const FLEET_READY_TIMEOUT_MS = 30_000;
/** Deadline of one control request to a stand-in or an admin page, ms. Loopback answers within it. */
export const CONTROL_REQUEST_TIMEOUT_MS = 2_000;
/** Deadline of a caller's or back end's report at the end of a run, ms. Long, since its loss makes counts partial. */
export const REPORT_REQUEST_TIMEOUT_MS = 15_000;
/** Time a run may take beyond its duration before it fails, ms. Longer than PLANNED_STOP_TIMEOUT_MS. */
export const RUN_GRACE_MS = 150_000;
/**
 * A break within this time after an unplanned fault counts as caused by the fault, ms. A caller sees a break after 15 s
 * without an answer; the rest is for faults whose effect comes late. Twice those 15 s.
 */
export const FAULT_ATTRIBUTION_MS = 30_000;
/** Lines of a process's standard error kept for the report of a failure. A stack trace fits. */
export const KEPT_ERROR_LINES = 40;
/** Broken flows listed in a result document. Keeps documents readable; the counts are complete. */
export const BROKEN_FLOWS_KEPT = 50;
