/**
 * Spreading of the settings tree: a few lease-holding readers per region, eager gossip of deltas, anti-entropy by
 * version and digest, and snapshots from peers while the store is down.
 *
 * Owns the tree in force on this balancer and its way to the other members. Relies on the store for versions, on
 * `settings/` for what a tree means, on the membership view for peers and readers, and on the control channel.
 *
 * ```ts
 * const settings = new SettingsDistributor({ region, clock, random, events, channel, membership, platform });
 * settings.subscribe((effective) => placement.apply(effective));
 * settings.start();
 * ```
 */
export { SettingsDistributor, type DisseminationStatus } from './distributor.js';
export { READERS_PER_REGION } from './constants.js';
export { DisseminationError } from './errors.js';
export { DISSEMINATION_EVENTS } from './events.js';
export type { DisseminationCounters } from './statistics.js';
export type { TreeCodec } from './distributed-tree.js';
export type { SettingsFeed } from './types.js';
