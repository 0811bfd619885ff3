/**
 * Rules of a replica at the backup: whether its keeper's lease is over, whether this balancer is still its backup,
 * when it is trusted, when it is handed on, and whether a claim for it is answered.
 *
 * They prevent two balancers from acting for one shard: the backup waits until the lease of a silent keeper has
 * surely ended, and a replica that another backup may have superseded is not used. Silence is counted from the last
 * acknowledgement sent, which is earlier than its receipt by the keeper. A keeper that was never acknowledged has
 * no lease. Times are monotonic ms. No input or output.
 */
import { LEASE_MARGIN_MS, LEASE_MS } from './constants.js';

/**
 * A keeper that is silent here but active in the view for this long, in ms, may have chosen another backup. Above
 * `LEASE_MS` several times, so that lost heartbeats alone do not distrust a replica.
 */
const TRUSTED_SILENCE_MS = 10_000;

/** What a backup knows of the keeper's process. */
interface KeeperKnowledge {
  /** Boot of the newest process heard of. */
  readonly boot: number;
  readonly lastAckSentAtMs: number;
}

/** What the end of a keeper is judged by. */
interface KeeperInput {
  readonly replica: { readonly keeperBoot: number; readonly lapsed: boolean };
  /** Undefined when no message of the keeper has come. */
  readonly link: KeeperKnowledge | undefined;
  readonly inView: boolean;
  readonly nowMs: number;
}

/**
 * True when the keeper's process has ended or its lease is over. A newer boot or a lapse is proof at once; a keeper
 * in the view has not failed; one that is gone keeps its lease for its length and the margin.
 */
export function keeperHasFailed({ replica, link, inView, nowMs }: KeeperInput): boolean {
  if (link && link.boot > replica.keeperBoot) return true;
  if (replica.lapsed) return true;
  return !inView && nowMs - (link?.lastAckSentAtMs ?? Number.NEGATIVE_INFINITY) > LEASE_MS + LEASE_MARGIN_MS;
}

/**
 * True while the keeper cannot have replaced this backup: it does so only after a silence that began with an
 * acknowledgement received, so not earlier than the same silence after the acknowledgement was sent. Without
 * knowledge of this boot of the keeper, false.
 */
export function isSurelyBackup(
  keeperBoot: number,
  link: KeeperKnowledge | undefined,
  nowMs: number,
): boolean {
  if (link?.boot !== keeperBoot) return false;
  return nowMs - link.lastAckSentAtMs <= LEASE_MS + LEASE_MARGIN_MS;
}

/** What a heartbeat confirms. */
interface HeartbeatInput {
  /** Digests of the shards that the keeper assigned, and of those held here. */
  readonly assignedDigest: number;
  readonly heldDigest: number;
  /** Sending time here of the latest acknowledgement that the keeper has received; 0 before the first. */
  readonly echoMs: number;
  readonly lapsed: boolean;
  readonly nowMs: number;
}

/**
 * True when a heartbeat shows that the replicas are the keeper's present ones: both sides name the same shards, and the
 * keeper heard this backup less than a lease ago, so it has not chosen another. A lapsed keeper confirms nothing.
 */
export function confirmsReplicas(input: HeartbeatInput): boolean {
  const { assignedDigest, heldDigest, echoMs, lapsed, nowMs } = input;
  return assignedDigest === heldDigest && echoMs > nowMs - LEASE_MS && !lapsed;
}

/**
 * True when a keeper that is active in the view has been silent here for so long that it may have chosen another
 * backup.
 */
export function silenceBreaksTrust(activeInView: boolean, silentMs: number): boolean {
  return activeInView && silentMs >= TRUSTED_SILENCE_MS;
}

/** What trust in a replica that has just arrived is judged by. */
interface ArrivalInput {
  /** This process was not paused just now. */
  readonly fresh: boolean;
  readonly nowMs: number;
  /** This process may have been replaced unknowingly until then. */
  readonly cautiousUntilMs: number;
}

/**
 * True when a replica that has just arrived is trusted before a heartbeat confirms it. After a pause or a cut it may
 * have waited in the socket, and its keeper may have chosen another backup meanwhile.
 */
export function mayTrustNewReplica({ fresh, nowMs, cautiousUntilMs }: ArrivalInput): boolean {
  return fresh && nowMs >= cautiousUntilMs;
}

/** What becomes of a replica. */
type ReplicaFate =
  | 'keep'
  /** This balancer becomes the keeper. */
  | 'promote'
  /** The next keeper gets it. */
  | 'hand-on';

/** What the fate of a replica is judged by. */
interface FateInput {
  /** It is being handed on already. */
  readonly recovering: boolean;
  readonly quorate: boolean;
  readonly keeperFailed: () => boolean;
  /** Keeper of the shard in the present view; undefined when no member may own shards. */
  readonly nextKeeper: { readonly isSelf: boolean; readonly active: boolean } | undefined;
  readonly nowMs: number;
  /** A refused recovery is not repeated before this time. */
  readonly retryAtMs: number;
  readonly trusted: boolean;
  /** This process may have been replaced unknowingly until then. */
  readonly cautiousUntilMs: number;
}

/**
 * Judges a replica. Conditions that cost nothing come first. A minority keeps what it holds. After a cut or a pause
 * the view may lack a keeper that never failed, so a doubtful replica waits. A next keeper that is not active gets
 * nothing yet.
 */
export function judgeReplicaFate(input: FateInput): ReplicaFate {
  const { nextKeeper, nowMs } = input;
  if (input.recovering || !input.quorate || !input.keeperFailed()) return 'keep';
  if (!nextKeeper || nowMs < input.retryAtMs) return 'keep';
  if (!input.trusted && nowMs < input.cautiousUntilMs) return 'keep';
  if (nextKeeper.isSelf) return 'promote';
  return nextKeeper.active ? 'hand-on' : 'keep';
}

/** What the answer to a claim is judged by. */
interface ClaimInput {
  /** The shard as this balancer keeps or awaits it. */
  readonly kept: { readonly acquiring: boolean } | undefined;
  /** The replica held here. */
  readonly replica: { readonly lapsed: boolean; readonly ofClaimant: boolean } | undefined;
}

/**
 * True when a claimed shard is named as held here, so that the claimant waits for it. A replica of the claimant's
 * own flows is handed to nobody else unless it lapsed, so it is no reason to wait; a shard awaited here too is not
 * held.
 */
export function isHeldForClaimant({ kept, replica }: ClaimInput): boolean {
  if (kept && !kept.acquiring) return true;
  return replica !== undefined && (replica.lapsed || !replica.ofClaimant);
}
