/** Relays packets of shards that are not held here to the balancer that holds them. */
import { sameEndpoint } from '../../common/types.js';
import { RELAY_HOP_LIMIT } from '../../fabric/constants.js';
import type { PacketView } from '../../fabric/types.js';
import type { Member } from '../membership/types.js';
import type { FlowContext } from './flow-context.js';
import type { KeptShard } from './shard-holding.js';
import type { ShardMap } from './shard-map.js';

/** Chooses where a packet is relayed to; never back to the balancer it came from. */
export class PacketRelay {
  /** The map before the last change of owners: its keepers may still hold shards. */
  previousMap: ShardMap;

  constructor(private readonly context: FlowContext) {
    this.previousMap = context.map;
  }

  /** Relays a packet of a shard that is not held here. */
  relay(packet: PacketView, shard: number, acquiring: KeptShard | undefined): void {
    const target = acquiring
      ? this.firstUsable(packet, acquiring.probableHolders)
      : this.towardsKeeper(packet, shard);
    this.send(packet, target);
  }

  /** Relays a packet to a member by id. */
  relayTo(packet: PacketView, memberId: string | undefined): void {
    this.send(packet, memberId === undefined ? undefined : this.firstUsable(packet, [memberId]));
  }

  /** Members that probably hold a shard that this balancer is to keep: those of the map before, its keeper first. */
  probableHolders(shard: number): string[] {
    const { previousMap } = this;
    const keeper = previousMap.keeper(shard);
    const backups = keeper ? [previousMap.backup(shard, keeper), ...previousMap.backups(keeper)] : [];
    const ids = [keeper, ...backups].flatMap((member) => (member ? [member.id] : []));
    return [...new Set(ids)].filter((id) => id !== this.context.selfId);
  }

  private send(packet: PacketView, target: Member | undefined): void {
    const { counters, components } = this.context;
    if (!target || packet.hops >= RELAY_HOP_LIMIT) {
      counters.unroutable += 1;
      return;
    }
    counters.relayed += 1;
    components.edge.relay(packet, target.data);
  }

  private towardsKeeper(packet: PacketView, shard: number): Member | undefined {
    const { map } = this.context;
    const keeper = map.keeper(shard);
    if (keeper && keeper.state !== 'suspect' && this.isUsable(packet, keeper)) return keeper;
    const backup = keeper && map.backup(shard, keeper);
    const former = this.previousMap.keeper(shard);
    const others = [backup?.id, former?.id, keeper?.id].filter((id) => id !== undefined);
    return this.firstUsable(packet, others);
  }

  private firstUsable(packet: PacketView, ids: readonly string[]): Member | undefined {
    for (const id of ids) {
      const member = this.context.member(id);
      if (member && this.isUsable(packet, member)) return member;
    }
    return undefined;
  }

  private isUsable(packet: PacketView, member: Member): boolean {
    if (member.id === this.context.selfId || member.state === 'gone') return false;
    return !packet.relayedFrom || !sameEndpoint(packet.relayedFrom, member.data);
  }
}
