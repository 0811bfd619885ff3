/** Makes the forwarder of a placement mode. */
import type { PlacementMode } from '../placement/types.js';
import { LocalTableForwarder } from './baselines/local-table-forwarder.js';
import { RendezvousForwarder } from './baselines/rendezvous-forwarder.js';
import { FlowKeeper } from './flow-keeper.js';
import type { FlowComponents, PacketForwarder } from './packet-forwarder.js';

/** The flow keeper for modes that use keepers; a baseline that stands alone for `rendezvous` and `local-table`. */
export function createForwarder(mode: PlacementMode, components: FlowComponents): PacketForwarder {
  if (mode === 'rendezvous') return new RendezvousForwarder(components);
  if (mode === 'local-table') return new LocalTableForwarder(components);
  return new FlowKeeper(components);
}
