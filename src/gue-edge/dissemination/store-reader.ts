/**
 * Reads the tree from the platform while this member holds one of its region's reader leases. Whatever arrives after
 * the lease can no longer be trusted is discarded, and what passes carries the store's version and the lease's token.
 *
 * Owns the lease and the watch of this member. Relies on `reader-candidates.ts` for who may take which lease, and on
 * `reader-term.ts` for how long a term lasts.
 */
import type Result from 'true-myth/result';
import type { Clock } from '../../common/clock.js';
import { jitter, type RandomSource } from '../../common/random.js';
import type { MembershipFeed } from '../membership/types.js';
import type { EventLog } from '../../observability/event.js';
import { pause } from '../../common/pause.js';
import type { Lease, StoreClient, StoredObject, StoreError } from '../../store/index.js';
import { PAUSE_SPREAD, READER_LEASE_MS, READER_RENEW_MS } from './constants.js';
import { DISSEMINATION_EVENTS } from './events.js';
import { readerLeaseName, slotsOf } from './reader-candidates.js';
import {
  candidatePauseMs,
  isLeaseTrusted,
  judgeTerm,
  leaseAfterAnswer,
  type LeaseAnswer,
  type TermVerdict,
} from './reader-term.js';
import type { DisseminationCounters } from './statistics.js';

/** Number of different suffixes of lease holder names. */
const HOLDER_SUFFIX_RANGE = 2 ** 32;

/** What a reader needs. */
interface StoreReaderOptions {
  readonly platform: StoreClient;
  readonly membership: MembershipFeed;
  readonly region: string;
  readonly treeKey: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly counters: DisseminationCounters;
  /** Version in force; the watch starts just before it, so that equal versions are compared too. */
  readonly versionInForce: () => number;
  /** Called with each document read under a trusted lease. */
  readonly onDocument: (object: StoredObject, readerToken: number) => void;
}

export class StoreReader {
  private lease: Lease | undefined;
  /** The last lease request was not answered. */
  private storeFailed = false;

  /** Unique to this process: a restarted balancer must not share the lease of the one it replaces. */
  private readonly holder: string;

  constructor(private readonly options: StoreReaderOptions) {
    const suffix = Math.floor(options.random() * HOLDER_SUFFIX_RANGE).toString(16);
    this.holder = `${options.membership.selfId}#${suffix}`;
  }

  /** Name of the lease held; undefined when this member is no reader. */
  leaseName(): string | undefined {
    return this.isTrusted() ? this.lease?.name : undefined;
  }

  /** Takes part in the region's readers until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let attempt = 0;
    while (!signal.aborted) {
      const slots = this.slots();
      const slot = slots[attempt % Math.max(1, slots.length)];
      attempt += 1;
      this.storeFailed = false;
      if (slot !== undefined && (await this.acquire(slot))) await this.serve(slot, signal);
      if (!signal.aborted) await this.pause(candidatePauseMs(this.storeFailed), signal);
    }
  }

  private slots(): number[] {
    const { membership, region } = this.options;
    return slotsOf(membership.selfId, region, membership.view().members);
  }

  private pause(delayMs: number, signal: AbortSignal): Promise<void> {
    return pause(this.options.clock, jitter(delayMs, PAUSE_SPREAD, this.options.random), signal);
  }

  private isTrusted(): boolean {
    return isLeaseTrusted(this.lease, this.options.clock.now());
  }

  /** Takes or renews the lease; false when another member has it. Keeps a lease that could not be renewed. */
  private async acquire(slot: number): Promise<boolean> {
    const { platform, region } = this.options;
    const name = readerLeaseName(region, slot);
    const granted = await platform.acquireLease(name, this.holder, READER_LEASE_MS);
    const answer = leaseAnswer(granted);
    this.storeFailed = answer.kind === 'unanswered';
    this.lease = leaseAfterAnswer(this.lease, answer);
    return this.isTrusted();
  }

  private judgeTerm(slot: number, signal: AbortSignal): TermVerdict {
    return judgeTerm({
      isTrusted: this.isTrusted(),
      isEnding: signal.aborted,
      isCandidate: this.slots().includes(slot),
    });
  }

  /** Watches the tree while the lease is held; returns when it is lost or no longer this member's. */
  private async serve(slot: number, signal: AbortSignal): Promise<void> {
    const { events, platform } = this.options;
    const term = new AbortController();
    const termSignal = AbortSignal.any([signal, term.signal]);
    events.emit(DISSEMINATION_EVENTS.readerStarted, { lease: this.lease?.name });
    const watching = this.watch(termSignal, term);
    while (this.judgeTerm(slot, termSignal) === 'go-on') {
      await this.pause(READER_RENEW_MS, termSignal);
      if (!termSignal.aborted && !(await this.acquire(slot))) break;
    }
    term.abort();
    await watching;
    const held = this.lease;
    const wasTrusted = this.isTrusted();
    this.lease = undefined;
    if (held && wasTrusted) await platform.releaseLease(held);
    events.emit(DISSEMINATION_EVENTS.readerStopped, { lease: held?.name });
  }

  private async watch(signal: AbortSignal, term: AbortController): Promise<void> {
    const { platform, treeKey, versionInForce, onDocument } = this.options;
    const afterVersion = Math.max(0, versionInForce() - 1);
    for await (const object of platform.watch(treeKey, afterVersion, signal)) {
      if (this.lease && this.isTrusted()) {
        onDocument(object, this.lease.fencingToken);
        continue;
      }
      this.options.counters.staleReads += 1;
      this.options.events.emit(DISSEMINATION_EVENTS.staleReaderDiscarded, { version: object.version });
      term.abort();
      return;
    }
  }
}

function leaseAnswer(granted: Result<Lease, StoreError>): LeaseAnswer {
  if (granted.isOk) return { kind: 'granted', lease: granted.value };
  return { kind: granted.error.kind === 'platform.lease-held' ? 'refused' : 'unanswered' };
}
