/**
 * A region of members on a simulated network and a virtual clock, for tests and the cost model.
 *
 * Owns the network and the clock of one simulation. Relies on the product code of this folder unchanged.
 */
import { VirtualClock } from '../../common/clock.js';
import { combine32 } from '../../common/hash.js';
import { seededRandom } from '../../common/random.js';
import { PausableClock } from './pausable-clock.js';
import { SimulatedNetwork, type SimulatedChannel } from './simulated-network.js';
import type { Endpoint } from '../../common/types.js';
import type { EventLog } from '../../observability/event.js';
import type { MembershipTiming } from '../membership/constants.js';
import type { MemberIdentity } from '../membership/member-record.js';
import type { MembershipPlatform } from '../membership/membership-options.js';
import { SwimMembership } from '../membership/swim-membership.js';

/** Shape of the region. */
export interface SimulatedClusterOptions {
  readonly size: number;
  /** Members are dealt to the zones in turn. */
  readonly zones?: readonly string[];
  readonly seed?: number;
  /** One-way delay in ms. */
  readonly delayMs?: readonly [min: number, max: number];
  readonly lossRate?: number;
  readonly duplicateRate?: number;
  readonly timing?: Partial<MembershipTiming>;
  readonly platform?: (memberId: string, clock: VirtualClock) => MembershipPlatform;
  readonly events?: (memberId: string) => EventLog;
  readonly settingsVersion?: (memberId: string) => number;
}

/** One member with its channel and clock. */
export interface SimulatedMember {
  readonly id: string;
  readonly zone: string;
  readonly endpoint: Endpoint;
  readonly channel: SimulatedChannel;
  readonly clock: PausableClock;
  readonly membership: SwimMembership;
}

const DEFAULT_ZONES = ['zone-a', 'zone-b', 'zone-c'];
const DEFAULT_DELAY_MS: readonly [number, number] = [1, 3];
const REGION = 'simulated';
const JOIN_SPACING_MS = 40;
const CONTROL_PORT = 7_000;

/** The cluster; nothing runs until `start`. */
export class SimulatedCluster {
  readonly clock = new VirtualClock();
  readonly network: SimulatedNetwork;
  readonly members = new Map<string, SimulatedMember>();
  private readonly zones: readonly string[];
  private boots = 0;

  constructor(private readonly options: SimulatedClusterOptions) {
    const { seed = 1, delayMs = DEFAULT_DELAY_MS, lossRate, duplicateRate } = options;
    this.zones = options.zones ?? DEFAULT_ZONES;
    this.network = new SimulatedNetwork({
      clock: this.clock,
      random: seededRandom(seed),
      delayMs,
      lossRate,
      duplicateRate,
    });
  }

  /** Starts all members one after the other and runs until `settleMs` after the last one. */
  start(settleMs = 5_000): void {
    for (let index = 0; index < this.options.size; index += 1) {
      this.boot(index).membership.activate();
      this.clock.advance(JOIN_SPACING_MS);
    }
    this.clock.advance(settleMs);
  }

  /** Starts all members at once, knowing each other, and runs for `settleMs`: for large regions. */
  startWarm(settleMs = 5_000): void {
    const created = Array.from({ length: this.options.size }, (_, index) => this.create(index));
    const known = created.map(({ id, zone, endpoint, channel }) => ({
      identity: identityOf(id, zone, endpoint),
      incarnation: channel.incarnation,
    }));
    for (const { membership } of created) {
      membership.preload(known);
      membership.activate();
    }
    for (const { membership } of created) void membership.join();
    this.clock.advance(settleMs);
  }

  /** Starts member `index`, or starts it again after a crash. */
  boot(index: number): SimulatedMember {
    const member = this.create(index);
    void member.membership.join();
    return member;
  }

  private create(index: number): SimulatedMember {
    this.boots += 1;
    const { seed = 1, timing, platform, events, settingsVersion } = this.options;
    const id = this.idOf(index);
    const zone = this.zones[index % this.zones.length]!;
    const endpoint = this.endpointOf(index);
    const clock = new PausableClock(this.clock);
    const incarnation = this.clock.wall() + this.boots;
    const channel = this.network.channel(endpoint, id, incarnation);
    const membership = new SwimMembership({
      region: REGION,
      incarnation,
      channel,
      clock,
      timing,
      identity: identityOf(id, zone, endpoint),
      random: seededRandom(combine32(seed, this.boots)),
      seeds: this.seedsFor(index),
      platform: platform?.(id, this.clock),
      events: events?.(id),
      settingsVersion: settingsVersion && (() => settingsVersion(id)),
    });
    const member = { id, zone, endpoint, channel, clock, membership };
    this.members.set(id, member);
    return member;
  }

  /** The member at `index`. */
  at(index: number): SimulatedMember {
    return this.members.get(this.idOf(index))!;
  }

  /** Ends a member without a word. */
  crash(index: number): void {
    const member = this.at(index);
    member.clock.pause();
    member.channel.close();
    this.members.delete(member.id);
  }

  pause(index: number): void {
    this.at(index).clock.pause();
    this.at(index).channel.pause();
  }

  resume(index: number): void {
    this.at(index).clock.resume();
    this.at(index).channel.resume();
  }

  /** Ids of the members of a zone. */
  idsInZone(zone: string): string[] {
    return [...this.members.values()].filter((member) => member.zone === zone).map((member) => member.id);
  }

  idOf(index: number): string {
    return `bal-${String(index).padStart(4, '0')}`;
  }

  private endpointOf(index: number): Endpoint {
    return { host: `10.0.${index >>> 8}.${index & 0xff}`, port: CONTROL_PORT };
  }

  /** The first members, and for these the next one: enough for any member to find another. */
  private seedsFor(index: number): Endpoint[] {
    const count = Math.min(3, this.options.size);
    return Array.from({ length: count }, (_, seedIndex) => this.endpointOf(seedIndex)).filter(
      (_, seedIndex) => seedIndex !== index,
    );
  }
}

function identityOf(id: string, zone: string, endpoint: Endpoint): MemberIdentity {
  return { id, zone, control: endpoint, admin: endpoint, data: endpoint };
}
