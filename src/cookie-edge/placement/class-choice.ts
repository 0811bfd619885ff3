/**
 * Rule: which class of candidates a new flow is placed in.
 *
 * Prevents an outage by ejections: when too many candidates are ejected (`MAX_EJECTED_SHARE`), the balancer's own
 * network is the likelier cause, and all recorded candidates serve (panic mode). Does no input or output.
 *
 * Also prevents that the first few back ends of a list that is being filled again get the load of all: while fewer are
 * recorded than may only have lapsed, both share it.
 *
 * Inputs: the candidates by class. Order: the trial opening comes first, but only while another back end is alive, so
 * that the caller's next attempt can succeed elsewhere; then panic mode; then a list that is being filled; then the
 * best class that is not empty. Panic mode also covers the case that only ejected candidates are left. Lapsed records
 * count neither for nor against the panic threshold.
 */
import type { LocalBackendState } from '../backend-health/index.js';
import type { Candidates } from './candidate-classes.js';
import { MAX_EJECTED_SHARE } from './constants.js';

/**
 * Which candidates are weighed, from the trial opening to the last resort; `ejected-majority` is panic mode,
 * `unsettled-list` weighs recorded and lapsed back ends alike.
 */
export type PlacementRule =
  'trial' | 'ejected-majority' | 'unsettled-list' | 'least-flows' | 'outlier' | 'suspect' | 'lapsed-record';

/** The rule for a new flow; undefined when there is no candidate at all. */
export function choosePlacementRule(candidates: Candidates): PlacementRule | undefined {
  const { alive, outlier, suspect, ejected, lapsed, trial } = candidates;
  if (trial && alive.length > 0) return 'trial';
  const recorded = alive.length + outlier.length + suspect.length + ejected.length;
  if (ejected.length > recorded * MAX_EJECTED_SHARE) return 'ejected-majority';
  if (recorded > 0 && lapsed.length > recorded) return 'unsettled-list';
  if (alive.length > 0) return 'least-flows';
  if (outlier.length > 0) return 'outlier';
  if (suspect.length > 0) return 'suspect';
  return lapsed.length > 0 ? 'lapsed-record' : undefined;
}

/** The candidates that are weighed under a rule other than the trial opening. */
export function candidatesForRule(
  rule: Exclude<PlacementRule, 'trial'>,
  { alive, outlier, suspect, ejected, lapsed }: Candidates,
): readonly LocalBackendState[] {
  switch (rule) {
    case 'ejected-majority':
      return [...alive, ...outlier, ...suspect, ...ejected];
    case 'unsettled-list':
      return [...alive, ...lapsed];
    case 'least-flows':
      return alive;
    case 'outlier':
      return outlier;
    case 'suspect':
      return suspect;
    case 'lapsed-record':
      return lapsed;
  }
}
