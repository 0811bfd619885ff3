/** Receives shards: collects the parts of each transfer, installs it once, and remembers the outcome for copies. */
import type { InboundControlMessage } from '../control/types.js';
import type { FlowContext } from './flow-context.js';
import type { KnowledgeExchange } from './knowledge-exchange.js';
import { sailquay } from './pb/flow.js';
import { unpackPart, type ShardRecord } from './record-codec.js';
import { expandGroup, groupAcknowledgements } from './shard-group.js';

const { HandoverMessage, ShardStatus } = sailquay.flow;

/**
 * Transfers that are remembered after they ended, and that may be in assembly at once. Twice `SHARD_COUNT`, to bound
 * the memory.
 */
const REMEMBERED_TRANSFERS = 8_192;
/** A transfer without a new part for this long, in ms, is forgotten. Several times `TRANSFER_RESEND_LIMIT_MS`. */
const ASSEMBLY_TIMEOUT_MS = 10_000;
/** Acknowledgements in one message. Fits one datagram. */
const ACKS_PER_MESSAGE = 80;

/** A whole shard as it arrived. */
export interface IncomingShard {
  readonly header: sailquay.flow.ShardPart.$Properties;
  readonly shard: number;
  readonly transferId: number;
  readonly records: readonly ShardRecord[];
  readonly from: InboundControlMessage;
}

/** What became of a shard: installed, refused, or installed and acknowledged later by `acknowledge`. */
export type InstallOutcome = 'done' | 'refused' | 'later';

interface Assembly {
  readonly parts: Map<number, sailquay.flow.ShardPart.$Properties>;
  touchedMs: number;
}

/** Collects and installs incoming shards. */
export class ShardReceiver {
  private readonly assemblies = new Map<string, Assembly>();
  private readonly ended = new Map<string, sailquay.flow.ShardStatus>();
  /** Acknowledgements that follow later, by sender, collected for one message. */
  private readonly later = new Map<string, sailquay.flow.ShardAck.$Properties[]>();
  /** Boots of the senders that know groups. */
  private readonly groupSenders = new Map<string, number>();

  constructor(
    private readonly context: FlowContext,
    private readonly knowledge: KnowledgeExchange,
    private readonly install: (incoming: IncomingShard) => InstallOutcome,
  ) {}

  /** Takes in parts and groups, and acknowledges each shard. */
  onParts(message: sailquay.flow.ShardParts.$Properties, from: InboundControlMessage): void {
    const groups = message.groups ?? [];
    if (groups.length > 0) this.groupSenders.set(from.senderId, from.senderIncarnation);
    else if (this.groupSenders.get(from.senderId) !== from.senderIncarnation) {
      this.groupSenders.delete(from.senderId);
    }
    const parts = [...(message.parts ?? []), ...groups.flatMap((group) => expandGroup(group))];
    const acks = parts.map((part) => ({
      shard: part.shard,
      transferId: part.transferId,
      part: part.part,
      status: this.onPart(part, from),
    }));
    const known = groups.length > 0;
    this.sendAcknowledgements(acks, known, (payload) =>
      this.context.components.control.send(from.from, 'handover', payload),
    );
  }

  /** Tells a sender that a shard which was answered with "later" is installed now, or was given up again. */
  acknowledge(senderId: string, transferId: number, installed: boolean): void {
    const status = installed ? ShardStatus.DONE : ShardStatus.REFUSED;
    this.remember(`${senderId} ${transferId}`, status);
    const acks = this.later.get(senderId) ?? [];
    this.later.set(senderId, acks);
    acks.push({ transferId, part: 0, status });
  }

  /** Sends the collected acknowledgements and forgets transfers whose sender fell silent. */
  tick(): void {
    this.sendLater();
    const oldestMs = this.context.now() - ASSEMBLY_TIMEOUT_MS;
    for (const [key, assembly] of this.assemblies) {
      if (assembly.touchedMs < oldestMs) this.assemblies.delete(key);
    }
  }

  /** An acknowledgement that finds no room in the byte budget is repeated when its sender asks again. */
  private sendLater(): void {
    for (const [senderId, acks] of this.later) {
      const member = this.context.member(senderId);
      if (!member) continue;
      const knowsGroups = this.groupSenders.has(senderId);
      this.sendAcknowledgements(acks, knowsGroups, (payload) =>
        this.context.components.control.send(member.control, 'handover', payload),
      );
    }
    this.later.clear();
  }

  private sendAcknowledgements(
    acks: readonly sailquay.flow.ShardAck.$Properties[],
    knowsGroups: boolean,
    send: (payload: Uint8Array) => boolean,
  ): void {
    const whole = knowsGroups ? acks.filter((ack) => (ack.part ?? 0) === 0) : [];
    for (const group of groupAcknowledgements(whole)) {
      send(HandoverMessage.encode({ acks: { groups: [group] } }).finish());
    }
    const single = knowsGroups ? acks.filter((ack) => (ack.part ?? 0) !== 0) : acks;
    for (let start = 0; start < single.length; start += ACKS_PER_MESSAGE) {
      const message = { acks: { acks: single.slice(start, start + ACKS_PER_MESSAGE) } };
      send(HandoverMessage.encode(message).finish());
    }
  }

  private onPart(
    part: sailquay.flow.ShardPart.$Properties,
    from: InboundControlMessage,
  ): sailquay.flow.ShardStatus {
    const key = `${from.senderId} ${part.transferId}`;
    const outcome = this.ended.get(key);
    if (outcome !== undefined) return outcome;
    const assembly = this.assemblies.get(key) ?? { parts: new Map(), touchedMs: 0 };
    if (!this.assemblies.has(key) && this.assemblies.size >= REMEMBERED_TRANSFERS) return ShardStatus.REFUSED;
    this.assemblies.set(key, assembly);
    assembly.touchedMs = this.context.now();
    assembly.parts.set(part.part ?? 0, part);
    if (assembly.parts.size < (part.partCount ?? 1)) return ShardStatus.RECEIVED;
    return this.installAssembly(key, assembly, from);
  }

  private installAssembly(
    key: string,
    assembly: Assembly,
    from: InboundControlMessage,
  ): sailquay.flow.ShardStatus {
    const parts = [...assembly.parts.values()];
    const header = parts[0]!;
    const keys = new Set(parts.flatMap((part) => part.backendKeys ?? []));
    const hasBackends = this.knowledge.requireBackends([...keys], from);
    const versions = [header.baseVersion ?? 0, header.oldestBaseVersion ?? 0];
    const hasBases = this.knowledge.requireBases(versions, from);
    if (!hasBackends || !hasBases) return ShardStatus.RECEIVED;
    const shard = header.shard ?? 0;
    const records = parts.flatMap((part) =>
      unpackPart(shard, { backendKeys: part.backendKeys ?? [], records: part.records ?? new Uint8Array() }),
    );
    const outcome = this.install({ header, shard, transferId: header.transferId ?? 0, records, from });
    this.assemblies.delete(key);
    // Without a backup to fill first, the shard is acknowledged while it is installed.
    const ended = this.ended.get(key);
    if (outcome === 'later' && ended !== undefined) return ended;
    const status = STATUS_OF_OUTCOME[outcome];
    this.remember(key, status);
    return status;
  }

  private remember(key: string, status: sailquay.flow.ShardStatus): void {
    this.ended.set(key, status);
    if (this.ended.size <= REMEMBERED_TRANSFERS) return;
    const oldest = this.ended.keys().next();
    if (!oldest.done) this.ended.delete(oldest.value);
  }
}

const STATUS_OF_OUTCOME: Readonly<Record<InstallOutcome, sailquay.flow.ShardStatus>> = {
  done: ShardStatus.DONE,
  refused: ShardStatus.REFUSED,
  later: ShardStatus.RECEIVED,
};
