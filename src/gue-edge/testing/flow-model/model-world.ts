/** What flows and partitions of the model see of its world, and how the world is drawn. */
import type { RandomSource } from '../../../common/random.js';
import type { PacketView } from '../../../fabric/types.js';
import type { ModelNode } from './model-node.js';

export const SUSPECT_AFTER_MS = 1_200;
export const GONE_AFTER_MS = 3_500;

/** Knobs of one run. */
export interface ModelOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly lossRate: number;
  /** Largest time until a node learns a change of membership or settings, ms. */
  readonly spreadMs: number;
  /** Share (0–1) of openings that a back end resets. */
  readonly resetRate: number;
  /** Share (0–1) of SYNs that reach two balancers. */
  readonly sprayRate: number;
  /** Control bytes that a node may send in a second. */
  readonly budgetBytesPerSecond: number;
}

/** The world as its parts see it. */
export interface ModelWorld {
  readonly options: ModelOptions;
  readonly random: RandomSource;
  liveNodes(): ModelNode[];
  /** Runs `action` on the model's clock. */
  later(delayMs: number, action: () => void): void;
  /** Sends a packet through a random node. */
  spray(packet: PacketView): void;
  packetDelay(): number;
  /** Notes a broken rule. */
  violate(text: string): void;
}
