/**
 * Finds a first member to talk to, from the configured seeds and the platform's machine list, which are hints only.
 *
 * Owns the retries and the machine list last read. Relies on seeds and on the platform's machine list as hints
 * only: neither makes nor removes a member.
 */
import type { TimerHandle } from '../../common/clock.js';
import { jitter, type RandomSource } from '../../common/random.js';
import { formatEndpoint, sameEndpoint, type Endpoint } from '../../common/types.js';
import type { EventLog } from '../../observability/event.js';
import type { StoreClient } from '../../store/types.js';
import { JOIN_FANOUT, JOIN_RETRY_MAX_MS, JOIN_RETRY_MIN_MS, type MembershipTiming } from './constants.js';
import { MEMBERSHIP_EVENTS } from './events.js';
import type { GuardedTimers } from './guarded-timers.js';
import type { MemberTable } from './member-table.js';
import { shuffle } from './sampling.js';

/** What the joiner works with. */
interface JoinerContext {
  readonly table: MemberTable;
  readonly timers: GuardedTimers;
  readonly random: RandomSource;
  readonly timing: MembershipTiming;
  readonly seeds: readonly Endpoint[];
  readonly platform: Pick<StoreClient, 'listMachines'> | undefined;
  readonly events: EventLog;
  /** Requests the state of the member at an address. */
  readonly contact: (endpoint: Endpoint) => void;
  /** True on the one member that reads the machine list for the region. */
  readonly isListReader: () => boolean;
}

/** Share of a retry interval that is random, either way, so that members that start together do not ask together. */
const RETRY_JITTER = 0.3;

/**
 * Retries until a member answers; starts again when no live peer is left, or when the machine list names machines
 * not known.
 */
export class Joiner {
  private timer: TimerHandle | undefined;
  private retryMs = JOIN_RETRY_MIN_MS;
  private listed: readonly Endpoint[] = [];
  private listedAtMs = -Infinity;
  private onJoined: (() => void) | undefined;
  private stopped = false;

  constructor(private readonly context: JoinerContext) {}

  /** Resolves at the first contact, or at once when there are neither seeds nor a platform to ask. */
  async join(): Promise<void> {
    const hasHints = this.context.seeds.length > 0 || this.context.platform !== undefined;
    const joined = new Promise<void>((resolve) => {
      this.onJoined = resolve;
    });
    this.attempt();
    if (hasHints) await joined;
  }

  /** Another member has sent its state. */
  onContact(): void {
    this.retryMs = JOIN_RETRY_MIN_MS;
    if (!this.onJoined) return;
    this.onJoined();
    this.onJoined = undefined;
    this.context.events.emit(MEMBERSHIP_EVENTS.joined, { members: this.context.table.live().length });
  }

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
    this.onJoined?.();
  }

  private attempt(): void {
    if (this.stopped) return;
    const { table, timers, timing, isListReader } = this.context;
    const isAlone = table.peers().length === 0 || this.onJoined !== undefined;
    if (isAlone) this.contactHints();
    const listAgeMs = timers.now() - this.listedAtMs;
    if (isAlone || (isListReader() && listAgeMs >= timing.machineListIntervalMs)) void this.readMachineList();
    this.timer = timers.schedule(this.nextDelayMs(isAlone), () => this.attempt());
  }

  private nextDelayMs(isAlone: boolean): number {
    const { random, timing } = this.context;
    if (!isAlone) return jitter(timing.machineListIntervalMs, RETRY_JITTER, random);
    const delayMs = jitter(this.retryMs, RETRY_JITTER, random);
    this.retryMs = Math.min(JOIN_RETRY_MAX_MS, this.retryMs * 2);
    return delayMs;
  }

  private contactHints(): void {
    const { seeds, table, random, contact, events } = this.context;
    const own = table.self.identity.control;
    const hints = [...seeds, ...this.listed].filter((endpoint) => !sameEndpoint(endpoint, own));
    for (const endpoint of shuffle(hints, random).slice(0, JOIN_FANOUT)) contact(endpoint);
    if (this.retryMs >= JOIN_RETRY_MAX_MS)
      events.emit(MEMBERSHIP_EVENTS.joinWaiting, { hints: hints.length });
  }

  /** Reads the list and contacts listed machines that are not members here: they may be on their own. */
  private async readMachineList(): Promise<void> {
    const { platform, table, timers, random, contact } = this.context;
    if (!platform) return;
    this.listedAtMs = timers.now();
    const listed = await platform.listMachines();
    if (this.stopped || listed.isErr) return;
    this.listed = listed.value.map((machine) => machine.control);
    const known = new Set(table.live().map((member) => formatEndpoint(member.identity.control)));
    const unknown = this.listed.filter((endpoint) => !known.has(formatEndpoint(endpoint)));
    for (const endpoint of shuffle(unknown, random).slice(0, JOIN_FANOUT)) contact(endpoint);
  }
}
