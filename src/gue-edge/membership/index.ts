/**
 * Membership of the balancers of one region: who is a member, and who may open flows.
 *
 * Owns the member table, failure detection and the quorum of this member. Relies on the control channel, and on the
 * platform, where there is one, for the quorum lease and the machine list.
 *
 * @example
 * const membership = new SwimMembership({ identity, region, incarnation, channel, clock, random, seeds, platform });
 * membership.subscribe((view) => console.log(view.members.length, view.quorate));
 * await membership.join();
 * membership.activate();
 */
export * from './types.js';
export { DEFAULT_MEMBERSHIP_TIMING, type MembershipTiming } from './constants.js';
export { MembershipError } from './errors.js';
export { MEMBERSHIP_EVENTS } from './events.js';
export type { MemberIdentity } from './member-record.js';
export type {
  KnownMember,
  MembershipPlatform,
  MembershipStatistics,
  SwimMembershipOptions,
} from './membership-options.js';
export { SwimMembership } from './swim-membership.js';
