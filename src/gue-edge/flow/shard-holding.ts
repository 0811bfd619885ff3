/** State of the shards that a balancer holds, as their keeper or as the backup of another keeper. */
import type { FlowFingerprint } from '../placement/types.js';
import { FlowTable } from './flow-table.js';
import type { ReplicaPeer } from './replica-peer.js';

/**
 * acquiring: the view names this balancer as keeper, nothing has been handed over yet. serving: holds the shard.
 * transferring: is handing it to the next keeper; forwards known flows and opens none.
 */
type KeptRole = 'acquiring' | 'serving' | 'transferring';

/** A transfer whose sender waits until the shard is replicated here. */
interface OwedAcknowledgement {
  readonly senderId: string;
  readonly transferId: number;
}

/** A move of a shard to a newer base version. While it lasts, a first choice must be first in both versions. */
export interface RebaseProgress {
  readonly toVersion: number;
  /** Oldest base afterwards: the new version when every open flow is in the table. */
  readonly toOldestVersion: number;
  /** Every open flow is in the table. */
  readonly coversAllFlows: boolean;
  phase: 'replicating' | 'advancing';
  /** Records of moved flows that the backup has not acknowledged. */
  outstanding: number;
}

/** What a keeper that stepped down still knows of the shard. */
type RetainedShard = Pick<KeptShard, 'epoch' | 'baseVersion' | 'oldestBaseVersion' | 'table'>;

/** A shard that this balancer keeps or is about to keep. */
export class KeptShard {
  role: KeptRole = 'acquiring';
  /** Rises with each change of keeper; 0 before the shard is held. */
  epoch = 0;
  /** Settings version whose back ends give the reconstructible first choice. */
  baseVersion = 0;
  /** Oldest base under which a flow without a record may have been opened. */
  oldestBaseVersion = 0;
  /** The table holds every flow that was opened since the base. */
  complete = false;
  /** When an incomplete table began to learn its flows, monotonic ms. */
  learningSinceMs = 0;
  /** When the shard was last received or started, monotonic ms. */
  heldSinceMs = Number.NEGATIVE_INFINITY;
  /** Backup that holds all exceptions of this shard. */
  backup: ReplicaPeer | undefined;
  /** Member that held all exceptions last; its replica may have been handed on while it could not be reached. */
  lastBackupId: string | undefined;
  /** Member that is to become the backup; no exception is made until it has the snapshot. */
  syncingTo: string | undefined;
  /** The snapshot is queued or on its way. */
  syncStarted = false;
  /** Number of the latest snapshot for a backup; the outcome of an earlier one is void. */
  syncNumber = 0;
  /** Records of this shard that no backup has acknowledged yet. */
  unacknowledgedRecords = 0;
  /** Member that the shard is queued for or being handed to. */
  transferTarget: string | undefined;
  /** The backup before the present one, until it has let go of its replica. */
  formerBackup: ReplicaPeer | undefined;
  rebase: RebaseProgress | undefined;
  readonly owed: OwedAcknowledgement[] = [];
  /** Sequence of the owners for which nothing is left to do; see `FlowContext.ownersSequence`. */
  settledFor = 0;
  /** Since when the transfer's target has been missing from the view, monotonic ms. */
  targetGoneSinceMs: number | undefined;

  /** Last time at which somebody offered the shard or it began to be awaited, monotonic ms. */
  awaitedSinceMs: number;
  /** Flows, closed ones included; while acquiring those known when the shard was given up to its present holder. */
  readonly table: FlowTable;

  constructor(
    readonly shard: number,
    /** When this balancer became the keeper in its own view, monotonic ms. */
    readonly acquiringSinceMs: number,
    /** Members that probably hold the shard, to relay packets to while acquiring. */
    readonly probableHolders: readonly string[],
    /** The shard as it was when this balancer stepped down, or nothing. */
    readonly retained?: RetainedShard,
  ) {
    this.table = retained?.table ?? new FlowTable();
    this.awaitedSinceMs = acquiringSinceMs;
  }
}

/** Where a replica comes from. */
type ReplicaOrigin = Pick<
  ReplicaShard,
  'shard' | 'keeperId' | 'keeperBoot' | 'epoch' | 'baseVersion' | 'oldestBaseVersion' | 'installedAtMs'
>;

/** A replica of another keeper's exceptions. */
export class ReplicaShard {
  readonly table = new FlowTable();
  /** False once the keeper may have chosen another backup without this balancer knowing. */
  trusted = true;
  /** The keeper failed: the replica goes to the next keeper of the present view. */
  lapsed = false;
  /** Since when the keeper's table has held every open flow, monotonic ms; undefined while it may lack some. */
  completeSinceMs: number | undefined;
  /** A snapshot has gone to the next keeper, which may know more by now: only records are served from here on. */
  handedOn = false;
  /** A recovery of this replica is queued or being sent. */
  recovering = false;
  /** A refused recovery is not repeated before this time, monotonic ms. */
  retryRecoveryAtMs = 0;
  /** Flows in the table that were placed here and are not yet known to the keeper. */
  ownPlacements = 0;

  readonly shard: number;
  readonly keeperId: string;
  /** Boot of the keeper's process. */
  readonly keeperBoot: number;
  readonly epoch: number;
  baseVersion: number;
  oldestBaseVersion: number;
  /** Monotonic ms. */
  readonly installedAtMs: number;

  constructor(origin: ReplicaOrigin) {
    this.shard = origin.shard;
    this.keeperId = origin.keeperId;
    this.keeperBoot = origin.keeperBoot;
    this.epoch = origin.epoch;
    this.baseVersion = origin.baseVersion;
    this.oldestBaseVersion = origin.oldestBaseVersion;
    this.installedAtMs = origin.installedAtMs;
  }
}

/** Copies a reused fingerprint. */
export function copyFingerprint(fingerprint: FlowFingerprint): FlowFingerprint {
  return { high: fingerprint.high, low: fingerprint.low };
}
