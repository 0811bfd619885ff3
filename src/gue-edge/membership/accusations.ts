/**
 * Running suspicions that several members share: who accuses whom, passed on when it is new.
 *
 * Owns the count of suspicions raised here. Relies on `suspicion.ts` for the time that is left, and on the gossip
 * queue.
 */
import type { Gossiper } from './gossiper.js';
import type { GossipQueue } from './gossip-queue.js';
import type { MemberRecord } from './member-record.js';
import type { MemberTable } from './member-table.js';
import type { Suspicions } from './suspicion.js';
import type { MemberUpdate } from './wire.js';

/** What accusations are kept and gossiped with. */
interface AccusationsContext {
  readonly table: MemberTable;
  readonly suspicions: Suspicions;
  readonly queue: GossipQueue;
  readonly gossiper: Gossiper;
}

/** One for each process. */
export class Accusations {
  private raisedCount = 0;

  constructor(private readonly context: AccusationsContext) {}

  /** Suspicions that this member was the first to raise, since start. */
  get raised(): number {
    return this.raisedCount;
  }

  /** This member's own probe of `target` was not answered, neither directly nor through others. */
  onUnanswered(target: MemberRecord): void {
    const { table } = this.context;
    const selfHash = table.self.idHash;
    if (target.suspected) this.accuse(target, selfHash);
    else if (table.suspect(target.idHash, selfHash)) this.raisedCount += 1;
  }

  /** Another member suspects a member; counts only while that version of it is suspected here as well. */
  confirm(update: MemberUpdate): void {
    const known = this.context.table.get(update.idHash);
    const sameVersion = known?.incarnation === update.incarnation && known.refutation === update.refutation;
    if (known?.suspected && sameVersion) this.accuse(known, update.accuserHash);
  }

  /** Adds an accuser to a running suspicion and gossips it when it is a new one. */
  private accuse(target: MemberRecord, accuserHash: number): void {
    const { suspicions, queue, gossiper } = this.context;
    if (!suspicions.accuse(target.idHash, accuserHash)) return;
    queue.add(target, false, accuserHash);
    gossiper.wake();
  }
}
