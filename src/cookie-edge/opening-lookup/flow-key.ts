/** Key of a flow in maps. */
import type { FlowAddresses } from './types.js';

/** Returns a string that is equal for equal addresses. */
export function flowKey(flow: FlowAddresses): string {
  return `${flow.sourceAddress}:${flow.sourcePort}>${flow.destinationAddress}:${flow.destinationPort}`;
}
