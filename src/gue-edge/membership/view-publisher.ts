/**
 * Builds immutable views and gathers changes that come close together into one.
 *
 * Owns the current view. Relies on the member table and on the quorum, which it reads when a view is built.
 */
import type { Clock, TimerHandle } from '../../common/clock.js';
import { Subject } from '../../common/event-stream.js';
import { combine32 } from '../../common/hash.js';
import { ownsShards, toMember, type MemberRecord } from './member-record.js';
import type { MemberTable } from './member-table.js';
import type { Member, MembershipView } from './types.js';

/** What the publisher reads. */
interface ViewSources {
  readonly table: MemberTable;
  readonly clock: Clock;
  readonly region: string;
  readonly isQuorate: () => boolean;
  /** Time that changes are gathered, ms. */
  readonly batchMs: () => number;
}

/** Holds the current view; a change of the quorum is published at once, other changes after the batch time. */
export class ViewPublisher {
  /** Pushed when the batch time has passed, before the view is built; an observer may publish by itself. */
  readonly due = new Subject<void>();
  private readonly views = new Subject<MembershipView>();
  private readonly built = new WeakMap<MemberRecord, Member>();
  private currentView: MembershipView;
  private timer: TimerHandle | undefined;
  private settingsStale = false;

  constructor(private readonly sources: ViewSources) {
    this.currentView = this.build(1);
  }

  /** The current view; tree versions reported since it was published are filled in under the same sequence. */
  view(): MembershipView {
    if (this.settingsStale) {
      this.settingsStale = false;
      const members = this.currentView.members.map((member) => {
        const settingsVersion = this.sources.table.settingsVersionOf(member.id);
        return settingsVersion === member.settingsVersion ? member : { ...member, settingsVersion };
      });
      this.currentView = { ...this.currentView, members };
    }
    return this.currentView;
  }

  subscribe(listener: (view: MembershipView) => void): () => void {
    return this.views.subscribe(listener);
  }

  /** Notes that a member reported another tree version. */
  noteSettingsVersion(): void {
    this.settingsStale = true;
  }

  /** Publishes after the batch time. */
  publishSoon(): void {
    if (this.timer) return;
    this.timer = this.sources.clock.schedule(this.sources.batchMs(), () => {
      this.due.push();
      if (this.timer) this.publishNow();
    });
  }

  /** Publishes what has changed up to now. */
  publishNow(): void {
    this.timer?.cancel();
    this.timer = undefined;
    this.settingsStale = false;
    this.currentView = this.build(this.currentView.sequence + 1);
    this.views.push(this.currentView);
  }

  stop(): void {
    this.timer?.cancel();
  }

  private build(sequence: number): MembershipView {
    const { table, isQuorate } = this.sources;
    const records = [...table.live()].sort(compareIds);
    return {
      sequence,
      members: records.map((record) => this.memberOf(record)),
      digest: ownershipDigest(records),
      quorate: isQuorate(),
    };
  }

  /** The member of a record; the same object again while nothing about it changed. */
  private memberOf(record: MemberRecord): Member {
    const { table, region } = this.sources;
    const settingsVersion = table.settingsVersion(record.idHash);
    const built = this.built.get(record);
    if (built?.settingsVersion === settingsVersion) return built;
    const member = toMember(record, region, settingsVersion);
    this.built.set(record, member);
    return member;
  }
}

/** Digest over ids and incarnations of the members that own shards, in the order of their ids. */
function ownershipDigest(sortedRecords: readonly MemberRecord[]): number {
  let digest = 0;
  for (const { idHash, incarnation } of sortedRecords.filter(ownsShards)) {
    digest = combine32(combine32(digest, idHash), Math.floor(incarnation / 1_000));
    digest = combine32(digest, incarnation % 1_000);
  }
  return digest;
}

function compareIds(left: MemberRecord, right: MemberRecord): number {
  if (left.identity.id === right.identity.id) return 0;
  return left.identity.id < right.identity.id ? -1 : 1;
}
