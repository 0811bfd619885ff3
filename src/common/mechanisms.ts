/**
 * Mechanisms of a daemon on a cookie edge that a configuration can switch off one by one, to measure what each of
 * them is worth (docs/records/DECISIONS-MEASURED.md). For experiments: a daemon in service runs with all of them.
 */

export const MECHANISMS = [
  /** Back ends without signs of life get no new flows. */
  'passive-health',
  /** Flows at back ends that are proved dead are reset. */
  'dead-back-ends',
  /** Daemons tell each other which back ends they ejected. */
  'shared-ejections',
  /** One opening at a time tries a back end that was ejected. */
  'trial-openings',
  /** Back ends that answer requests unusually late, or not at all, get no new flows. */
  'outlier-detection',
  /** Back ends at which an opening waits longer than usual are avoided. */
  'slow-answer-avoidance',
  /** Back ends that are slow from their start count as a part of their capacity. */
  'cold-share',
  /** Flows that were just closed count as load. */
  'closed-flows',
  /** Back ends that get more calls than others, as counted by themselves, are passed over among equals. */
  'reported-load',
  /** Splits are dealt by credit; otherwise by chance. */
  'split-credit',
  /** Which back ends there are is kept in the source's store, so that it outlasts the loss of all daemons. */
  'roster',
  /** Openings that no listed back end can serve are held while back ends that live may be missing from the list. */
  'unsettled-openings',
  /** After an interruption, openings that are late already yield to those that can still be answered in time. */
  'yielding-openings',
  /** Records that may only have lapsed are the last resort of a service. */
  'lapsed-records',
  /** Back ends that left are remembered as long as a flow to them may be open. */
  'departed-backends',
  /** SYNs that may have waited through a pause are dropped. */
  'old-opening-guard',
  /** Peers are asked where they placed an opening before a retransmitted SYN is placed. */
  'opening-lookups',
  /** What arrives before anything is known is held. */
  'held-packets',
  /** Readers stand down for others that go before them. */
  'standing-down',
  /** Proofs are sent once more after a change. */
  'repeated-confirmations',
  /** A daemon that lags behind is sent the changes that it lacks; without this, the whole state. */
  'change-log',
  /** Topics that seldom change are watched less often; answers about another topic confirm them. */
  'long-watches',
  /** Daemons without a proof ask the source in turns. */
  'asking-turns',
] as const;

export type Mechanism = (typeof MECHANISMS)[number];

/** True while a mechanism is on. */
export type MechanismCheck = (mechanism: Mechanism) => boolean;

export const ALL_MECHANISMS_ON: MechanismCheck = () => true;

/** A check for which all but the mechanisms in `switchedOff` are on. */
export function allBut(switchedOff: readonly Mechanism[]): MechanismCheck {
  const off = new Set(switchedOff);
  return (mechanism) => !off.has(mechanism);
}
