/**
 * Sends membership messages: adds the region and entries waiting to be spread, and cuts off what does not fit.
 *
 * Owns no state. Relies on the gossip queue for the updates that fill up each message, and on the control channel.
 */
import type { ControlChannel } from '../control/types.js';
import type { Endpoint } from '../../common/types.js';
import type { GossipQueue } from './gossip-queue.js';
import { encodeMessage, type WireMessageFields } from './wire.js';

/** What every message tells about its sender. */
interface SenderFacts {
  /** Tree version in force here; 0 when none. */
  readonly settingsVersion: () => number;
  /** Epoch of the quorum base; 0 when there is none. */
  readonly baseEpoch: () => number;
}

/** The sending half of membership. */
export class Messenger {
  constructor(
    private readonly channel: ControlChannel,
    private readonly regionHash: number,
    private readonly gossip: GossipQueue,
    private readonly self: SenderFacts,
  ) {}

  /** Sends a message as it is; false when the budget makes it wait. */
  send(to: Endpoint, fields: WireMessageFields): boolean {
    const payload = encodeMessage({
      ...fields,
      regionHash: this.regionHash,
      baseEpoch: this.self.baseEpoch(),
    });
    return this.channel.send(to, 'membership', payload);
  }

  /** Sends a probe or an answer with the tree version, `firstEntries`, and gossip of at most `maxBytes`. */
  sendWithGossip(
    to: Endpoint,
    fields: WireMessageFields,
    maxBytes: number,
    firstEntries: readonly Uint8Array[] = [],
  ): boolean {
    const entries = [...firstEntries, ...this.gossip.take(maxBytes)];
    return this.send(to, { ...fields, settingsVersion: this.self.settingsVersion() || undefined, entries });
  }
}
