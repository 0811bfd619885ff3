/**
 * Claims: a new keeper asks the probable holders of the shards it awaits. A holder that will not hand a shard over yet,
 * because its own view differs, says at least that it is held.
 */
import type { InboundControlMessage } from '../control/types.js';
import { HEARTBEAT_MS, MAX_CLAIM_TARGETS } from './constants.js';
import type { FlowContext } from './flow-context.js';
import { sailquay } from './pb/flow.js';
import { isHeldForClaimant } from './replica-rules.js';
import { fromBitmap, toBitmap } from './shard-set.js';

const { HandoverMessage } = sailquay.flow;

/** Sends and answers claims. */
export class ShardClaims {
  private nextClaimMs = 0;

  constructor(private readonly context: FlowContext) {}

  /** Asks for the awaited shards when due. */
  tick(): void {
    const nowMs = this.context.now();
    if (nowMs < this.nextClaimMs) return;
    this.nextClaimMs = nowMs + HEARTBEAT_MS;
    for (const [holderId, shards] of this.awaitedByHolder()) {
      const member = this.context.formerMember(holderId);
      if (!member) continue;
      const payload = HandoverMessage.encode({ claim: { shards: toBitmap(shards) } }).finish();
      this.context.components.control.send(member.control, 'handover', payload);
    }
  }

  /** Answers with the claimed shards that are held here, as keeper or as backup. */
  onClaim(claim: sailquay.flow.Claim.$Properties, from: InboundControlMessage): void {
    const claimed = [...fromBitmap(claim.shards ?? new Uint8Array())];
    const held = claimed.filter((shard) => this.holds(shard, from));
    if (held.length === 0) return;
    const payload = HandoverMessage.encode({ offer: { shards: toBitmap(held) } }).finish();
    this.context.components.control.send(from.from, 'handover', payload);
  }

  private holds(shard: number, claimant: InboundControlMessage): boolean {
    const kept = this.context.kept.get(shard);
    const replica = this.context.replicas.get(shard);
    return isHeldForClaimant({
      kept: kept && { acquiring: kept.role === 'acquiring' },
      replica: replica && {
        lapsed: replica.lapsed,
        ofClaimant:
          replica.keeperId === claimant.senderId && replica.keeperBoot === claimant.senderIncarnation,
      },
    });
  }

  private awaitedByHolder(): Map<string, number[]> {
    const byHolder = new Map<string, number[]>();
    for (const kept of this.context.kept.values()) {
      if (kept.role !== 'acquiring') continue;
      for (const holderId of kept.probableHolders) {
        const shards = byHolder.get(holderId) ?? [];
        if (shards.length === 0 && byHolder.size >= MAX_CLAIM_TARGETS) continue;
        byHolder.set(holderId, shards);
        shards.push(kept.shard);
      }
    }
    return byHolder;
  }
}
