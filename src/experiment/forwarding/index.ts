/**
 * The forwarding experiment.
 *
 * ```ts
 * const { forwarding } = await runForwarding({ seconds: 2, packetBytes: 200 });
 * ```
 */
export { registerForwardingRun } from './forwarding-command.js';
export { runForwarding } from './forwarding-run.js';
export { forwardingText } from './forwarding-text.js';
export type { ForwardingOptions, ForwardingReport, PathFigures, DaemonScaling } from './types.js';
