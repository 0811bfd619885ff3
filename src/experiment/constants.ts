/** Limits and intervals of the experiment runner. */

/** Time between two samples of what the back ends truly hold, ms. */
export const SAMPLE_INTERVAL_MS = 100;
/** Time between two polls of the daemons' admin pages, ms. */
export const DAEMON_POLL_INTERVAL_MS = 250;
/** Time between two points kept for plots, ms. */
export const SERIES_INTERVAL_MS = 500;
/** How long a started process may take to print its ready line, ms. */
export const READY_TIMEOUT_MS = 30_000;
/** How long a process may take to end after SIGTERM before it is killed, ms. */
export const STOP_TIMEOUT_MS = 3_000;
/** How long a planned stop of a balancer may take, ms; longer than the daemon's own limits for it. */
export const PLANNED_STOP_TIMEOUT_MS = 100_000;
/** How long the balancers may take until all of them are ready, ms. */
export const FLEET_READY_TIMEOUT_MS = 30_000;
/** Deadline of one control request to a stand-in or an admin page, ms. */
export const CONTROL_REQUEST_TIMEOUT_MS = 2_000;
/** Deadline of a report of a caller or a back end at the end of a run, ms. */
export const REPORT_REQUEST_TIMEOUT_MS = 15_000;
/** Time a run may take beyond its duration before it is stopped as failed, ms. */
export const RUN_GRACE_MS = 150_000;
/** A break within this time after an unplanned fault counts as caused by the fault, ms. */
export const FAULT_ATTRIBUTION_MS = 30_000;
/** Lines of a process's standard error kept for the report of a failure. */
export const KEPT_ERROR_LINES = 40;
/** Broken flows listed in a result document. */
export const BROKEN_FLOWS_KEPT = 50;
