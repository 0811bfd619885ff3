/**
 * The authenticated control channel between balancers.
 *
 * Owns the socket, the cluster keys, the byte budget and the protection against replays. Relies on wall clocks that
 * differ by less than `MAX_CLOCK_SKEW_MS`, and on nothing else of the GUE edge: its users give meaning to the
 * payloads.
 *
 * @example
 * const opened = await UdpControlChannel.open({
 *   bind: { host: '10.0.0.5', port: 7946 }, memberId: 'bal-01', incarnation: Date.now(),
 *   keyFile: '/etc/sailquay/keys.json', clock: new SystemClock(),
 * });
 * if (opened.isOk) opened.value.handle('membership', (message) => console.log(message.senderId));
 */
export * from './types.js';
export { ControlBudget, MINIMUM_SHARE } from './budget.js';
export { messageWireBytes } from './envelope.js';
export { ControlError } from './errors.js';
export { CONTROL_EVENTS } from './events.js';
export { KeyRing } from './key-ring.js';
export type { MeterSnapshot } from './meter.js';
export { UdpControlChannel, type ControlDropReason, type UdpControlChannelOptions } from './udp-channel.js';
export type { VersionRange } from './version.js';
