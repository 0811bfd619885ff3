/**
 * Reliable connections of the stand-ins, over packets that look like TCP to the balancers.
 *
 * ```ts
 * const connection = SegmentConnection.open({ local, remote, clock, initialSequence, transmit, listener });
 * connection.write(encodeMessage({ id: 1 }));
 * ```
 */
export * from './constants.js';
export { encodeMessage, MessageReader } from './frame-reader.js';
export {
  SegmentConnection,
  type ConnectionFailure,
  type ConnectionListener,
  type SegmentAddress,
} from './segment-connection.js';
