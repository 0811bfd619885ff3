/** What membership needs and what it counts. */
import type { Clock } from '../../common/clock.js';
import type { RandomSource } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import type { ControlChannel } from '../control/types.js';
import type { EventLog } from '../../observability/event.js';
import type { StoreClient } from '../../store/types.js';
import type { MembershipTiming } from './constants.js';
import type { MemberIdentity } from './member-record.js';

/** The part of the platform client that is used. */
export type MembershipPlatform = Pick<StoreClient, 'listMachines' | 'acquireLease' | 'releaseLease'>;

/** What membership needs. */
export interface SwimMembershipOptions {
  readonly identity: MemberIdentity;
  readonly region: string;
  /** Milliseconds since the epoch at process start; the same as the channel's. */
  readonly incarnation: number;
  readonly channel: ControlChannel;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Control addresses of other members, from the settings file. Empty and no platform: a site of one. */
  readonly seeds: readonly Endpoint[];
  /** Undefined: no machine list and no witness. */
  readonly platform?: MembershipPlatform;
  /** Tree version in force here, for probes; 0 when none. */
  readonly settingsVersion?: () => number;
  readonly timing?: Partial<MembershipTiming>;
  readonly events?: EventLog;
}

/** A member known beforehand. */
export interface KnownMember {
  readonly identity: MemberIdentity;
  readonly incarnation: number;
}

/** Counters since start. */
export interface MembershipStatistics {
  readonly suspicionsRaised: number;
  readonly refutations: number;
  readonly failures: number;
  readonly zoneEvents: number;
  readonly pauses: number;
  readonly healthScore: number;
}
