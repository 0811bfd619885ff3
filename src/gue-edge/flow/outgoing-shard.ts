/** A shard on its way to another balancer, and its content. */
import type { sailquay } from './pb/flow.js';
import type { ShardRecord } from './record-codec.js';

/** Content of a shard at the moment its transfer begins. */
export interface ShardSnapshot {
  readonly epoch: number;
  readonly baseVersion: number;
  readonly oldestBaseVersion: number;
  readonly complete: boolean;
  readonly trusted: boolean;
  readonly learningMs: number;
  readonly records: readonly ShardRecord[];
}

/** One shard on its way. */
export interface OutgoingShard {
  readonly shard: number;
  readonly purpose: sailquay.flow.ShardPurpose;
  readonly targetId: string;
  /** Taken when the transfer leaves the queue; undefined cancels it. */
  readonly snapshot: () => ShardSnapshot | undefined;
  /** The receiver has installed the shard. `boot` is that of the receiving process. */
  readonly onDone: (boot: number, snapshot: ShardSnapshot) => void;
  /** The receiver refused the shard, or the transfer was cancelled or its target is gone. */
  readonly onFailed: () => void;
  /** Generation of this keeper towards the backup; see `ReplicaPeers.generationOf`. */
  readonly generation?: () => number;
}
